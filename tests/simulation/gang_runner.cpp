#include "simulation/gang_runner.hpp"

#include <algorithm>

#include "simulation/catalog.hpp"

namespace violetpulley::core::simulated {
namespace {

constexpr std::chrono::milliseconds kChangeReportDelay{300};
constexpr double kMinRunTimeFactor = 0.5;  // of the job's estimate
constexpr double kMaxRunTimeFactor = 1.6;
constexpr Seconds kMinRunTime{0.5};
constexpr double kMinNoticeTime = 0.2;  // seconds until peers notice a missing task

}  // namespace

void GangRunner::step() {
  for (auto& [name, members] : collect_members()) step(name, members);
}

std::map<GangRunner::GangAttempt, GangRunner::Members> GangRunner::collect_members() {
  std::map<GangAttempt, Members> gangs;
  for (auto& [id, agent] : fleet_.all()) {
    if (!agent.up(environment_.now())) continue;
    for (auto& [key, task] : agent.tasks)
      if (task.live() && facts_.specs.at(key.first.job).shape == Shape::gang)
        gangs[{key.first.job, key.second}].push_back({&agent, &task});
  }
  return gangs;
}

void GangRunner::step(const GangAttempt& name, Members& members) {
  const auto& spec = facts_.specs.at(name.first);
  auto& run = facts_.gang_runs[name];
  const auto present = [&] {
    return count(members, TaskState::running) + count(members, TaskState::checkpointing);
  };
  if (!run.running && count(members, TaskState::waiting) == spec.tasks) {
    start(name, spec, members, run);
  } else if (run.running && !run.failure_noticed_at && present() < spec.tasks) {
    const auto notice = environment_.uniform_seconds(kMinNoticeTime, kAgentTimes.gang_peer.count());
    run.failure_noticed_at = environment_.now() + to_duration(notice);
  }
  for (auto& member : members) update(name, spec, member, run);
}

std::size_t GangRunner::count(const Members& members, TaskState state) const {
  const auto counts = [&](const Member& member) {
    return member.task->state == state && !member.agent->hangs(environment_.now());
  };
  return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), counts));
}

void GangRunner::start(const GangAttempt& name, const JobSpec& spec, Members& members,
                       GangRun& run) {
  const auto now = environment_.now();
  run.running = true;
  run.started_at = now;
  auto run_time = spec.estimate * environment_.uniform(kMinRunTimeFactor, kMaxRunTimeFactor);
  if (facts_.checkpointed_gangs.contains(name.first))
    run_time -= facts_.gang_checkpoints[name.first];
  run.ends_at = now + to_duration(std::max(kMinRunTime, run_time));
  ++facts_.gang_starts;
  for (auto& member : members) {
    member.task->state = TaskState::running;
    member.agent->heartbeat_by(now + kChangeReportDelay);
  }
}

void GangRunner::update(const GangAttempt& name, const JobSpec& spec, Member& member,
                        const GangRun& run) {
  const auto now = environment_.now();
  if (member.task->state == TaskState::waiting &&
      now - member.task->started_at > to_duration(kAgentTimes.gang_wait))
    end(member, ExitCause::incomplete);
  if (member.task->state != TaskState::running) return;
  if (run.failure_noticed_at && now >= *run.failure_noticed_at) end(member, ExitCause::peers_gone);
  if (!run.failure_noticed_at && now >= run.ends_at && !run.first_stop_at) {
    for (TaskIndex i = 0; i < spec.tasks; ++i) facts_.completed.insert({name.first, i});
    end(member, ExitCause::done);
  }
}

void GangRunner::end(Member& member, ExitCause cause) {
  const auto now = environment_.now();
  if (member.agent->hangs(now)) return;
  member.task->exit(cause);
  member.agent->heartbeat_by(now + kChangeReportDelay);
}

}  // namespace violetpulley::core::simulated
