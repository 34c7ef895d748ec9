/// @file
/// Checks whether a submitted job can ever run in this deployment. Stateless.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/model/types.hpp"

namespace violetpulley::api {

/// Returns why the job can never run (the text of an HTTP 422 response), or null if the job can
/// run. `zones`: all zones of the deployment.
std::optional<std::string> refusal_reason(const core::JobSpec& spec,
                                          const std::vector<core::Team>& teams,
                                          const std::vector<core::MachineType>& types,
                                          const std::vector<std::string>& zones);

}  // namespace violetpulley::api
