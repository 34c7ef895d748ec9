#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

#include "node.hpp"

namespace {

// Exit codes, as in docs/operations.md.
constexpr int kBadSettings = 2;
constexpr int kCannotServe = 3;

bool set_log_level() {
  spdlog::set_default_logger(spdlog::stderr_logger_st("violetpulley"));
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  const char* given = std::getenv("LOG_LEVEL");
  const std::string level = given == nullptr ? "info" : given;
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

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"violetpulley: a cluster scheduler that packs tasks by predicted run time"};
  std::string config;
  std::string operators;
  bool check = false;
  app.set_version_flag("--version", std::string("violetpulley ") + VIOLETPULLEY_VERSION);
  app.add_option("--config", config, "the platform's settings file (TOML)")->required();
  app.add_option("--operator-settings", operators, "the operators' own settings (YAML)");
  app.add_flag("--check", check, "check the settings and exit");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& problem) {
    return app.exit(problem) == 0 ? 0 : kBadSettings;
  }
  if (!set_log_level()) {
    std::cerr << "violetpulley: LOG_LEVEL must be error, info or debug\n";
    return kBadSettings;
  }
  violetpulley::config::Settings settings;
  violetpulley::core::Tuning tuning;
  try {
    settings = violetpulley::config::load_settings(config);
    if (!operators.empty()) tuning = violetpulley::config::load_tuning(operators);
  } catch (const violetpulley::config::SettingsError& problem) {
    std::cerr << "violetpulley: " << problem.what() << "\n";
    return kBadSettings;
  }
  if (check) {
    std::cout << "settings of " << settings.member << " are good\n";
    return 0;
  }
  try {
    asio::io_context io(1);
    asio::signal_set signals(io, SIGINT, SIGTERM);
    violetpulley::Node node(io, std::move(settings), tuning);
    signals.async_wait([&io](const asio::error_code& error, int signal) {
      if (error) return;
      spdlog::info("ending on signal {}", signal);
      io.stop();
    });
    io.run();
  } catch (const std::exception& problem) {
    std::cerr << "violetpulley: " << problem.what() << "\n";
    return kCannotServe;
  }
  return 0;
}
