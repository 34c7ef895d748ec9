// Starts a controller, or checks its settings.
#pragma once

#include <string>

namespace violetpulley::commands {

struct ServeOptions {
  std::string config;
  std::string operators;
  std::string history;
};

// Both return an exit code; complaints go to standard error.
int serve(const ServeOptions& options);
int check(const ServeOptions& options);

}  // namespace violetpulley::commands
