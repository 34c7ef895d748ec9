#include "config/history_settings.hpp"

#include <fstream>
#include <sstream>

#include "config/yaml_fields.hpp"

namespace violetpulley::config {

namespace {

std::string contents_of(const std::filesystem::path& path, const std::string& what) {
  std::ifstream file(path);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf()))
    throw SettingsError(what + ": cannot read " + path.string());
  return text.str();
}

}  // namespace

history::Key load_key(const std::filesystem::path& path, const std::string& field) {
  try {
    return history::parse_key(contents_of(path, field));
  } catch (const std::invalid_argument& problem) {
    throw SettingsError(field + ": " + path.string() + ": " + problem.what());
  }
}

HistorySettings load_history_settings(const std::filesystem::path& path) {
  return parse_history_settings(contents_of(path, "history settings"));
}

HistorySettings parse_history_settings(const std::string& yaml) {
  HistorySettings out;
  const auto choice_setter = [](auto& field, auto values) -> FieldSetter {
    return [&field, values](const YAML::Node& node, const std::string& name) {
      const auto found = values.find(text(node, name));
      std::string known;
      for (const auto& [word, value] : values) known += (known.empty() ? "" : ", ") + word;
      if (found == values.end())
        throw SettingsError(name + ": must be one of " + known + line_of(node));
      field = found->second;
    };
  };
  using history::SyncPolicy;
  const FieldSetters setters{
      {"home", choice_setter(out.location,
                             std::map<std::string, HistoryLocation>{
                                 {"off", HistoryLocation::off},
                                 {"directory", HistoryLocation::directory},
                                 {"state-service", HistoryLocation::state_service}})},
      {"directory", [&out](const YAML::Node& node,
                           const std::string& name) { out.directory = text(node, name); }},
      {"key_file", [&out](const YAML::Node& node,
                          const std::string& name) { out.key = load_key(text(node, name), name); }},
      {"interval_s", seconds_setter(out.log.snapshot_interval, {1, 86400})},
      {"sync", choice_setter(out.log.sync,
                             std::map<std::string, SyncPolicy>{{"never", SyncPolicy::never},
                                                               {"interval", SyncPolicy::interval},
                                                               {"always", SyncPolicy::always}})},
      {"sync_every_s", seconds_setter(out.log.sync_interval, {0.01, 3600})},
      {"most_mb",
       [&out](const YAML::Node& node, const std::string& name) {
         out.log.max_bytes_between_snapshots =
             static_cast<std::uint64_t>(number(node, name, {1, 1e6}) * 1024 * 1024);
       }},
      {"most_age_s", seconds_setter(out.max_age, {1, 30 * 86400.0})},
  };
  read_fields(yaml, "history settings", setters);
  if (out.location == HistoryLocation::directory && out.directory.empty())
    throw SettingsError("directory: is missing, but is required when home is directory");
  return out;
}

}  // namespace violetpulley::config
