#include "store/store_codec.hpp"

#include <spdlog/spdlog.h>

#include "net/http_status.hpp"

namespace violetpulley::store {

namespace {

// Field names on the wire (PROTOCOL).
namespace field {
constexpr const char* kKey = "k";
constexpr const char* kValue = "v";
constexpr const char* kItemRevision = "stamp";
constexpr const char* kStoreRevision = "ledger";
constexpr const char* kLease = "tenure";
constexpr const char* kTimeToLive = "ttl_ms";
constexpr const char* kRows = "rows";
constexpr const char* kTruncated = "truncated";
constexpr const char* kChanges = "news";
constexpr const char* kConditions = "if";
constexpr const char* kWrites = "then";
constexpr const char* kWrite = "write";
constexpr const char* kDelete = "delete";
constexpr const char* kFailed = "failed";
}  // namespace field

constexpr const char* kGet = "GET";
constexpr const char* kPost = "POST";
constexpr const char* kDeleteMethod = "DELETE";
constexpr const char* kItemsPath = "/store";
constexpr const char* kTransactionPath = "/txn";
constexpr const char* kChangesPath = "/changes";
constexpr const char* kLeasesPath = "/holds";
constexpr const char* kItemsPerPage = "1000";

Json encode_write(const Write& write) {
  if (!write.value) return Json{{field::kDelete, write.key}};
  Json put{{field::kWrite, write.key}, {field::kValue, *write.value}};
  if (write.lease) put[field::kLease] = *write.lease;
  return put;
}

Item decode_item(const Json& row) {
  return {row.at(field::kKey).get<std::string>(), row.at(field::kValue),
          row.at(field::kItemRevision).get<Revision>()};
}

Change decode_change(const Json& event) {
  Change change;
  change.revision = event.at(field::kItemRevision).get<Revision>();
  if (event.contains(field::kWrite)) {
    change.key = event.at(field::kWrite).get<std::string>();
    change.value = event.at(field::kValue);
  } else {
    change.key = event.at(field::kDelete).get<std::string>();
  }
  return change;
}

// Parses the body and passes it to `decode`. Sets the outcome to unknown if the body is malformed.
template <typename Result, typename Decode>
void decode_body(const std::string& body, Result& result, Decode decode) {
  try {
    decode(Json::parse(body));
  } catch (const Json::exception& problem) {
    spdlog::warn("malformed answer from the state service, treated as no answer: {}",
                 problem.what());
    result.outcome = Outcome::unknown;
  }
}

}  // namespace

net::Request encode_get(const std::string& key) {
  return {kGet, std::string(kItemsPath) + "/" + key, ""};
}

net::Request encode_list_page(const std::string& prefix, const std::string& since) {
  std::string target = std::string(kItemsPath) + "?prefix=" + prefix;
  if (!since.empty()) target += "&since=" + since;
  target += std::string("&page=") + kItemsPerPage;
  return {kGet, target, ""};
}

net::Request encode_transaction(const Transaction& transaction) {
  Json conditions = Json::array();
  for (const auto& condition : transaction.conditions)
    conditions.push_back(
        {{field::kKey, condition.key}, {field::kItemRevision, condition.revision}});
  Json writes = Json::array();
  for (const auto& write : transaction.writes) writes.push_back(encode_write(write));
  const Json body{{field::kConditions, std::move(conditions)}, {field::kWrites, std::move(writes)}};
  return {kPost, kTransactionPath, body.dump()};
}

net::Request encode_changes(const std::string& prefix, Revision since,
                            std::chrono::milliseconds block) {
  return {kGet,
          std::string(kChangesPath) + "?prefix=" + prefix + "&since=" + std::to_string(since) +
              "&block_ms=" + std::to_string(block.count()),
          ""};
}

net::Request encode_create_lease(std::chrono::milliseconds time_to_live) {
  return {kPost, kLeasesPath, Json{{field::kTimeToLive, time_to_live.count()}}.dump()};
}

net::Request encode_extend_lease(LeaseId lease) {
  return {kPost, std::string(kLeasesPath) + "/" + std::to_string(lease) + "/extend", "{}"};
}

net::Request encode_revoke_lease(LeaseId lease) {
  return {kDeleteMethod, std::string(kLeasesPath) + "/" + std::to_string(lease), ""};
}

Outcome decode_outcome(const std::optional<net::Response>& response) {
  if (!response) return Outcome::unknown;
  switch (response->status) {
    case net::kStatusOk:
      return Outcome::ok;
    case net::kStatusNotFound:
      return Outcome::not_found;
    case net::kStatusConflict:
      return Outcome::conflict;
    case net::kStatusGone:
      return Outcome::too_old;
    default:
      return Outcome::refused;
  }
}

GetResult decode_get(const std::optional<net::Response>& response) {
  GetResult result;
  result.outcome = decode_outcome(response);
  if (result.outcome == Outcome::ok)
    decode_body(response->body, result, [&](const Json& body) { result.item = decode_item(body); });
  return result;
}

bool decode_list_page(const std::optional<net::Response>& response, ListResult& list) {
  list.outcome = decode_outcome(response);
  if (list.outcome != Outcome::ok) return false;
  bool more = false;
  decode_body(response->body, list, [&](const Json& body) {
    if (list.revision == 0) list.revision = body.at(field::kStoreRevision).get<Revision>();
    const auto& rows = body.at(field::kRows);
    for (const auto& row : rows) list.items.push_back(decode_item(row));
    more = body.value(field::kTruncated, false) && !rows.empty();
  });
  return more;
}

TransactionResult decode_transaction(const std::optional<net::Response>& response) {
  TransactionResult result;
  result.outcome = decode_outcome(response);
  if (result.outcome == Outcome::unknown) return result;
  if (result.outcome != Outcome::ok && result.outcome != Outcome::conflict) {
    result.outcome = Outcome::refused;
    return result;
  }
  decode_body(response->body, result, [&](const Json& body) {
    result.revision = body.at(field::kStoreRevision).get<Revision>();
    if (body.contains(field::kFailed))
      result.failed_conditions = body.at(field::kFailed).get<std::vector<std::string>>();
  });
  return result;
}

ChangesResult decode_changes(const std::optional<net::Response>& response) {
  ChangesResult result;
  result.outcome = decode_outcome(response);
  if (result.outcome != Outcome::ok) return result;
  decode_body(response->body, result, [&](const Json& body) {
    result.revision = body.at(field::kStoreRevision).get<Revision>();
    for (const auto& event : body.at(field::kChanges))
      result.changes.push_back(decode_change(event));
  });
  return result;
}

LeaseResult decode_lease(const std::optional<net::Response>& response) {
  LeaseResult result;
  result.outcome = decode_outcome(response);
  if (result.outcome == Outcome::ok)
    decode_body(response->body, result,
                [&](const Json& body) { result.lease = body.at(field::kLease).get<LeaseId>(); });
  return result;
}

}  // namespace violetpulley::store
