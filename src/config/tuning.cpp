/// @file
/// The operators' settings, in YAML. Unknown names are rejected, since a misspelt setting would
/// otherwise be ignored silently. The YAML names are a stable interface that operators' files use;
/// where they differ from the names of the fields, this file maps them.
#include "config/yaml_fields.hpp"
#include "net/http_client.hpp"

namespace violetpulley::config {

namespace {

std::string read_address(const YAML::Node& node, const std::string& name) {
  auto address = text(node, name);
  try {
    net::parse_endpoint(address);
  } catch (const std::exception&) {
    throw SettingsError(name + ": must be an address and a port, such as 127.0.0.1:7400" +
                        line_of(node));
  }
  return address;
}

FieldSetter number_setter(double& field, Range range) {
  return [&field, range](const YAML::Node& node, const std::string& name) {
    field = number(node, name, range);
  };
}

// Fractions are truncated.
template <class Integer>
FieldSetter count_setter(Integer& field, Range range) {
  return [&field, range](const YAML::Node& node, const std::string& name) {
    field = static_cast<Integer>(number(node, name, range));
  };
}

FieldSetter flag_setter(bool& field) {
  return [&field](const YAML::Node& node, const std::string& name) { field = flag(node, name); };
}

FieldSetter address_setter(std::string& field) {
  return [&field](const YAML::Node& node, const std::string& name) {
    field = read_address(node, name);
  };
}

FieldSetters setters_of(OperatorSettings& settings) {
  auto& tuning = settings.tuning;
  return {
      {"bin_unit_s", seconds_setter(tuning.bin_unit, {0.01, 3600})},
      {"round_s", seconds_setter(tuning.round_interval, {0.1, 60})},
      {"quick_round_s", seconds_setter(tuning.min_round_interval, {0.02, 60})},
      {"clearing_wait_s", seconds_setter(tuning.consolidation_wait, {1, 3600})},
      {"clearing_use", number_setter(tuning.consolidation_threshold, {0, 1})},
      {"idle_wait_s", seconds_setter(tuning.idle_wait, {0, 3600})},
      {"boot_late_factor", number_setter(tuning.boot_late_factor, {1, 100})},
      {"refused_rest_s", seconds_setter(tuning.refused_cooldown, {0.5, 3600})},
      {"silent_after_s", seconds_setter(tuning.silent_after, {2, 3600})},
      {"lost_after_takeover_s", seconds_setter(tuning.lost_after_failover, {3, 3600})},
      {"lost_after_s", seconds_setter(tuning.lost_after, {3, 3600})},
      {"dear_patience_s", seconds_setter(tuning.on_demand_wait, {0, 3600})},
      {"dear_idle_wait_s", seconds_setter(tuning.on_demand_idle_wait, {0, 3600})},
      {"quarantine_errors", count_setter(tuning.quarantine_errors, {1, 1000})},
      {"most_given_up", number_setter(tuning.max_declared_dead_share, {0, 1})},
      {"begin_within_s", seconds_setter(tuning.begin_within, {10, 86'400})},
      {"still_alive", number_setter(tuning.assumed_alive_share, {0, 1})},
      {"most_orders", count_setter(tuning.max_commands_in_flight, {8, 100'000})},
      {"commit_starts", flag_setter(tuning.commit_starts)},
      {"bound_tasks_may_move", flag_setter(tuning.bound_tasks_may_move)},
      {"why_address", address_setter(settings.diagnostics_address)},
  };
}

}  // namespace

OperatorSettings parse_operator_settings(const std::string& yaml) {
  OperatorSettings settings;
  read_fields(yaml, "operators' settings", setters_of(settings));
  return settings;
}

}  // namespace violetpulley::config
