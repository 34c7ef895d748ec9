/// @file
/// Whether a submitted job can ever run in this deployment. Stateless.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/model/types.hpp"

namespace violetpulley::api {

/// Why the job can never run (HTTP 422); empty: it can. `zones`: all zones of the deployment.
std::optional<std::string> refusal_reason(const core::JobSpec& spec,
                                          const std::vector<core::Team>& teams,
                                          const std::vector<core::MachineType>& types,
                                          const std::vector<std::string>& zones);

}  // namespace violetpulley::api
