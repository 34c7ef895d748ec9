// One controller process: joins the parts and owns them.
#pragma once

#include "api/operator_api.hpp"
#include "api/user_api.hpp"
#include "leader.hpp"
#include "peers/peer_network.hpp"

namespace violetpulley {

class Node {
 public:
  Node(asio::io_context& io, config::Settings settings, const config::Operators& operators,
       config::HistorySettings history);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

 private:
  struct PeerView {
    core::TimePoint on_peer_status{};
    core::TimePoint store_answered{};
    std::uint64_t token = 0;
    // Under which key it led when our connection to it ended last; 0: it did not.
    store::Revision led_by = 0;
  };

  void route(net::Request&& request, const net::Responder& respond);
  void report(const net::Request& request, const net::Responder& respond);
  void health(const net::Responder& respond);
  bool healthy() const;
  void schedule_second();
  void share_sockets();
  void broadcast_status();
  void on_peer_status(const peers::Status& status);
  void won();
  void lost();
  void fetch_catalog();
  void fetch_catalog_from_cloud();
  void fetch_catalog_later(std::chrono::milliseconds wait);
  void catalog_known(std::vector<core::MachineType> types);
  core::JobCounts counts(const core::JobId& id) const;
  store::StoreShare share(bool leading) const;
  void open_operators(const asio::ip::tcp::endpoint& at);

  asio::io_context& io_;
  config::Settings settings_;
  core::Tuning tuning_;
  config::HistorySettings history_;
  std::unique_ptr<history::Recorder> recorder_;  // before the leader, which writes to it
  core::Leadership leadership_;
  store::StoreClient store_;
  store::JobReplica job_replica_;
  store::Election election_;
  cloud::CloudClient cloud_;
  api::UserApi users_;
  std::optional<core::TimePoint> isolated_at_;  // before the leader, which refers to it
  std::unique_ptr<Leader> leader_;
  std::vector<std::unique_ptr<Leader>> ended_;  // until their last callback has returned
  asio::steady_timer second_timer_;
  asio::steady_timer catalog_timer_;
  std::vector<core::MachineType> types_;
  std::map<std::string, PeerView> peer_views_;
  std::unordered_map<core::JobId, core::JobCounts> reported_counts_;
  core::TimePoint started_;
  core::TimePoint store_answered_;
  std::optional<core::TimePoint> last_worker_request_;  // last
  bool catalog_saved_ = false;
  peers::PeerNetwork peer_network_;
  net::HttpServer server_;
  std::unique_ptr<api::OperatorApi> operators_;  // null: not switched on
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace violetpulley
