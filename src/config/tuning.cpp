// The operators' own settings, in YAML. Unknown names are refused: a misspelt one would otherwise
// change nothing and tell nobody.
#include "config/yaml_fields.hpp"
#include "net/http_client.hpp"

namespace violetpulley::config {

namespace {

std::string text_of_address(const YAML::Node& node, const std::string& name) {
  const auto out = text(node, name);
  try {
    net::parse_endpoint(out);
  } catch (const std::exception&) {
    throw SettingsError(name + ": must be an address and a port, as 127.0.0.1:7400" +
                        line_of(node));
  }
  return out;
}

}  // namespace

Operators parse_operators(const std::string& yaml) {
  Operators operators;
  auto& out = operators.tuning;
  const auto plain = [](double& field, Range range) -> FieldSetter {
    return [&field, range](const YAML::Node& node, const std::string& name) {
      field = number(node, name, range);
    };
  };
  const FieldSetters setters{
      {"bin_unit_s", seconds_field(out.bin_unit, {0.01, 3600})},
      {"round_s", seconds_field(out.round, {0.1, 60})},
      {"quick_round_s", seconds_field(out.quick_round, {0.02, 60})},
      {"clearing_wait_s", seconds_field(out.consolidation_wait, {1, 3600})},
      {"clearing_use", plain(out.consolidation_threshold, {0, 1})},
      {"idle_wait_s", seconds_field(out.idle_wait, {0, 3600})},
      {"boot_late_factor", plain(out.boot_late_factor, {1, 100})},
      {"refused_rest_s", seconds_field(out.refused_cooldown, {0.5, 3600})},
      {"silent_after_s", seconds_field(out.silent_after, {2, 3600})},
      {"lost_after_takeover_s", seconds_field(out.lost_after_failover, {3, 3600})},
      {"lost_after_s", seconds_field(out.lost_after, {3, 3600})},
      {"dear_patience_s", seconds_field(out.on_demand_patience, {0, 3600})},
      {"dear_idle_wait_s", seconds_field(out.on_demand_idle_wait, {0, 3600})},
      {"quarantine_errors",
       [&out](const YAML::Node& node, const std::string& name) {
         out.quarantine_errors = static_cast<int>(number(node, name, {1, 1000}));
       }},
      {"most_given_up", plain(out.max_declared_dead_share, {0, 1})},
      {"begin_within_s", seconds_field(out.begin_within, {10, 86'400})},
      {"still_alive", plain(out.still_alive, {0, 1})},
      {"most_orders",
       [&out](const YAML::Node& node, const std::string& name) {
         out.max_commands_in_flight = static_cast<std::size_t>(number(node, name, {8, 100'000}));
       }},
      {"commit_starts", [&out](const YAML::Node& node,
                               const std::string& name) { out.commit_starts = flag(node, name); }},
      {"bound_tasks_may_move",
       [&out](const YAML::Node& node, const std::string& name) {
         out.bound_tasks_may_move = flag(node, name);
       }},
      {"why_address",
       [&operators](const YAML::Node& node, const std::string& name) {
         operators.why_address = text_of_address(node, name);
       }},
  };
  read_fields(yaml, "operators' settings", setters);
  return operators;
}

}  // namespace violetpulley::config
