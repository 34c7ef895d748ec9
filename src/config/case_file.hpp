// Cases for `violetpulley pack`, written by hand (YAML, docs/solver.md has an example).
#pragma once

#include "config/settings.hpp"
#include "solver/model.hpp"

namespace violetpulley::config {

// Throws SettingsError with the line or the path of what is wrong, also if what runs breaks a
// limit.
solver::Problem parse_case(const std::string& yaml);
// A text that `parse_case` reads as the same problem.
std::string case_text(const solver::Problem& problem);

}  // namespace violetpulley::config
