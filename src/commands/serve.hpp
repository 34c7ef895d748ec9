/// @file
/// Starts a controller, or checks its settings.
#pragma once

#include <string>

namespace violetpulley::commands {

/// Paths of the settings files.
struct ServeOptions {
  std::string config;
  std::string operators;  // empty: defaults
  std::string history;    // empty: no history
};

/// Runs a controller until SIGINT or SIGTERM. Returns an exit code; errors go to standard error.
int serve(const ServeOptions& options);
/// Reads and checks the settings. Returns an exit code; errors go to standard error.
int check(const ServeOptions& options);

}  // namespace violetpulley::commands
