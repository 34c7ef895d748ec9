#include "simulation/catalog.hpp"

namespace violetpulley::core::simulated {

const std::vector<MachineType>& machine_types() {
  static const std::vector<MachineType> types{
      {"small", {8, 0, 32}, 20, 0.6, 0.4, 0.1, Seconds(8), {"a", "b"}},
      {"large", {32, 0, 256}, 20, 0.3, 2.0, 0.6, Seconds(6), {"a"}}};
  return types;
}

const MachineType& machine_type(const std::string& name) {
  return name == "small" ? machine_types()[0] : machine_types()[1];
}

const std::vector<Team>& teams() {
  static const std::vector<Team> all{{"blue", 20, 40, 0, 0}, {"red", 0, 24, 0, 0}};
  return all;
}

double max_cpus_of(const std::string& name) {
  double limit = 0;
  for (const auto& team : teams())
    if (team.name == name) limit = team.max_cpus;
  return limit;
}

}  // namespace violetpulley::core::simulated
