#include "store/store_client.hpp"

#include "store/store_codec.hpp"

namespace violetpulley::store {

using std::chrono::milliseconds;

namespace {

using OptionalResponse = std::optional<net::Response>;

constexpr milliseconds kTimeout{1500};
constexpr milliseconds kExtendLeaseTimeout{1000};
constexpr double kNoWrites = 0;

}  // namespace

StoreClient::StoreClient(asio::io_context& io, const asio::ip::tcp::endpoint& peer,
                         StoreShare share, std::uint64_t seed)
    : pacer_(io, peer, share, seed) {}

void StoreClient::get(const std::string& key, RequestPriority priority, GetHandler done) {
  pacer_.send(
      {encode_get(key), kTimeout, kNoWrites,
       [done = std::move(done)](const OptionalResponse& response) { done(decode_get(response)); }},
      priority);
}

void StoreClient::list(const std::string& prefix, RequestPriority priority,
                       const ListHandler& done) {
  list_page(prefix, "", priority, std::make_shared<ListResult>(), done);
}

void StoreClient::list_page(const std::string& prefix, const std::string& since,
                            RequestPriority priority, const std::shared_ptr<ListResult>& gathered,
                            const ListHandler& done) {
  pacer_.send({encode_list_page(prefix, since), kTimeout, kNoWrites,
               [=, this](const OptionalResponse& response) {
                 const bool more = decode_list_page(response, *gathered);
                 if (gathered->outcome == Outcome::ok && more)
                   return list_page(prefix, gathered->items.back().key, priority, gathered, done);
                 done(std::move(*gathered));
               }},
              priority);
}

void StoreClient::commit(const Transaction& transaction, RequestPriority priority,
                         TransactionHandler done) {
  pacer_.send(
      {encode_transaction(transaction), kTimeout, static_cast<double>(transaction.writes.size()),
       [done = std::move(done)](const OptionalResponse& response) {
         done(decode_transaction(response));
       }},
      priority);
}

void StoreClient::changes(const std::string& prefix, Revision since, milliseconds block,
                          RequestPriority priority, ChangesHandler done) {
  StoreRequest request{encode_changes(prefix, since, block), block + kTimeout, kNoWrites,
                       [done = std::move(done)](const OptionalResponse& response) {
                         done(decode_changes(response));
                       }};
  if (block > milliseconds(0)) return pacer_.send_watch(std::move(request));
  pacer_.send(std::move(request), priority);
}

void StoreClient::create_lease(milliseconds time_to_live, LeaseHandler done) {
  pacer_.send({encode_create_lease(time_to_live), kTimeout, kNoWrites,
               [done = std::move(done)](const OptionalResponse& response) {
                 done(decode_lease(response));
               }},
              RequestPriority::safety);
}

void StoreClient::extend_lease(LeaseId lease, OutcomeHandler done) {
  pacer_.send({encode_extend_lease(lease), kExtendLeaseTimeout, kNoWrites,
               [done = std::move(done)](const OptionalResponse& response) {
                 done(decode_outcome(response));
               }},
              RequestPriority::safety);
}

void StoreClient::revoke_lease(LeaseId lease) {
  // The response is ignored: a lease that was not revoked ends when its time to live has passed.
  pacer_.send({encode_revoke_lease(lease), kTimeout, kNoWrites, [](const OptionalResponse&) {}},
              RequestPriority::safety);
}

}  // namespace violetpulley::store
