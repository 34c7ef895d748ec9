#include "simulation/correlated_faults.hpp"

#include <algorithm>

#include "simulation/catalog.hpp"

namespace violetpulley::core::simulated {
namespace {

// Probabilities per step and machine.
constexpr double kOutboundPartitionChance = 0.0005;
// Probabilities per step.
constexpr double kManyPartitionsChance = 0.001;
constexpr double kZonePartitionChance = 0.001;
constexpr double kMassCancellationChance = 0.001;
constexpr double kFailoverChainChance = 0.0006;
constexpr double kLeaderlessPeriodChance = 0.0006;

constexpr double kAllMachinesChance = 0.5;
constexpr double kCancelledJobChance = 0.5;
constexpr std::size_t kMaxCancelledJobs = 4;
constexpr std::size_t kMaxHungMachines = 8;
constexpr double kMaxCancellationDelay = 0.2;  // seconds
constexpr double kFailoverChainLength = 60;    // seconds
constexpr double kMinPartitionTime = 5;        // seconds

double lease() { return kAgentTimes.lease.count(); }

}  // namespace

void CorrelatedFaults::step() {
  for (auto& [id, agent] : fleet_.all())
    if (agent.up(environment_.now()) &&
        environment_.optional_fault_chance(kOutboundPartitionChance))
      partition_outbound(agent,
                         environment_.optional_fault_seconds(kMinPartitionTime, 2 * lease()));
  if (environment_.optional_fault_chance(kManyPartitionsChance)) partition_many_outbound();
  if (environment_.optional_fault_chance(kZonePartitionChance)) partition_zone();
  if (environment_.optional_fault_chance(kMassCancellationChance)) cancel_many();
  if (environment_.optional_fault_chance(kFailoverChainChance)) begin_failover_chain();
  if (leaders_.has_single_leader() && environment_.optional_fault_chance(kLeaderlessPeriodChance))
    begin_leaderless_period();
}

std::string CorrelatedFaults::draw_zone() {
  return environment_.optional_fault_chance(0.5) ? "a" : "b";
}

void CorrelatedFaults::partition_outbound(SimulatedAgent& agent, Seconds length) {
  agent.outbound_partition_until =
      std::max(agent.outbound_partition_until, environment_.now() + to_duration(length));
  ++counts_.outbound_partitions;
}

void CorrelatedFaults::partition_many_outbound() {
  const bool all = environment_.optional_fault_chance(kAllMachinesChance);
  const auto zone = draw_zone();
  const auto length = environment_.optional_fault_seconds(kMinPartitionTime, 1.5 * lease());
  for (auto& [id, agent] : fleet_.all())
    if (all || agent.zone == zone) partition_outbound(agent, length);
}

// Partitions a zone from all controllers in both directions, also from a controller in that zone.
void CorrelatedFaults::partition_zone() {
  ++counts_.zone_partitions;
  const auto zone = draw_zone();
  const auto length = environment_.optional_fault_seconds(0.5 * lease(), 2 * lease());
  const auto until = environment_.now() + to_duration(length);
  for (auto& [id, agent] : fleet_.all())
    if (agent.zone == zone) agent.outbound_partition_until = agent.inbound_partition_until = until;
}

// Cancels several jobs within `kMaxCancellationDelay` while some of their machines hang.
void CorrelatedFaults::cancel_many() {
  ++counts_.mass_cancellations;
  const auto jobs = draw_jobs_to_cancel();
  hang_machines_of(jobs, environment_.optional_fault_seconds(2, 1.3 * lease()));
  for (const auto& id : jobs)
    environment_.after(environment_.optional_fault_seconds(0, kMaxCancellationDelay), [this, id] {
      if (jobs_.is_open(id)) jobs_.cancel(id);
    });
}

std::vector<JobId> CorrelatedFaults::draw_jobs_to_cancel() {
  std::vector<JobId> jobs;
  for (const auto& [id, record] : store_.jobs)
    if (jobs.size() < kMaxCancelledJobs && environment_.optional_fault_chance(kCancelledJobChance))
      jobs.push_back(id);
  return jobs;
}

void CorrelatedFaults::hang_machines_of(const std::vector<JobId>& jobs, Seconds length) {
  const auto now = environment_.now();
  const auto selected = [&](const JobId& id) {
    return std::find(jobs.begin(), jobs.end(), id) != jobs.end();
  };
  std::size_t hung = 0;
  for (auto& [id, agent] : fleet_.all())
    for (const auto& [key, task] : agent.tasks) {
      if (hung >= kMaxHungMachines || !selected(key.first.job) || agent.hangs(now)) continue;
      agent.hangs_until = now + to_duration(length);
      ++hung;
    }
}

void CorrelatedFaults::begin_failover_chain() {
  ++counts_.failover_chains;
  for (double at = 0; at < kFailoverChainLength;) {
    at += environment_.optional_fault_uniform(2, 12);
    environment_.after(Seconds(at), [this] {
      if (leaders_.current() != nullptr && environment_.faults_active()) leaders_.end_leader();
    });
  }
}

void CorrelatedFaults::begin_leaderless_period() {
  ++counts_.leaderless_periods;
  leaders_.end_leader();
  leaders_.schedule_election(Seconds(environment_.optional_fault_uniform(1, 2) * lease()));
}

}  // namespace violetpulley::core::simulated
