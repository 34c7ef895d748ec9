/// @file
/// `violetpulley pack CASE.yaml`: solves a placement case from a file and prints the placement, the
/// steps from the current placement to it, and why tasks were not placed.
#pragma once

#include <CLI/CLI.hpp>

namespace violetpulley::commands {

/// Adds the command to `app`. Running the command stores its exit code in `result`.
void add_pack(CLI::App& app, int& result);

}  // namespace violetpulley::commands
