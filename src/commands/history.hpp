/// @file
/// `violetpulley history show/verify/replay/compact`: works offline on a recorded history.
#pragma once

#include <CLI/CLI.hpp>

namespace violetpulley::commands {

/// Adds the command. `result` receives the exit code when the command was called.
void add_history(CLI::App& app, int& result);

}  // namespace violetpulley::commands
