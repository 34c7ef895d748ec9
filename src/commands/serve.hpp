/// @file
/// `violetpulley serve` and `violetpulley check`: run a controller, or check its settings files.
#pragma once

#include <string>

namespace violetpulley::commands {

/// Paths of the settings files.
struct ServeOptions {
  std::string config;
  std::string operator_settings;  // empty: defaults
  std::string history;            // empty: no history
};

/// Runs a controller until SIGINT or SIGTERM. Returns an exit code; errors go to standard error.
int serve(const ServeOptions& options);
/// Loads and checks the settings. Returns an exit code; errors go to standard error.
int check(const ServeOptions& options);

}  // namespace violetpulley::commands
