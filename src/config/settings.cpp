#include "config/settings.hpp"

#include <toml++/toml.h>

#include <cmath>
#include <fstream>
#include <iomanip>
#include <set>
#include <sstream>

#include "core/failover/leadership.hpp"
#include "net/http_client.hpp"

namespace violetpulley::config {

namespace {

[[noreturn]] void fail(const std::string& field, const std::string& problem) {
  throw SettingsError(field + ": " + problem);
}

std::string text_field(const toml::table& table, const std::string& where, const char* key) {
  const std::string field = where + key;
  const auto* node = table.get(key);
  if (node == nullptr) fail(field, "is missing");
  const auto value = node->value<std::string>();
  if (!value || !node->is_string()) fail(field, "must be a string");
  if (value->empty()) fail(field, "must not be empty");
  return *value;
}

std::string address_field(const toml::table& table, const std::string& where, const char* key) {
  auto value = text_field(table, where, key);
  try {
    net::parse_endpoint(value);
  } catch (const std::invalid_argument& problem) {
    fail(where + key, problem.what());
  }
  return value;
}

double number_field(const toml::table& table, const std::string& where, const char* key, double min,
                    std::optional<double> fallback = {}) {
  const std::string field = where + key;
  const auto* node = table.get(key);
  if (node == nullptr) {
    if (fallback) return *fallback;
    fail(field, "is missing");
  }
  if (!node->is_number()) fail(field, "must be a number");
  const double value = *node->value<double>();
  if (!std::isfinite(value) || value < min || value > 1e12) {
    std::ostringstream problem;
    problem << "must be a number of at least " << min;
    fail(field, problem.str());
  }
  return value;
}

const toml::table& table_field(const toml::table& table, const std::string& where,
                               const char* key) {
  const auto* node = table.get(key);
  if (node == nullptr) fail(where + key, "is missing");
  if (!node->is_table()) fail(where + key, "must be a table");
  return *node->as_table();
}

template <typename Each>
void for_each_table(const toml::table& table, const std::string& where, const char* key,
                    Each each) {
  const auto* node = table.get(key);
  if (node == nullptr) return;
  if (!node->is_array()) fail(where + key, "must be a list of tables");
  std::size_t index = 0;
  for (const auto& item : *node->as_array()) {
    const std::string path = where + key + "[" + std::to_string(index++) + "].";
    if (!item.is_table()) fail(path, "must be a table");
    each(*item.as_table(), path);
  }
}

void read_addresses(const toml::table& root, Settings& settings) {
  settings.member = text_field(root, "", "member");
  settings.zone = text_field(root, "", "site");
  settings.public_address = address_field(root, "", "public_addr");
  settings.peer_address = address_field(root, "", "mesh_addr");
}

void read_peers(const toml::table& root, Settings& settings) {
  std::set<std::string> members{settings.member};
  for_each_table(root, "", "siblings", [&](const toml::table& item, const std::string& path) {
    settings.peers.push_back({text_field(item, path, "member"), text_field(item, path, "site"),
                              address_field(item, path, "peer_addr")});
    const auto& member = settings.peers.back().member;
    if (!members.insert(member).second) fail(path + "member", "'" + member + "' is named twice");
  });
}

void read_services(const toml::table& root, Settings& settings) {
  const auto& services = table_field(root, "", "services");
  settings.cloud_address = address_field(services, "services.", "cloud");
  settings.state_address = address_field(services, "services.", "state");
}

void read_zones(const toml::table& table, Settings& settings) {
  const auto* zones = table.get("zones");
  if (zones == nullptr || !zones->is_array()) fail("settings.zones", "must be a list of zones");
  for (const auto& zone : *zones->as_array()) {
    if (!zone.is_string()) fail("settings.zones", "must hold strings");
    settings.zones.push_back(*zone.value<std::string>());
  }
  if (settings.zones.empty()) fail("settings.zones", "must not be empty");
}

void read_deployment(const toml::table& table, Settings& settings) {
  const auto nodes = number_field(table, "settings.", "nodes", 1);
  if (static_cast<std::size_t>(nodes) != settings.nodes())
    fail("settings.nodes", "must be the number of siblings plus one");
  read_zones(table, settings);
  settings.clock_skew = std::chrono::milliseconds(
      static_cast<long>(std::ceil(number_field(table, "settings.", "skew_ms", 0))));
}

void read_teams(const toml::table& table, Settings& settings) {
  std::set<std::string> names;
  for_each_table(table, "settings.", "teams",
                 [&](const toml::table& item, const std::string& path) {
                   core::Team team;
                   team.name = text_field(item, path, "name");
                   team.guaranteed_cpus = number_field(item, path, "cpus", 0, 0.0);
                   team.max_cpus = number_field(item, path, "cpus_max", 0, 0.0);
                   team.guaranteed_gpus = number_field(item, path, "gpus", 0, 0.0);
                   team.max_gpus = number_field(item, path, "gpus_max", 0, 0.0);
                   if (!names.insert(team.name).second)
                     fail(path + "name", "'" + team.name + "' is named twice");
                   settings.teams.push_back(team);
                 });
  if (settings.teams.empty()) fail("settings.teams", "must not be empty");
}

void read_objectives(const toml::table& table, Settings& settings) {
  for_each_table(table, "settings.", "objectives",
                 [&](const toml::table& item, const std::string& path) {
                   Objective objective;
                   objective.kind = text_field(item, path, "kind");
                   objective.job_class = item["class"].value_or(std::string());
                   objective.within = core::Seconds(number_field(item, path, "within_s", 0, 0.0));
                   objective.share = number_field(item, path, "share", 0, 0.0);
                   objective.times = number_field(item, path, "times", 0, 1.0);
                   settings.objectives.push_back(objective);
                 });
}

// The promised cancellation time must leave a leader time to serve requests, see
// Leadership::min_cancel_time.
void check_cancel_time(const Settings& settings, const std::string& field) {
  const auto min_time = core::Leadership::min_cancel_time(settings.workers, settings.clock_skew);
  if (settings.workers.cancel >= min_time) return;
  std::ostringstream problem;
  problem << "must be at least " << std::fixed << std::setprecision(1)
          << std::ceil(min_time.count() * 10) / 10 << " with this lease_s and skew_ms, or a leader "
          << "that loses the state service could exceed it";
  fail(field, problem.str());
}

void read_workers(const toml::table& table, Settings& settings) {
  const std::string path = "settings.workers.";
  const auto& workers = table_field(table, "settings.", "workers");
  auto& times = settings.workers;
  times.heartbeat_interval = core::Seconds(number_field(workers, path, "report_s", 0.1));
  times.lease = core::Seconds(number_field(workers, path, "lease_s", 1));
  times.cancel = core::Seconds(number_field(workers, path, "cancel_s", 1));
  times.gang_wait = core::Seconds(number_field(workers, path, "gang_wait_s", 0, 30.0));
  times.gang_peer = core::Seconds(number_field(workers, path, "gang_peer_s", 0, 4.0));
  check_cancel_time(settings, path + "cancel_s");
}

void read_service_limits(const toml::table& table, Settings& settings) {
  const auto& state = table_field(table, "settings.", "state");
  settings.state_requests_per_s = number_field(state, "settings.state.", "rps", 1);
  settings.state_writes_per_s = number_field(state, "settings.state.", "write_rps", 1);
  settings.state_value_kib = number_field(state, "settings.state.", "value_kb", 1);
  settings.state_changes_per_transaction =
      static_cast<std::size_t>(number_field(state, "settings.state.", "txn_ops", 3));
  const auto& cloud = table_field(table, "settings.", "cloud");
  settings.cloud_requests_per_s = number_field(cloud, "settings.cloud.", "rps", 0.1);
  settings.cloud_list_lag = core::Seconds(number_field(cloud, "settings.cloud.", "list_lag_s", 0));
  const auto& limits = table_field(table, "settings.", "limits");
  settings.max_sockets =
      static_cast<std::size_t>(number_field(limits, "settings.limits.", "max_sockets", 50));
}

// Fields are read in the order in which settings files list them, so the first error in the file is
// reported.
Settings from_table(const toml::table& root) {
  Settings settings;
  read_addresses(root, settings);
  read_peers(root, settings);
  read_services(root, settings);
  const auto& table = table_field(root, "", "settings");
  read_deployment(table, settings);
  read_teams(table, settings);
  read_objectives(table, settings);
  read_workers(table, settings);
  read_service_limits(table, settings);
  return settings;
}

std::string read_file(const std::filesystem::path& path) {
  std::ifstream file(path);
  if (!file) throw SettingsError(path.string() + ": cannot be read");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

Settings parse_settings(const std::string& text, const std::string& source) {
  try {
    return from_table(toml::parse(text, source));
  } catch (const toml::parse_error& problem) {
    std::ostringstream where;
    where << source << ": line " << problem.source().begin.line << ": " << problem.description();
    throw SettingsError(where.str());
  }
}

Settings load_settings(const std::filesystem::path& path) {
  return parse_settings(read_file(path), path.string());
}

OperatorSettings load_operator_settings(const std::filesystem::path& path) {
  return parse_operator_settings(read_file(path));
}

}  // namespace violetpulley::config
