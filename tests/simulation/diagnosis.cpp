#include "simulation/diagnosis.hpp"

#include <sstream>

namespace violetpulley::core::simulated {
namespace {

// The upper bits of an attempt hold the fencing token of the leader that created the attempt.
constexpr unsigned kAttemptTokenShift = 24;

}  // namespace

double Diagnosis::seconds_since(TimePoint then) const {
  return Seconds(environment_.now() - then).count();
}

std::string Diagnosis::describe(const SimulatedAgent& agent) const {
  std::ostringstream text;
  text << agent.id << ", latest answered heartbeat sent " << seconds_since(agent.lease_renewed)
       << " s ago; seconds since the end of the hang " << seconds_since(agent.hangs_until)
       << ", inbound partition " << seconds_since(agent.inbound_partition_until)
       << ", outbound partition " << seconds_since(agent.outbound_partition_until) << "; token "
       << agent.token << ", epoch " << agent.epoch;
  if (leaders_.former() != nullptr) text << "; former leader " << leaders_.former()->token;
  if (leaders_.current() == nullptr) return text.str() + "; no leader";
  describe_leader(text);
  const auto* machine = leaders_.current()->controller->fleet().find(agent.id);
  if (machine == nullptr) return text.str() + ", machine unknown to the leader";
  describe_known_machine(text, *machine);
  return text.str();
}

void Diagnosis::describe_leader(std::ostream& text) const {
  const auto& leader = *leaders_.current();
  text << "; leader " << leader.token << " elected " << seconds_since(leaders_.elected_at())
       << " s ago" << (leader.leadership.may_serve(environment_.now()) ? "" : ", not serving")
       << (leader.controller->recovering() ? ", reconciling" : "");
}

void Diagnosis::describe_known_machine(std::ostream& text, const Machine& machine) const {
  if (machine.last_heartbeat)
    text << ", last heartbeat " << seconds_since(*machine.last_heartbeat) << " s ago";
  if (machine.unacknowledged_since)
    text << ", unacknowledged for " << seconds_since(*machine.unacknowledged_since);
  if (machine.outbound_partition_since)
    text << ", outbound partition for " << seconds_since(*machine.outbound_partition_since);
  text << (machine.confirmed ? "" : ", not confirmed")
       << (machine.releasing ? ", returned: " + machine.release_cause : "");
  for (const auto& [key, assignment] : machine.tasks)
    text << "; " << key.job << "/" << key.index << (assignment.stop ? " stopped" : "")
         << (assignment.orphaned ? " orphaned" : "");
}

std::string Diagnosis::describe_team(const std::string& team) const {
  std::ostringstream text;
  for (const auto& [id, agent] : fleet_.all()) {
    bool any = false;
    for (const auto& [key, task] : agent.tasks) {
      if (!task.live() || facts_.specs.at(key.first.job).team != team) continue;
      any = true;
      describe_team_task(text, key.first, key.second);
    }
    if (any) text << " on " << describe(agent);
  }
  return text.str();
}

void Diagnosis::describe_team_task(std::ostream& text, const TaskKey& key, Attempt attempt) const {
  text << "\n"
       << key.job << "/" << key.index << " with CPUs " << facts_.specs.at(key.job).per_task.cpus
       << ", attempt of leader " << (attempt >> kAttemptTokenShift)
       << (store_.jobs.contains(key.job) ? "" : ", not open")
       << (facts_.cancelled_at.contains(key.job) ? ", cancelled" : "");
}

std::string Diagnosis::describe_waiting(const TaskKey& key, const ZoneCounts& zones) const {
  const auto& spec = facts_.specs.at(key.job);
  std::ostringstream text;
  text << key.job << "/" << key.index << (spec.shape == Shape::service ? " (service)" : "")
       << " of team " << spec.team << ", " << seconds_since(*environment_.faults_ended())
       << " s after the faults";
  if (leaders_.current() == nullptr) return text.str() + ", no leader";
  const auto& jobs = leaders_.current()->controller->jobs();
  const auto job = jobs.find(key.job);
  if (job == jobs.end()) return text.str() + ", unknown to the leader";
  describe_known_task(text, job->second, key);
  describe_waiting_jobs(text, spec.team);
  describe_counted_tasks(text, spec.team);
  for (const auto& [id, agent] : fleet_.all())
    if (fleet_.can_start(spec, agent, zones)) describe_candidate(text, agent, job->second);
  return text.str();
}

void Diagnosis::describe_known_task(std::ostream& text, const Job& job, const TaskKey& key) const {
  const auto& controller = *leaders_.current()->controller;
  const auto& task = job.tasks[key.index];
  text << (controller.recovering() ? ", reconciling" : "") << ", phase "
       << static_cast<int>(task.phase) << " on " << task.machine << " bound '" << task.bound_to
       << "' paused " << -seconds_since(job.backoff_until)
       << (job.suspected_faulty ? ", suspected" : "") << ", team uses "
       << controller.fleet().team_use(job.spec().team).cpus << ", ended attempts "
       << controller.ended_attempts().use_of(job.spec().team).cpus << ", "
       << controller.ended_attempts().retiring().size() << " retiring machines";
}

void Diagnosis::describe_waiting_jobs(std::ostream& text, const std::string& team) const {
  for (const auto& [id, job] : leaders_.current()->controller->jobs())
    if (job.spec().team == team && !job.waiting.empty())
      text << "\n  " << id << (job.gang() ? " (gang)" : "")
           << " has waiting tasks: " << job.waiting.size() << " of " << job.tasks.size()
           << ", CPUs per task " << job.spec().per_task.cpus << ", opened "
           << seconds_since(job.opened_at) << " s ago";
}

void Diagnosis::describe_counted_tasks(std::ostream& text, const std::string& team) const {
  for (const auto& [id, machine] : leaders_.current()->controller->fleet().all())
    for (const auto& [key, assignment] : machine.tasks)
      if (assignment.team == team && !is_live(id, key, assignment.attempt))
        describe_counted_task(text, machine, key, assignment);
}

bool Diagnosis::is_live(const MachineId& id, const TaskKey& key, Attempt attempt) const {
  const auto* agent = fleet_.find(id);
  if (agent == nullptr) return false;
  const auto task = agent->tasks.find({key, attempt});
  return task != agent->tasks.end() && task->second.live();
}

void Diagnosis::describe_counted_task(std::ostream& text, const Machine& machine,
                                      const TaskKey& key, const Assignment& assignment) const {
  text << "\n  counted by the leader, but not live: " << key.job << "/" << key.index << " on "
       << machine.id << (assignment.reported ? ", reported" : "")
       << (assignment.stop ? ", stopped" : "") << (assignment.orphaned ? ", orphaned" : "")
       << ", placed " << seconds_since(assignment.placed) << " s ago"
       << (machine.releasing ? ", returned: " + machine.release_cause : "")
       << (machine.unacknowledged_since ? ", unacknowledged" : "")
       << (leaders_.current()->controller->commands().committed(key, assignment)
               ? ""
               : ", placement record not committed")
       << (machine.in_doubt_attempts.contains(assignment.attempt) ? ", in doubt" : "");
}

void Diagnosis::describe_candidate(std::ostream& text, const SimulatedAgent& agent,
                                   const Job& job) const {
  text << "\n  " << agent.id << " (" << agent.type << " in " << agent.zone << "): ";
  const auto* machine = leaders_.current()->controller->fleet().find(agent.id);
  if (machine == nullptr) {
    text << "unknown to the leader";
    return;
  }
  const bool acknowledged = machine->last_acknowledged && !machine->unacknowledged_since;
  text << "free " << machine->free().cpus << (machine->confirmed ? "" : ", not confirmed")
       << (machine->registered ? "" : ", not registered")
       << (acknowledged ? "" : ", unacknowledged")
       << (machine->outbound_partition_since ? ", outbound partition" : "")
       << (machine->draining ? ", draining" : "") << (machine->quarantined ? ", quarantined" : "")
       << (machine->notice_ends ? ", notice" : "")
       << (machine->releasing ? ", returned: " + machine->release_cause : "")
       << (machine->reserved_for.empty() ? "" : ", reserved for " + machine->reserved_for)
       << (job.avoids(agent.id, environment_.now()) ? ", avoided" : "");
}

std::string Diagnosis::describe_jobs() const {
  std::ostringstream text;
  const auto* leader = leaders_.current();
  text << (leader != nullptr ? leader->controller->summary() : "no leader");
  for (const auto& [id, record] : store_.jobs) {
    const auto& spec = record.spec;
    text << "\n"
         << id << " team " << spec.team << " tasks " << spec.tasks << " cpus " << spec.per_task.cpus
         << (spec.spot_allowed ? " spot" : "") << " zone " << spec.zone.value_or("-")
         << (spec.types.empty() ? "" : " type " + spec.types[0]);
  }
  return text.str();
}

}  // namespace violetpulley::core::simulated
