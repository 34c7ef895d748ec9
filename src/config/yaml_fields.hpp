/// @file
/// Parses and checks fields of the operators' YAML files. The functions throw SettingsError that
/// names the field and its line. Owns no state.
#pragma once

#include <yaml-cpp/yaml.h>

#include <cmath>
#include <functional>
#include <map>
#include <string>

#include "config/settings.hpp"

namespace violetpulley::config {

/// Allowed values, both bounds included.
struct Range {
  double min;
  double max;
};

/// Reads one field from a node; the string is the name of the field in messages.
using FieldSetter = std::function<void(const YAML::Node&, const std::string&)>;
using FieldSetters = std::map<std::string, FieldSetter>;

/// " (line 3)", or nothing if the node has no position.
inline std::string line_of(const YAML::Node& node) {
  return node.Mark().line < 0 ? "" : " (line " + std::to_string(node.Mark().line + 1) + ")";
}

inline double number(const YAML::Node& node, const std::string& name, Range range) {
  double value = 0;
  try {
    value = node.as<double>();
  } catch (const YAML::Exception&) {
    throw SettingsError(name + ": must be a number" + line_of(node));
  }
  if (!std::isfinite(value) || value < range.min || value > range.max)
    throw SettingsError(name + ": must lie between " + std::to_string(range.min) + " and " +
                        std::to_string(range.max) + line_of(node));
  return value;
}

inline bool flag(const YAML::Node& node, const std::string& name) {
  try {
    return node.as<bool>();
  } catch (const YAML::Exception&) {
    throw SettingsError(name + ": must be true or false" + line_of(node));
  }
}

inline std::string text(const YAML::Node& node, const std::string& name) {
  if (!node.IsScalar() || node.Scalar().empty())
    throw SettingsError(name + ": must be a text that is not empty" + line_of(node));
  return node.Scalar();
}

inline FieldSetter seconds_setter(core::Seconds& field, Range range) {
  return [&field, range](const YAML::Node& node, const std::string& name) {
    field = core::Seconds(number(node, name, range));
  };
}

/// Reads a map and rejects names without a setter; `what` names the file in messages.
inline void read_fields(const std::string& yaml, const std::string& what,
                        const FieldSetters& setters) {
  YAML::Node root;
  try {
    root = YAML::Load(yaml);
  } catch (const YAML::Exception& problem) {
    throw SettingsError(what + ": " + problem.what());
  }
  if (root.IsNull()) return;
  if (!root.IsMap()) throw SettingsError(what + ": must be a map");
  for (const auto& entry : root) {
    const auto name = entry.first.as<std::string>();
    const auto setter = setters.find(name);
    if (setter == setters.end())
      throw SettingsError(name + ": is not a known setting" + line_of(entry.first));
    setter->second(entry.second, name);
  }
}

}  // namespace violetpulley::config
