/// @file
/// `violetpulley pack CASE.yaml`: solves a placement case from a file, and prints the steps from
/// the present placement and the reasons of unplaced tasks.
#pragma once

#include <CLI/CLI.hpp>

namespace violetpulley::commands {

/// Adds the command. `result` receives the exit code when the command was called.
void add_pack(CLI::App& app, int& result);

}  // namespace violetpulley::commands
