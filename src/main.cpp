/// @file
/// The command line: parses options and subcommands and sets the log level.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

#include "commands/exit_codes.hpp"
#include "commands/history.hpp"
#include "commands/pack.hpp"
#include "commands/serve.hpp"

namespace {

using namespace violetpulley::commands;

/// Sets up logging to standard error at the level that LOG_LEVEL names (default: info). Returns
/// false if the level is unknown.
bool set_log_level() {
  spdlog::set_default_logger(spdlog::stderr_logger_st("violetpulley"));
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  const char* level_name = std::getenv("LOG_LEVEL");
  const std::string level = level_name == nullptr ? "info" : level_name;
  if (level == "error")
    spdlog::set_level(spdlog::level::err);
  else if (level == "info" || level.empty())
    spdlog::set_level(spdlog::level::info);
  else if (level == "debug")
    spdlog::set_level(spdlog::level::debug);
  else
    return false;
  return true;
}

/// Adds the options that the commands `serve` and `check` share.
void add_serve_options(CLI::App& app, ServeOptions& options, bool required) {
  auto* config = app.add_option("--config", options.config, "the platform's settings file (TOML)");
  if (required) config->required();
  app.add_option("--operator-settings", options.operator_settings,
                 "the operators' own settings (YAML)");
  app.add_option("--history", options.history, "settings of the history (YAML, see deploy/)");
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"violetpulley: a cluster scheduler that packs tasks by predicted run time"};
  int result = kSuccess;
  ServeOptions options;
  bool only_check = false;
  app.set_version_flag("--version", std::string("violetpulley ") + VIOLETPULLEY_VERSION);
  add_serve_options(app, options, false);
  app.add_flag("--check", only_check, "check the settings and exit");
  app.require_subcommand(0, 1);
  auto* serve_command =
      app.add_subcommand("serve", "start a controller; the same as without a command");
  add_serve_options(*serve_command, options, true);
  auto* check_command = app.add_subcommand("check", "check the settings and exit");
  add_serve_options(*check_command, options, true);
  if (!set_log_level()) {
    std::cerr << "violetpulley: LOG_LEVEL must be error, info or debug\n";
    return kInvalidInput;
  }
  add_history(app, result);
  add_pack(app, result);
  try {
    app.parse(argc, argv);
    const bool other =
        !app.get_subcommands().empty() && !serve_command->parsed() && !check_command->parsed();
    if (other) return result;
    if (options.config.empty()) throw CLI::RequiredError("--config");
  } catch (const CLI::ParseError& problem) {
    return app.exit(problem) == 0 ? kSuccess : kInvalidInput;
  }
  return only_check || check_command->parsed() ? check(options) : serve(options);
}
