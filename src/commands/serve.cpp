#include "commands/serve.hpp"

#include <spdlog/spdlog.h>

#include <iostream>

#include "commands/exit_codes.hpp"
#include "node/node.hpp"

namespace violetpulley::commands {

namespace {

struct AllSettings {
  config::Settings platform;
  config::OperatorSettings operator_settings;
  config::HistorySettings history;
};

AllSettings load(const ServeOptions& options) {
  AllSettings out;
  out.platform = config::load_settings(options.config);
  if (!options.operator_settings.empty())
    out.operator_settings = config::load_operator_settings(options.operator_settings);
  if (!options.history.empty()) out.history = config::load_history_settings(options.history);
  return out;
}

// Runs `work` with the loaded settings; returns kInvalidInput if they are malformed.
template <class Work>
int with_settings(const ServeOptions& options, const Work& work) {
  AllSettings settings;
  try {
    settings = load(options);
  } catch (const config::SettingsError& problem) {
    std::cerr << "violetpulley: " << problem.what() << "\n";
    return kInvalidInput;
  }
  return work(std::move(settings));
}

}  // namespace

int check(const ServeOptions& options) {
  return with_settings(options, [](const AllSettings& settings) {
    std::cout << "settings of " << settings.platform.member << " are good\n";
    return kSuccess;
  });
}

int serve(const ServeOptions& options) {
  return with_settings(options, [](AllSettings settings) {
    try {
      asio::io_context io(1);
      asio::signal_set signals(io, SIGINT, SIGTERM);
      Node node(io, std::move(settings.platform), settings.operator_settings,
                std::move(settings.history));
      signals.async_wait([&io](const asio::error_code& error, int signal) {
        if (error) return;
        spdlog::info("ending on signal {}", signal);
        io.stop();
      });
      io.run();
    } catch (const std::exception& problem) {
      std::cerr << "violetpulley: " << problem.what() << "\n";
      return kServiceFailed;
    }
    return kSuccess;
  });
}

}  // namespace violetpulley::commands
