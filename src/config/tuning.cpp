// The operators' own settings, in YAML. Unknown names are refused: a misspelt one would otherwise
// change nothing and tell nobody.
#include <yaml-cpp/yaml.h>

#include <cmath>
#include <functional>
#include <map>

#include "config/settings.hpp"

namespace violetpulley::config {

namespace {

using core::Seconds;

struct Range {
  double least;
  double most;
};

double number(const YAML::Node& node, const std::string& name, Range range) {
  double value = 0;
  try {
    value = node.as<double>();
  } catch (const YAML::Exception&) {
    throw SettingsError(name + ": must be a number");
  }
  if (!std::isfinite(value) || value < range.least || value > range.most)
    throw SettingsError(name + ": must lie between " + std::to_string(range.least) + " and " +
                        std::to_string(range.most));
  return value;
}

}  // namespace

core::Tuning parse_tuning(const std::string& text) {
  core::Tuning out;
  YAML::Node root;
  try {
    root = YAML::Load(text);
  } catch (const YAML::Exception& problem) {
    throw SettingsError(std::string("operators' settings: ") + problem.what());
  }
  if (root.IsNull()) return out;
  if (!root.IsMap()) throw SettingsError("operators' settings: must be a map");
  using Setter = std::function<void(const YAML::Node&, const std::string&)>;
  const auto seconds = [](Seconds& field, Range range) -> Setter {
    return [&field, range](const YAML::Node& node, const std::string& name) {
      field = Seconds(number(node, name, range));
    };
  };
  const auto plain = [](double& field, Range range) -> Setter {
    return [&field, range](const YAML::Node& node, const std::string& name) {
      field = number(node, name, range);
    };
  };
  const std::map<std::string, Setter> setters{
      {"bin_unit_s", seconds(out.bin_unit, {0.01, 3600})},
      {"round_s", seconds(out.round, {0.1, 60})},
      {"quick_round_s", seconds(out.quick_round, {0.02, 60})},
      {"clearing_wait_s", seconds(out.clearing_wait, {1, 3600})},
      {"clearing_use", plain(out.clearing_use, {0, 1})},
      {"idle_wait_s", seconds(out.idle_wait, {0, 3600})},
      {"boot_late_factor", plain(out.boot_late_factor, {1, 100})},
      {"refused_rest_s", seconds(out.refused_rest, {0.5, 3600})},
      {"silent_after_s", seconds(out.silent_after, {2, 3600})},
      {"lost_after_takeover_s", seconds(out.lost_after_takeover, {3, 3600})},
      {"lost_after_s", seconds(out.lost_after, {3, 3600})},
      {"dear_patience_s", seconds(out.dear_patience, {0, 3600})},
      {"dear_idle_wait_s", seconds(out.dear_idle_wait, {0, 3600})},
      {"quarantine_errors",
       [&out](const YAML::Node& node, const std::string& name) {
         out.quarantine_errors = static_cast<int>(number(node, name, {1, 1000}));
       }},
      {"bound_tasks_may_move",
       [&out](const YAML::Node& node, const std::string& name) {
         try {
           out.bound_tasks_may_move = node.as<bool>();
         } catch (const YAML::Exception&) {
           throw SettingsError(name + ": must be true or false");
         }
       }},
  };
  for (const auto& entry : root) {
    const auto name = entry.first.as<std::string>();
    const auto setter = setters.find(name);
    if (setter == setters.end()) throw SettingsError(name + ": is not a known setting");
    setter->second(entry.second, name);
  }
  return out;
}

}  // namespace violetpulley::config
