/// @file
/// The operators' settings of the event history (deploy/history.yaml, docs/history.md).
#pragma once

#include <filesystem>
#include <optional>

#include "config/settings.hpp"
#include "history/event_log.hpp"

namespace violetpulley::config {

/// Where the history is stored; the setting is `home`.
enum class HistoryLocation { off, directory, state_service };

struct HistorySettings {
  HistoryLocation location = HistoryLocation::off;
  std::string directory;
  std::optional<history::Key> key;
  history::LogSettings log;
  /// Learned state older than this is not used.
  core::Seconds max_age{3600};
};

/// Throws SettingsError that names the invalid field. Also reads and checks the file that
/// `key_file` names.
HistorySettings load_history_settings(const std::filesystem::path& path);
HistorySettings parse_history_settings(const std::string& yaml);
/// Reads a key file; throws SettingsError that names `field`.
history::Key load_key(const std::filesystem::path& path, const std::string& field);

}  // namespace violetpulley::config
