/// @file
/// Text and JSON of records, and the jobs and machines that they concern, for
/// `violetpulley history show`. Pure functions without state.
#pragma once

#include <nlohmann/json.hpp>

#include "history/records.hpp"

namespace violetpulley::history {

/// The jobs and machines that a record concerns; empty if it concerns none in particular.
struct Subjects {
  std::vector<core::JobId> jobs;
  std::vector<core::MachineId> machines;
};
/// The jobs and machines named in the record's event.
Subjects subjects_of(const Record& record);

/// The event's name in tables, "acted" for recorded actions.
std::string kind_of(const Record& record);
/// One line of text for the operator.
std::string describe(const Record& record);
/// `number`: the record's place in the history, counted from 0.
nlohmann::json to_json(const Record& record, std::uint64_t number);

}  // namespace violetpulley::history
