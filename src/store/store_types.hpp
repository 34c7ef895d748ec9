/// @file
/// Values, transactions and results of the state service, independent of their wire format.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/model/types.hpp"

namespace violetpulley::store {

using Json = nlohmann::json;
using core::Revision;
using LeaseId = std::uint64_t;

/// A stored value does not have the expected form.
class DecodeError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Order of requests when this node's share of the rate limits is exhausted.
enum class RequestPriority {
  safety,      ///< Sent at once; counts against the share but never waits for it.
  user,        ///< A user waits for the response.
  background,  ///< All other requests.
};

/// Outcome of a request.
enum class Outcome {
  ok,         ///< Executed.
  conflict,   ///< Not executed: a condition of the transaction does not hold.
  not_found,  ///< Not executed: the key or lease does not exist.
  too_old,    ///< Not executed: the changes since the requested revision are no longer available.
  refused,    ///< Not executed, for any other reason.
  unknown,    ///< No usable response: the request may have been executed or may be executed later.
};

/// A key with its value and the revision of its last change.
struct Item {
  std::string key;
  Json value;
  Revision revision = 0;
};

/// A change of a key, as a watch reports it.
struct Change {
  std::string key;
  std::optional<Json> value;  ///< Empty if the key was deleted.
  Revision revision = 0;
};

/// Holds if the key's last change has this revision, or, for revision 0, if the key does not exist.
struct Condition {
  std::string key;
  Revision revision = 0;
};

/// One write of a transaction.
struct Write {
  std::string key;
  std::optional<Json> value;     ///< Empty to delete the key.
  std::optional<LeaseId> lease;  ///< Lease that the key is attached to; its end deletes the key.
};

/// All writes are executed atomically if all conditions hold, and none otherwise.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

struct TransactionResult {
  Outcome outcome = Outcome::unknown;
  Revision revision = 0;  ///< Of the transaction, or of the store after a conflict.
  std::vector<std::string> failed_conditions;  ///< Keys whose conditions do not hold.
};

struct GetResult {
  Outcome outcome = Outcome::unknown;
  Item item;
};

struct ListResult {
  Outcome outcome = Outcome::unknown;
  std::vector<Item> items;
  Revision revision = 0;  ///< Revision of the first page, from which later changes must be watched.
};

struct ChangesResult {
  Outcome outcome = Outcome::unknown;
  std::vector<Change> changes;
  Revision revision = 0;  ///< Revision up to which `changes` is complete.
};

struct LeaseResult {
  Outcome outcome = Outcome::unknown;
  LeaseId lease = 0;
};

using GetHandler = std::function<void(GetResult)>;
using ListHandler = std::function<void(ListResult)>;
using ChangesHandler = std::function<void(ChangesResult)>;
using TransactionHandler = std::function<void(TransactionResult)>;
using LeaseHandler = std::function<void(LeaseResult)>;
using OutcomeHandler = std::function<void(Outcome)>;

}  // namespace violetpulley::store
