/// @file
/// Case files of `violetpulley pack`: placement problems written by hand in YAML (docs/solver.md
/// has an example). Owns no state.
#pragma once

#include "config/settings.hpp"
#include "solver/model.hpp"

namespace violetpulley::config {

/// Throws SettingsError with the line, path or name of the invalid entry, also if the running tasks
/// break a limit.
solver::Problem parse_case(const std::string& yaml);
/// Case file that `parse_case` reads as the same problem.
std::string case_text(const solver::Problem& problem);

}  // namespace violetpulley::config
