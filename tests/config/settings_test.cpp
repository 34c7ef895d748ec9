#include "config/settings.hpp"

#include <gtest/gtest.h>

namespace violetpulley::config {
namespace {

const std::string kValidSettings = R"(
member = "n-0"
site = "z1"
public_addr = "127.0.0.1:8080"
mesh_addr = "127.0.0.1:8081"
something_new = 3
[[siblings]]
member = "n-1"
site = "z2"
peer_addr = "127.0.0.1:8082"
[services]
cloud = "127.0.0.1:8443"
state = "127.0.0.1:2379"
[settings]
nodes = 2
zones = ["z1", "z2"]
skew_ms = 25.0
[[settings.teams]]
name = "t"
cpus = 5
cpus_max = 10.0
[settings.workers]
report_s = 3.0
lease_s = 27.0
cancel_s = 47.0
[settings.state]
rps = 100.0
write_rps = 25.0
value_kb = 16.0
txn_ops = 12
[settings.cloud]
rps = 10.0
list_lag_s = 10.0
[settings.limits]
max_sockets = 3000
)";

std::string error_message(const std::string& from, const std::string& to) {
  auto text = kValidSettings;
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  text.replace(at, from.size(), to);
  try {
    parse_settings(text, "test");
  } catch (const SettingsError& problem) {
    return problem.what();
  }
  return "";
}

TEST(Settings, ThePlatformFileIsReadAndUnknownFieldsAreIgnored) {
  const auto settings = parse_settings(kValidSettings, "test");
  EXPECT_EQ(settings.nodes(), 2U);
  EXPECT_EQ(settings.teams.at(0).max_cpus, 10.0);
  EXPECT_EQ(settings.workers.cancel, core::Seconds(47));
}

TEST(Settings, ErrorsNameTheInvalidField) {
  const std::tuple<const char*, const char*, const char*> cases[] = {
      {"member = \"n-0\"", "", "member"},
      {"\"127.0.0.1:8080\"", "\"localhost\"", "public_addr"},
      {"nodes = 2", "nodes = 3", "settings.nodes"},
      {"lease_s = 27.0", "lease_s = \"x\"", "lease_s"},
      {"lease_s = 27.0", "lease_s = nan", "lease_s"},
      {"cancel_s = 47.0", "cancel_s = 20.0", "cancel_s"},
      {"cancel_s = 47.0", "cancel_s = 29.0", "cancel_s: must be at least 29.6"},
      {"cpus_max = 10.0", "cpus_max = -1", "cpus_max"},
      {"zones = [\"z1\", \"z2\"]", "zones = 4", "zones"},
      {"[settings.cloud]", "[settings.other]", "settings.cloud"},
      {"member = \"n-1\"", "member = \"n-0\"", "named twice"},
      {"nodes = 2", "nodes = = 2", "line"}};
  for (const auto& [from, to, message] : cases)
    EXPECT_NE(error_message(from, to).find(message), std::string::npos) << from << " -> " << to;
}

TEST(Tuning, ValuesAreCheckedAndUnknownNamesAreRejected) {
  EXPECT_EQ(parse_operator_settings("clearing_wait_s: 45").tuning.consolidation_wait,
            core::Seconds(45));
  EXPECT_EQ(parse_operator_settings("").tuning.round_interval, core::Tuning{}.round_interval);
  EXPECT_THROW(parse_operator_settings("clearing_wiat_s: 45"), SettingsError);
  EXPECT_THROW(parse_operator_settings("round_s: fast"), SettingsError);
  EXPECT_EQ(parse_operator_settings("why_address: 127.0.0.1:7400").diagnostics_address,
            "127.0.0.1:7400");
  EXPECT_THROW(parse_operator_settings("why_address: here"), SettingsError);
  EXPECT_THROW(parse_operator_settings("round_s: 1000"), SettingsError);
  const auto tuning =
      parse_operator_settings("{most_orders: 64, most_given_up: 0, still_alive: 1}").tuning;
  EXPECT_EQ(tuning.max_commands_in_flight, 64U);
  EXPECT_EQ(tuning.max_declared_dead_share, 0);
  EXPECT_EQ(tuning.assumed_alive_share, 1);
  for (const char* invalid :
       {"most_orders: 2", "most_orders: many", "most_given_up: 1.5", "still_alive: -1"})
    EXPECT_THROW(parse_operator_settings(invalid), SettingsError) << invalid;
  EXPECT_THROW(parse_operator_settings("[1, 2]"), SettingsError);
}

}  // namespace
}  // namespace violetpulley::config
