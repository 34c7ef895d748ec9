// What a report says before it comes to the tasks: enough to give a worker the leader's token, at a
// fraction of the cost of reading all of it.
#pragma once

#include <optional>
#include <string>

#include "core/types.hpp"

namespace violetpulley::agent {

struct ReportHead {
  core::MachineId machine;
  core::Token token = 0;
};

// Nothing when it is malformed, or does not say both: then the whole report is to be read.
std::optional<ReportHead> read_head(const std::string& body);

}  // namespace violetpulley::agent
