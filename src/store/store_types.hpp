/// @file
/// Values, transactions and results of the state service, independent of their form on the wire.
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

/// Which requests go first when this node's share of the limits is used up.
enum class RequestPriority {
  safety,      ///< sent at once; uses the share, but never waits for it
  user,        ///< a user waits for the answer
  background,  ///< everything else
};

/// The result of a request.
enum class Outcome {
  ok,         ///< executed
  conflict,   ///< not executed: a condition of the transaction does not hold
  not_found,  ///< not executed: the key or lease does not exist
  too_old,    ///< not executed: the changes since that revision are no longer kept
  refused,    ///< certainly not executed
  unknown,    ///< no usable answer: it may have been, or may yet be, executed
};

/// A key with its value, as read.
struct Item {
  std::string key;
  Json value;
  Revision revision = 0;
};

/// A change of a key, as a watch reports it.
struct Change {
  std::string key;
  std::optional<Json> value;  ///< empty: the key was deleted
  Revision revision = 0;
};

/// Holds if the key's last change has this revision; 0: the key must not exist.
struct Condition {
  std::string key;
  Revision revision = 0;
};

/// One write of a transaction.
struct Write {
  std::string key;
  std::optional<Json> value;     ///< empty: delete the key
  std::optional<LeaseId> lease;  ///< the key is deleted when this lease ends
};

/// All writes are executed if all conditions hold, and none otherwise.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

struct TransactionResult {
  Outcome outcome = Outcome::unknown;
  Revision revision = 0;  ///< of the transaction, or of the store on a conflict
  std::vector<std::string> failed_conditions;  ///< keys whose conditions do not hold
};

struct GetResult {
  Outcome outcome = Outcome::unknown;
  Item item;
};

struct ListResult {
  Outcome outcome = Outcome::unknown;
  std::vector<Item> items;
  Revision revision = 0;  ///< of the first page: later changes must be watched from here
};

struct ChangesResult {
  Outcome outcome = Outcome::unknown;
  std::vector<Change> changes;
  Revision revision = 0;  ///< up to which `changes` is complete
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
