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

std::string text_at(const toml::table& table, const std::string& where, const char* key) {
  const std::string field = where + key;
  const auto* node = table.get(key);
  if (node == nullptr) fail(field, "is missing");
  const auto value = node->value<std::string>();
  if (!value || !node->is_string()) fail(field, "must be a string");
  if (value->empty()) fail(field, "must not be empty");
  return *value;
}

std::string address_at(const toml::table& table, const std::string& where, const char* key) {
  auto value = text_at(table, where, key);
  try {
    net::parse_endpoint(value);
  } catch (const std::invalid_argument& problem) {
    fail(where + key, problem.what());
  }
  return value;
}

double number_at(const toml::table& table, const std::string& where, const char* key, double least,
                 std::optional<double> fallback = {}) {
  const std::string field = where + key;
  const auto* node = table.get(key);
  if (node == nullptr) {
    if (fallback) return *fallback;
    fail(field, "is missing");
  }
  if (!node->is_number()) fail(field, "must be a number");
  const double value = *node->value<double>();
  if (!std::isfinite(value) || value < least || value > 1e12) {
    std::ostringstream problem;
    problem << "must be a number of at least " << least;
    fail(field, problem.str());
  }
  return value;
}

const toml::table& table_at(const toml::table& table, const std::string& where, const char* key) {
  const auto* node = table.get(key);
  if (node == nullptr) fail(where + key, "is missing");
  if (!node->is_table()) fail(where + key, "must be a table");
  return *node->as_table();
}

template <typename Each>
void each_table(const toml::table& table, const std::string& where, const char* key, Each each) {
  const auto* node = table.get(key);
  if (node == nullptr) return;
  if (!node->is_array()) fail(where + key, "must be a list of tables");
  std::size_t index = 0;
  for (const auto& item : *node->as_array()) {
    const std::string at = where + key + "[" + std::to_string(index++) + "].";
    if (!item.is_table()) fail(at, "must be a table");
    each(*item.as_table(), at);
  }
}

Settings from_table(const toml::table& root) {
  Settings out;
  out.member = text_at(root, "", "member");
  out.zone = text_at(root, "", "site");
  out.public_address = address_at(root, "", "public_addr");
  out.peer_address = address_at(root, "", "mesh_addr");
  std::set<std::string> members{out.member};
  each_table(root, "", "siblings", [&](const toml::table& item, const std::string& at) {
    out.peers.push_back({text_at(item, at, "member"), text_at(item, at, "site"),
                         address_at(item, at, "peer_addr")});
    if (!members.insert(out.peers.back().member).second)
      fail(at + "member", "'" + out.peers.back().member + "' is named twice");
  });
  const auto& services = table_at(root, "", "services");
  out.cloud_address = address_at(services, "services.", "cloud");
  out.state_address = address_at(services, "services.", "state");

  const auto& settings = table_at(root, "", "settings");
  const auto nodes = number_at(settings, "settings.", "nodes", 1);
  if (static_cast<std::size_t>(nodes) != out.nodes())
    fail("settings.nodes", "does not match the number of siblings");
  const auto* zones = settings.get("zones");
  if (zones == nullptr || !zones->is_array()) fail("settings.zones", "must be a list of zones");
  for (const auto& zone : *zones->as_array()) {
    if (!zone.is_string()) fail("settings.zones", "must hold strings");
    out.zones.push_back(*zone.value<std::string>());
  }
  if (out.zones.empty()) fail("settings.zones", "must not be empty");
  out.clock_skew = std::chrono::milliseconds(
      static_cast<long>(std::ceil(number_at(settings, "settings.", "skew_ms", 0))));

  std::set<std::string> teams;
  each_table(settings, "settings.", "teams", [&](const toml::table& item, const std::string& at) {
    core::Team team;
    team.name = text_at(item, at, "name");
    team.guaranteed_cpus = number_at(item, at, "cpus", 0, 0.0);
    team.max_cpus = number_at(item, at, "cpus_max", 0, 0.0);
    team.guaranteed_gpus = number_at(item, at, "gpus", 0, 0.0);
    team.max_gpus = number_at(item, at, "gpus_max", 0, 0.0);
    if (!teams.insert(team.name).second) fail(at + "name", "'" + team.name + "' is named twice");
    out.teams.push_back(team);
  });
  if (out.teams.empty()) fail("settings.teams", "must not be empty");
  each_table(settings, "settings.", "objectives",
             [&](const toml::table& item, const std::string& at) {
               Objective objective;
               objective.kind = text_at(item, at, "kind");
               objective.job_class = item["class"].value_or(std::string());
               objective.within = core::Seconds(number_at(item, at, "within_s", 0, 0.0));
               objective.share = number_at(item, at, "share", 0, 0.0);
               objective.times = number_at(item, at, "times", 0, 1.0);
               out.objectives.push_back(objective);
             });

  const auto& workers = table_at(settings, "settings.", "workers");
  const std::string w = "settings.workers.";
  out.workers.heartbeat_interval = core::Seconds(number_at(workers, w, "report_s", 0.1));
  out.workers.lease = core::Seconds(number_at(workers, w, "lease_s", 1));
  out.workers.cancel = core::Seconds(number_at(workers, w, "cancel_s", 1));
  out.workers.gang_wait = core::Seconds(number_at(workers, w, "gang_wait_s", 0, 30.0));
  out.workers.gang_peer = core::Seconds(number_at(workers, w, "gang_peer_s", 0, 4.0));
  const auto least = core::Leadership::min_cancel_time(out.workers, out.clock_skew);
  if (out.workers.cancel < least) {
    std::ostringstream problem;
    problem << "must be at least " << std::fixed << std::setprecision(1)
            << std::ceil(least.count() * 10) / 10 << " with this lease_s and skew_ms, or a leader "
            << "that loses the state service could break it";
    fail(w + "cancel_s", problem.str());
  }

  const auto& state = table_at(settings, "settings.", "state");
  out.state_requests_per_s = number_at(state, "settings.state.", "rps", 1);
  out.state_writes_per_s = number_at(state, "settings.state.", "write_rps", 1);
  out.state_value_kib = number_at(state, "settings.state.", "value_kb", 1);
  out.state_changes_per_transaction =
      static_cast<std::size_t>(number_at(state, "settings.state.", "txn_ops", 3));
  const auto& cloud = table_at(settings, "settings.", "cloud");
  out.cloud_requests_per_s = number_at(cloud, "settings.cloud.", "rps", 0.1);
  out.cloud_list_lag = core::Seconds(number_at(cloud, "settings.cloud.", "list_lag_s", 0));
  const auto& limits = table_at(settings, "settings.", "limits");
  out.max_sockets =
      static_cast<std::size_t>(number_at(limits, "settings.limits.", "max_sockets", 50));
  return out;
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

Operators load_operators(const std::filesystem::path& path) {
  return parse_operators(read_file(path));
}

}  // namespace violetpulley::config
