/// @file
/// Provides the machine types of a node. The leader reads the catalog from the cloud periodically
/// and stores it once, so that a node that starts during an outage of the cloud still knows the
/// machine types; other nodes read the stored catalog. Owns the types and the timer of the reads.
#pragma once

#include "async/lifetime.hpp"
#include "cloud/cloud_client.hpp"
#include "core/failover/leadership.hpp"
#include "store/store_client.hpp"

namespace violetpulley {

class CatalogSource {
 public:
  using Types = std::vector<core::MachineType>;
  using Changed = std::function<void(const Types&)>;

  /// `changed` is called with the types after each successful read.
  CatalogSource(asio::io_context& io, store::StoreClient& store, cloud::CloudClient& cloud,
                const core::Leadership& leadership, Changed changed);
  CatalogSource(const CatalogSource&) = delete;
  CatalogSource& operator=(const CatalogSource&) = delete;

  /// The machine types; empty until the first successful read.
  const Types& types() const { return types_; }
  /// Reads the catalog now: the leader from the cloud, another node from the state service, and
  /// that only as long as it knows no types.
  void fetch();
  /// Calls `fetch` after `wait`; replaces an earlier call that is still pending.
  void fetch_later(std::chrono::milliseconds wait);

 private:
  void fetch_from_store();
  /// Returns false if the stored catalog cannot be decoded.
  bool adopt_stored(const store::Json& stored);
  void fetch_from_cloud();
  void cloud_answered(std::optional<cloud::CloudClient::Catalog> catalog);
  void save(const std::string& body);
  void set_types(Types types);

  store::StoreClient& store_;
  cloud::CloudClient& cloud_;
  const core::Leadership& leadership_;
  Changed changed_;
  asio::steady_timer timer_;
  Types types_;
  bool saved_ = false;  ///< This process has stored the catalog.
  async::Lifetime lifetime_;
};

}  // namespace violetpulley
