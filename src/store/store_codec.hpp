/// @file
/// Requests and responses of the state service on the wire (PROTOCOL). Stateless.
/// A response that cannot be decoded is logged and counts as no answer (`Outcome::unknown`).
#pragma once

#include <chrono>

#include "net/http_types.hpp"
#include "store/store_types.hpp"

namespace violetpulley::store {

net::Request encode_get(const std::string& key);
/// One page of the keys with `prefix`, from after the key `since`; an empty `since`: the first
/// page.
net::Request encode_list_page(const std::string& prefix, const std::string& since);
net::Request encode_transaction(const Transaction& transaction);
/// Changes after `since`; the state service waits up to `block` for the first one.
net::Request encode_changes(const std::string& prefix, Revision since,
                            std::chrono::milliseconds block);
net::Request encode_create_lease(std::chrono::milliseconds time_to_live);
net::Request encode_extend_lease(LeaseId lease);
net::Request encode_revoke_lease(LeaseId lease);

/// The outcome by the HTTP status alone.
Outcome decode_outcome(const std::optional<net::Response>& response);
GetResult decode_get(const std::optional<net::Response>& response);
TransactionResult decode_transaction(const std::optional<net::Response>& response);
ChangesResult decode_changes(const std::optional<net::Response>& response);
LeaseResult decode_lease(const std::optional<net::Response>& response);

/// Appends one page to `list`, whose revision is the one of its first page, and sets its outcome.
/// Returns whether more keys follow the last item.
bool decode_list_page(const std::optional<net::Response>& response, ListResult& list);

}  // namespace violetpulley::store
