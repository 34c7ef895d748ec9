/// @file
/// Text and JSON of records, and the jobs and machines that a record concerns, for
/// `violetpulley history show`. Holds no state.
#pragma once

#include <nlohmann/json.hpp>

#include "history/records.hpp"

namespace violetpulley::history {

/// The jobs and machines that a record concerns.
struct MentionedEntities {
  std::vector<core::JobId> jobs;
  std::vector<core::MachineId> machines;
};
/// The jobs and machines named in the record's event; empty for recorded actions.
MentionedEntities mentioned_entities_of(const Record& record);

/// The name of the record's event; "acted" for recorded actions.
std::string kind_of(const Record& record);
/// One line of text about the record.
std::string describe(const Record& record);
/// `number` is the record's index in the history, from 0.
nlohmann::json to_json(const Record& record, std::uint64_t number);

}  // namespace violetpulley::history
