// `violetpulley history show/verify/replay/compact`: a history that a controller wrote, offline.
#pragma once

#include <CLI/CLI.hpp>

namespace violetpulley::commands {

// Adds the command; `result` gets its exit code when it was called.
void add_history(CLI::App& app, int& result);

}  // namespace violetpulley::commands
