/// @file
/// Encoding of requests to the state service and decoding of its responses (PROTOCOL). Stateless.
/// A response that cannot be decoded is logged and treated as lost (`Outcome::unknown`).
#pragma once

#include <chrono>

#include "net/http_types.hpp"
#include "store/store_types.hpp"

namespace violetpulley::store {

net::Request encode_get(const std::string& key);
/// Requests one page of the keys with `prefix`, starting after the key `since`, or the first page
/// if `since` is empty.
net::Request encode_list_page(const std::string& prefix, const std::string& since);
net::Request encode_transaction(const Transaction& transaction);
/// Requests the changes after `since`. The state service waits up to `block` for the first change.
net::Request encode_changes(const std::string& prefix, Revision since,
                            std::chrono::milliseconds block);
net::Request encode_create_lease(std::chrono::milliseconds time_to_live);
net::Request encode_extend_lease(LeaseId lease);
net::Request encode_revoke_lease(LeaseId lease);

/// Returns the outcome given by the HTTP status, without regard to the body.
Outcome decode_outcome(const std::optional<net::Response>& response);
GetResult decode_get(const std::optional<net::Response>& response);
TransactionResult decode_transaction(const std::optional<net::Response>& response);
ChangesResult decode_changes(const std::optional<net::Response>& response);
LeaseResult decode_lease(const std::optional<net::Response>& response);

/// Appends one page to `list` and sets its outcome; the first page also sets its revision. Returns
/// whether more keys follow the last item.
bool decode_list_page(const std::optional<net::Response>& response, ListResult& list);

}  // namespace violetpulley::store
