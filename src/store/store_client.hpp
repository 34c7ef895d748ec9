/// @file
/// Client of the state service, the consensus-backed key-value store outside the process. Turns
/// calls into paced requests (store/request_pacer.hpp) and responses into typed results
/// (store/store_codec.hpp). Each `done` is called once, never from within the call, and not after
/// the client's end.
#pragma once

#include "store/request_pacer.hpp"
#include "store/store_keys.hpp"
#include "store/store_types.hpp"

namespace violetpulley::store {

class StoreClient {
 public:
  /// `share`: this node's share of the limits of the state service. `seed`: of the back-off's
  /// jitter.
  StoreClient(asio::io_context& io, const asio::ip::tcp::endpoint& peer, StoreShare share,
              std::uint64_t seed);
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  void set_share(StoreShare share) { pacer_.set_share(share); }

  /// Reads one key.
  void get(const std::string& key, RequestPriority priority, GetHandler done);
  /// Reads all keys that start with `prefix`, page by page: later pages may be newer than the
  /// first.
  void list(const std::string& prefix, RequestPriority priority, const ListHandler& done);
  /// Executes a transaction.
  void commit(const Transaction& transaction, RequestPriority priority, TransactionHandler done);
  /// Reads the changes after revision `since` below `prefix`. With `block` > 0 the request is a
  /// watch: it stays open until the first change or for that time, and `priority` does not matter.
  void changes(const std::string& prefix, Revision since, std::chrono::milliseconds block,
               RequestPriority priority, ChangesHandler done);

  /// Leases: they end, and delete the keys attached to them, unless extended within `time_to_live`.
  void create_lease(std::chrono::milliseconds time_to_live, LeaseHandler done);
  void extend_lease(LeaseId lease, OutcomeHandler done);
  void revoke_lease(LeaseId lease);

  /// How long a user's write would wait for the share if it came now: callers shed load by it.
  core::Duration expected_write_wait() { return pacer_.expected_write_wait(); }
  /// The same for a user's read.
  core::Duration expected_read_wait() { return pacer_.expected_read_wait(); }
  /// Whether requests have been without any answer for longer than the timeout of one. A user's
  /// request then gets `Outcome::unknown` without being sent; background requests are still sent.
  bool silent(core::TimePoint now) const { return pacer_.silent(now); }
  /// From one write of this node to the next, at its share.
  core::Duration write_interval() const { return pacer_.write_interval(); }
  /// Whether no request waits for the share: background work may use what is left.
  bool idle() const { return pacer_.idle(); }

 private:
  void list_page(const std::string& prefix, const std::string& since, RequestPriority priority,
                 const std::shared_ptr<ListResult>& gathered, const ListHandler& done);

  RequestPacer pacer_;
};

}  // namespace violetpulley::store
