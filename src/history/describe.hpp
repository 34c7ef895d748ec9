// Records in words and as JSON, and what they are about, for `violetpulley history show`.
#pragma once

#include <nlohmann/json.hpp>

#include "history/records.hpp"

namespace violetpulley::history {

// What a record is about; empty: it is about no single one.
struct Subjects {
  std::vector<core::JobId> jobs;
  std::vector<core::MachineId> machines;
};
Subjects subjects_of(const Record& record);

std::string kind_of(const Record& record);
// One line for people.
std::string describe(const Record& record);
nlohmann::json to_json(const Record& record, std::uint64_t number);

}  // namespace violetpulley::history
