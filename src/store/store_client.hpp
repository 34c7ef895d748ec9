/// @file
/// Client of the state service, the external consensus-backed key-value store. Converts calls into
/// paced requests (store/request_pacer.hpp) and responses into typed results
/// (store/store_codec.hpp). Each `done` is called once, never from within the call, and not after
/// the client is destroyed.
#pragma once

#include "store/request_pacer.hpp"
#include "store/store_keys.hpp"
#include "store/store_types.hpp"

namespace violetpulley::store {

class StoreClient {
 public:
  /// `share` is this node's share of the rate limits of the state service; `seed` seeds the jitter
  /// of the back-off.
  StoreClient(asio::io_context& io, const asio::ip::tcp::endpoint& peer, StoreShare share,
              std::uint64_t seed);
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  void set_share(StoreShare share) { pacer_.set_share(share); }

  /// Reads the key.
  void get(const std::string& key, RequestPriority priority, GetHandler done);
  /// Reads all keys that start with `prefix`, page by page. Later pages may be newer than the
  /// first.
  void list(const std::string& prefix, RequestPriority priority, const ListHandler& done);
  /// Executes the transaction.
  void commit(const Transaction& transaction, RequestPriority priority, TransactionHandler done);
  /// Reads the changes below `prefix` after revision `since`. With `block` > 0 the request is a
  /// watch, which stays open until the first change or for that time and ignores `priority`.
  void changes(const std::string& prefix, Revision since, std::chrono::milliseconds block,
               RequestPriority priority, ChangesHandler done);

  /// Creates a lease. It ends, and the keys attached to it are deleted, unless it is extended
  /// within `time_to_live`.
  void create_lease(std::chrono::milliseconds time_to_live, LeaseHandler done);
  void extend_lease(LeaseId lease, OutcomeHandler done);
  void revoke_lease(LeaseId lease);

  /// Returns how long a user's write would wait for the share if it were sent now. Callers use it
  /// to shed load.
  core::Duration expected_write_wait() { return pacer_.expected_write_wait(); }
  /// Returns how long a user's read would wait for the share if it were sent now.
  core::Duration expected_read_wait() { return pacer_.expected_read_wait(); }
  /// Whether the state service has not responded for longer than the timeout of one request. A
  /// user's request then gets `Outcome::unknown` without being sent; other requests are still sent.
  bool silent(core::TimePoint now) const { return pacer_.silent(now); }
  /// Returns the average time between two writes at this node's share.
  core::Duration write_interval() const { return pacer_.write_interval(); }
  /// Whether no request waits for the share, so that background work may use the rest of it.
  bool idle() const { return pacer_.idle(); }

 private:
  void list_page(const std::string& prefix, const std::string& since, RequestPriority priority,
                 const std::shared_ptr<ListResult>& gathered, const ListHandler& done);

  RequestPacer pacer_;
};

}  // namespace violetpulley::store
