/// @file
/// The platform's settings file (TOML) and the operators' settings file (YAML), parsed and checked.
/// Names in the files are those of the deployment guide and may differ from the names in this
/// header. Owns no state.
#pragma once

#include <filesystem>
#include <stdexcept>

#include "core/model/types.hpp"

namespace violetpulley::config {

/// A settings file that cannot be used. The message names the field that is missing or wrong.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Another controller of the deployment.
struct Peer {
  std::string member;
  std::string zone;
  std::string peer_address;
};

/// A service-level objective.
struct Objective {
  /// "finished", "deadline" and others; unknown kinds are ignored.
  std::string kind;
  std::string job_class;
  core::Seconds within{0};
  double share = 0;
  /// Multiple of the job's deadline.
  double times = 1;
};

/// The platform's settings.
struct Settings {
  /// Name of this controller.
  std::string member;
  std::string zone;
  std::string public_address;
  std::string peer_address;
  std::vector<Peer> peers;
  std::string cloud_address;
  std::string state_address;
  std::vector<std::string> zones;
  std::chrono::milliseconds clock_skew{0};
  std::vector<core::Team> teams;
  std::vector<Objective> objectives;
  core::AgentTimes workers;
  double state_requests_per_s = 0;
  double state_writes_per_s = 0;
  double state_value_kib = 16;
  std::size_t state_changes_per_transaction = 12;
  double cloud_requests_per_s = 0;
  core::Seconds cloud_list_lag{10};
  std::size_t max_sockets = 1000;

  std::size_t nodes() const { return peers.size() + 1; }
};

/// The operators' settings.
struct OperatorSettings {
  core::Tuning tuning;
  /// Address of the diagnostics endpoint; empty: none.
  std::string diagnostics_address;
};

/// The functions below throw SettingsError at the first error. `source` names the file in messages.
Settings load_settings(const std::filesystem::path& path);
Settings parse_settings(const std::string& text, const std::string& source);
OperatorSettings load_operator_settings(const std::filesystem::path& path);
OperatorSettings parse_operator_settings(const std::string& yaml);

}  // namespace violetpulley::config
