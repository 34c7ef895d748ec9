/// @file
/// `violetpulley history show/verify/replay/compact`: reads and compacts a recorded history
/// offline.
#pragma once

#include <CLI/CLI.hpp>

namespace violetpulley::commands {

/// Adds the command to `app`. Running the command stores its exit code in `result`.
void add_history(CLI::App& app, int& result);

}  // namespace violetpulley::commands
