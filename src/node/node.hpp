/// @file
/// One controller process: creates its components, connects them and owns them, including the
/// leader while this node leads.
#pragma once

#include "api/operator_api.hpp"
#include "api/user_api.hpp"
#include "async/lifetime.hpp"
#include "leader/leader.hpp"
#include "node/catalog_source.hpp"
#include "node/health.hpp"
#include "node/heartbeat_endpoint.hpp"
#include "node/request_router.hpp"
#include "peers/peer_network.hpp"

namespace violetpulley {

class Node {
 public:
  /// Starts the node. Throws std::system_error if it cannot listen on an address, and
  /// std::invalid_argument if an address cannot be parsed.
  Node(asio::io_context& io, config::Settings settings,
       const config::OperatorSettings& operator_settings, config::HistorySettings history);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

 private:
  using MachineTypes = std::vector<core::MachineType>;

  // Construction of the components and of their callbacks.
  store::JobReplica::Events replica_events();
  store::Election::Events election_events();
  api::UserApi::Environment user_environment();
  peers::PeerNetwork::Events peer_events();
  RequestRouter::Endpoints endpoints();
  net::RequestHandler request_handler();
  std::unique_ptr<history::Recorder> make_recorder() const;
  std::unique_ptr<api::OperatorApi> make_operator_api(const asio::ip::tcp::endpoint& address);

  // Leadership.
  void leadership_won();
  void leadership_lost();
  /// Returns the leader of this node if it has recovered the state, otherwise null.
  Leader* ready_leader() const;
  /// Address of the leading peer's operator API; null: this node leads, or no leader is known.
  std::optional<asio::ip::tcp::endpoint> leader_operator_address(asio::ip::port_type port) const;

  // Every second.
  void schedule_tick();
  void tick();
  /// Reads a key to find out whether the state service answers.
  void check_store();
  void broadcast_status();
  void add_job_counts(peers::Status& status) const;
  void update_connection_limits();

  void handle_peer_status(const peers::Status& status);
  core::JobCounts counts(const core::JobId& id) const;

  asio::io_context& io_;
  config::Settings settings_;
  core::Tuning tuning_;
  config::HistorySettings history_;
  /// Declared before the leader, which writes to it.
  std::unique_ptr<history::Recorder> recorder_;
  core::Leadership leadership_;
  store::StoreClient store_;
  store::JobReplica job_replica_;
  store::Election election_;
  cloud::CloudClient cloud_;
  CatalogSource catalog_;
  api::UserApi user_api_;
  HeartbeatEndpoint heartbeat_endpoint_;
  HealthMonitor health_;
  RequestRouter router_;
  /// When a leader of this process last resigned because it was isolated; null: never. Declared
  /// before the leader, which refers to it.
  std::optional<core::TimePoint> isolated_at_;
  std::unique_ptr<Leader> leader_;  ///< Null: this node does not lead.
  /// Kept until their last callback has returned.
  std::vector<std::unique_ptr<Leader>> former_leaders_;
  asio::steady_timer tick_timer_;
  /// By peer: revision of the leader key under which the peer led when the connection to it last
  /// ended; 0: the peer did not lead.
  std::map<std::string, store::Revision> leader_revision_at_disconnect_;
  /// Task counts of jobs, as the leader last reported them.
  std::unordered_map<core::JobId, core::JobCounts> reported_counts_;
  peers::PeerNetwork peer_network_;
  net::HttpServer server_;
  std::unique_ptr<api::OperatorApi> operator_api_;  ///< Null: not configured.
  async::Lifetime lifetime_;  ///< Must be the last member, so that it is destroyed first.
};

}  // namespace violetpulley
