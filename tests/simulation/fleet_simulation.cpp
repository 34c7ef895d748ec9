#include "simulation/fleet_simulation.hpp"

#include <gtest/gtest.h>

namespace violetpulley::core::fleet_simulation {
namespace {

constexpr Seconds kRestartTime{3};
constexpr Seconds kElectionTime{0.35};
constexpr Seconds kElectionTimeAfterRestart{3.4};
// Strides and offsets that spread the affected machines over the fleet.
constexpr std::size_t kKilledStride = 37;
constexpr std::size_t kKilledOffset = 5;
constexpr std::size_t kHungStride = 41;
constexpr std::size_t kHungOffset = 11;

}  // namespace

FleetSimulation::FleetSimulation(FleetConfig config, std::uint64_t seed)
    : config_(config), environment_(seed) {
  leader_.elect(0);
}

void FleetSimulation::run(Seconds length) {
  const auto end = environment_.now() + to_duration(length);
  while (environment_.now() < end && !::testing::Test::HasFailure()) step();
}

void FleetSimulation::step() {
  environment_.advance();
  for (auto& agent : agents_.all())
    if (agents_.step(agent)) heartbeats_.send(agent);
  leader_.step();
}

void FleetSimulation::end_leader(EndedNodes ended) {
  const bool all = ended == EndedNodes::all;
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (all || i == nodes_.leading_index()) end_node(i);
  const auto next = nodes_.next(nodes_.leading_index());
  environment_.after(all ? kElectionTimeAfterRestart : kElectionTime,
                     [this, next] { leader_.elect(next); });
}

void FleetSimulation::end_node(std::size_t index) {
  if (index == nodes_.leading_index()) leader_.end();
  nodes_.end(index);
  agents_.disconnect_agents_of(index);
  environment_.after(kRestartTime, [this, index] { nodes_.at(index).up = true; });
}

void FleetSimulation::kill_machines(std::size_t count) {
  auto& agents = agents_.all();
  for (std::size_t i = 0; i < count; ++i)
    agents_.kill(agents[(i * kKilledStride + kKilledOffset) % agents.size()]);
}

void FleetSimulation::hang_machines(std::size_t count, Seconds length) {
  auto& agents = agents_.all();
  const auto until = environment_.now() + to_duration(length);
  for (std::size_t i = 0; i < count; ++i)
    agents[(i * kHungStride + kHungOffset) % agents.size()].hangs_until = until;
}

FleetResult FleetSimulation::result() {
  leader_.copy_statistics();
  return result_;
}

}  // namespace violetpulley::core::fleet_simulation
