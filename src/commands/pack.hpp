// `violetpulley pack CASE.yaml`: places a written case, and says how to get there and what is left
// out and why.
#pragma once

#include <CLI/CLI.hpp>

namespace violetpulley::commands {

// Adds the command; `result` gets its exit code when it was called.
void add_pack(CLI::App& app, int& result);

}  // namespace violetpulley::commands
