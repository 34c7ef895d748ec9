#include "simulation/users.hpp"

#include <iterator>

namespace violetpulley::core::simulated {
namespace {

// Probabilities per step.
constexpr double kSubmitChance = 0.025;
constexpr double kCancelChance = 0.003;
// Probabilities per job.
constexpr double kHighPriorityChance = 0.3;
constexpr double kLargeTaskChance = 0.06;
constexpr double kSpotChance = 0.7;
constexpr double kZoneChance = 0.3;
constexpr double kTypeChance = 0.2;
constexpr double kLargeTypeChance = 0.3;
constexpr double kSameZoneChance = 0.2;
constexpr double kSpreadChance = 0.2;
constexpr double kServiceChance = 0.1;
constexpr double kServiceSpreadChance = 0.7;
constexpr double kCheckpointChance = 0.3;
constexpr double kGangChance = 0.25;
constexpr double kWholeMachineGangChance = 0.4;
constexpr double kGangSameZoneChance = 0.7;
constexpr double kGangSpreadChance = 0.4;

constexpr double kLargeTaskCpus = 16;
constexpr double kSmallMachineCpus = 8;
constexpr Seconds kCheckpointInterval{5};

// Appends in two steps, because GCC 12 issues a false warning for `"text" + std::to_string(...)`.
std::string numbered(const char* prefix, int number) {
  std::string name(prefix);
  name += std::to_string(number);
  return name;
}

}  // namespace

void Users::step() {
  if (store_.outage) return;
  if (chance(submitting_ ? kSubmitChance : 0)) jobs_.open(draw_job());
  if (chance(kCancelChance) && !store_.jobs.empty()) cancel_any();
}

JobSpec Users::draw_job() {
  auto spec = draw_array();
  if (!spec.same_zone && chance(kServiceChance)) make_service(spec);
  if (spec.shape == Shape::array && chance(kCheckpointChance)) {
    spec.checkpoint_every = kCheckpointInterval;
    spec.checkpoint_time = environment_.uniform_seconds(0.5, 3);
  }
  if (spec.shape == Shape::array && !spec.spread && chance(kGangChance)) make_gang(spec);
  return spec;
}

JobSpec Users::draw_array() {
  JobSpec spec;
  spec.id = numbered("req-", ++submitted_);
  spec.job_class = numbered("c", submitted_ % 3);
  spec.team = std::string(chance(0.5) ? "blue" : "red");
  spec.priority = chance(kHighPriorityChance) ? Priority::high : Priority::normal;
  spec.tasks = draw_count(1, 9);
  if (chance(kLargeTaskChance))
    spec.per_task = {kLargeTaskCpus, 0, 16};
  else
    spec.per_task = {chance(0.5) ? 1.0 : 4.0, 0, 2};
  spec.image = numbered("i", submitted_ % 4);
  spec.image_gb = 1;
  spec.spot_allowed = chance(kSpotChance);
  draw_constraints(spec);
  spec.estimate = environment_.uniform_seconds(2, 30);
  return spec;
}

void Users::draw_constraints(JobSpec& spec) {
  const bool large_task = spec.per_task.cpus >= kLargeTaskCpus;
  if (!large_task && chance(kZoneChance)) spec.zone.emplace(chance(0.5) ? "a" : "b");
  if (chance(kTypeChance)) {
    const bool large = spec.per_task.cpus > kSmallMachineCpus || chance(kLargeTypeChance);
    spec.types = {large ? "large" : "small"};
    if (large) spec.zone.reset();  // "large" exists in only one zone
  }
  if (spec.types.empty() && !spec.zone && !large_task) {
    spec.same_zone = chance(kSameZoneChance);
    spec.spread = !spec.same_zone && chance(kSpreadChance);
  }
}

// Keeps services few and small enough to run all at once beside other jobs.
void Users::make_service(JobSpec& spec) {
  spec.shape = Shape::service;
  spec.estimate = Seconds(0);
  spec.tasks = draw_count(1, 4);
  spec.per_task = {1, 0, 2};
  spec.priority = Priority::production;
  spec.types.clear();
  spec.spread = !spec.zone && chance(kServiceSpreadChance);
  environment_.after(environment_.uniform_seconds(60, 200), [this, id = spec.id] {
    if (submitting_ && jobs_.is_open(id)) jobs_.cancel(id);
  });
}

void Users::make_gang(JobSpec& spec) {
  spec.shape = Shape::gang;
  const bool whole_machines = chance(kWholeMachineGangChance);
  spec.tasks = draw_count(1, whole_machines ? 3.99 : 6);
  double cpus = kSmallMachineCpus;
  if (!whole_machines) cpus = chance(0.5) ? 2.0 : 4.0;
  spec.per_task = {cpus, 0, 2};
  spec.types.clear();
  spec.same_zone = chance(kGangSameZoneChance);
  spec.spread = !spec.same_zone && !spec.zone && chance(kGangSpreadChance);
  spec.priority = Priority::high;
}

TaskIndex Users::draw_count(double low, double high) {
  return static_cast<TaskIndex>(environment_.uniform(low, high));
}

void Users::cancel_any() {
  auto selected = store_.jobs.begin();
  const auto count = static_cast<double>(store_.jobs.size());
  std::advance(selected, static_cast<long>(environment_.uniform(0, count - 0.01)));
  jobs_.cancel(JobId(selected->first));
}

void Users::cancel_services() {
  std::vector<JobId> ids;
  for (const auto& [id, record] : store_.jobs)
    if (record.spec.shape == Shape::service) ids.push_back(id);
  for (const auto& id : ids) jobs_.cancel(id);
}

}  // namespace violetpulley::core::simulated
