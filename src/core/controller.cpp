#include "core/controller.hpp"

#include "core/controller_summary.hpp"
#include "core/jobs/each_assignment.hpp"

namespace violetpulley::core {

Controller::Controller(ControllerSettings settings, FencingToken token, TimePoint now,
                       TimePoint former_leases_end, const RecoveredState& recovered)
    : settings_(std::move(settings)),
      catalog_(settings_),
      jobs_(out_),
      forecaster_(settings_, estimator_, now),
      failure_detector_(settings_, fleet_, now),
      recovery_(out_, fleet_, unassigned_copies_, former_leases_end, settings_.workers.lease),
      registry_(out_, fleet_),
      tokens_(token),
      commands_(settings_.sockets, settings_.tuning.max_commands_in_flight, out_, fleet_, jobs_,
                tokens_, audit_),
      ended_attempts_(tokens_),
      assignments_(out_, fleet_, jobs_, recovery_, ended_attempts_, audit_),
      task_starter_(settings_, catalog_, fleet_, jobs_, commands_, forecaster_, recovery_,
                    ended_attempts_, tokens_, audit_, token),
      reconciler_(settings_, catalog_, fleet_, jobs_, recovery_, commands_, task_starter_, now),
      offerings_(catalog_),
      learned_state_handover_(settings_, fleet_, jobs_, estimator_, offerings_),
      bindings_(out_, jobs_),
      scarcity_(catalog_, jobs_),
      preemption_(settings_, out_, fleet_, jobs_, commands_, task_starter_, bindings_),
      gang_scheduler_(settings_, out_, catalog_, fleet_, jobs_, commands_, task_starter_,
                      forecaster_, offerings_, bindings_, preemption_),
      scale_out_(settings_, out_, catalog_, fleet_, jobs_, task_starter_, forecaster_, offerings_,
                 bindings_, scarcity_, gang_scheduler_, registry_, token),
      watch_(settings_, out_, catalog_, fleet_, failure_detector_, commands_, recovery_,
             reconciler_, assignments_, registry_, now),
      heartbeats_(settings_, out_, catalog_, fleet_, failure_detector_, jobs_, estimator_,
                  forecaster_, recovery_, reconciler_, registry_, commands_, assignments_,
                  gang_scheduler_, ended_attempts_, tokens_, audit_, token),
      doubt_resolver_(settings_, fleet_, jobs_, task_starter_, ended_attempts_, tokens_),
      consolidation_(settings_, catalog_, fleet_, jobs_, commands_, bindings_, scarcity_, watch_),
      replica_consolidation_(settings_, out_, fleet_, jobs_, commands_, task_starter_, bindings_),
      starvation_guard_(settings_, fleet_, jobs_, task_starter_, forecaster_, bindings_),
      scheduler_(settings_, out_, catalog_, fleet_, jobs_, recovery_, reconciler_, commands_,
                 forecaster_, task_starter_, bindings_, scarcity_, preemption_, gang_scheduler_,
                 scale_out_, starvation_guard_) {
  recover_jobs(recovered, token, now);
  for (const auto& record : recovered.machines) recover_machine(record, now);
  reconciler_.queue_unconfirmed();
  learned_state_handover_.apply(recovered.learned_state, now);
  recovery_.check(now);
}

void Controller::recover_jobs(const RecoveredState& recovered, FencingToken token, TimePoint now) {
  for (const auto& record : recovered.jobs) {
    jobs_.open(record, now);
    jobs_.at(record.spec.id).from_former_leader = record.revision < token;
  }
  for (const auto& progress : recovered.progress) jobs_.restore_progress(progress);
  if (recovered.placements_marked) jobs_.restore_placements(recovered.placements);
}

void Controller::recover_machine(const MachineRecord& record, TimePoint now) {
  auto& machine = fleet_.add(record.id);
  machine.endpoint = record.endpoint;
  machine.type = record.type;
  machine.zone = record.zone;
  machine.spot = record.spot;
  machine.requested_at = now;
  for (const auto& image : record.images) machine.images.push_back({image.name, image.gb, true});
  if (!machine.up()) return;
  machine.registered = true;
  machine.up_since = now;
  recovery_.add_unconfirmed(machine);
}

void Controller::set_catalog(std::vector<MachineType> types) {
  catalog_.set_types(std::move(types));
  for (auto& [id, machine] : fleet_.all()) {
    fleet_.before_change(machine);
    catalog_.apply(machine);
  }
  out_.request_scheduling_round();
}

void Controller::job_closed(const JobId& id, TimePoint now) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  const auto end_assignment = [&](Machine& machine, const TaskKey& key, Assignment& assignment) {
    // A start whose placement is not committed was not sent, and will not be sent.
    if (!commands_.committed(key, assignment)) return assignments_.drop(machine, key, now);
    fleet_.before_change(machine);
    assignment.orphaned = true;
    commands_.stop(machine, assignment, now);
  };
  for_each_assignment(fleet_, found->second, end_assignment);
  // A job whose finish was not requested was cancelled. If the finish was requested but refused
  // because of a cancellation, `finish_answered` handles that.
  if (!found->second.complete() || !found->second.finishing) ended_attempts_.cancel_job(id, now);
  gang_scheduler_.job_closed(id);
  audit_.job_closed(id);
  jobs_.close(id);
}

void Controller::finish_answered(const JobId& job, TimePoint retry, TimePoint now) {
  // The job is closed although this request has failed, so it may have been cancelled.
  if (jobs_.find(job) == jobs_.end()) ended_attempts_.cancel_job(job, now);
  jobs_.finish_answered(job, retry);
}

void Controller::placements_saved(const JobId& id, PlacementVersion version) {
  jobs_.placements_saved(id, version);
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  const auto mark_due = [&](const Machine& machine, const TaskKey&, const Assignment&) {
    commands_.mark_due(machine);
  };
  for_each_assignment(fleet_, found->second, mark_due);
}

void Controller::scale_in_answered(const std::vector<MachineId>& machines, bool ok, TimePoint now) {
  for (const auto& id : machines) {
    auto* machine = fleet_.find(id);
    if (machine == nullptr) continue;
    if (ok)
      forget_returned_machine(*machine, now);
    else
      watch_.release_failed(*machine, now);
  }
  out_.request_scheduling_round();
}

void Controller::return_retiring_machines(TimePoint now) {
  doubt_resolver_.retire_machines(now);
  for (const auto& id : doubt_resolver_.machines_to_return(now))
    watch_.request_release(*fleet_.find(id), "with a delayed start", now);
}

// Removes a machine after the cloud has confirmed its return, which proves that all its tasks have
// ended.
void Controller::forget_returned_machine(Machine& machine, TimePoint now) {
  const MachineId id = machine.id;
  assignments_.requeue_all(machine, EndProof::machine_returned, now);
  gang_scheduler_.machine_gone(machine);
  bindings_.machine_gone(id);
  recovery_.confirm(id);
  commands_.machine_returned(machine);
  registry_.released(id);
  tokens_.erase(id);
  audit_.machine_gone(id);
  fleet_.erase(id);
}

void Controller::leadership_proven(Revision revision) {
  tokens_.record_proof(revision);
  for (const auto& id : tokens_.machines_to_raise())
    if (const auto* machine = fleet_.find(id)) commands_.mark_due(*machine);
}

// A write of this leader is conditioned on its key, so the commit proves the key at a newer
// revision.
void Controller::request_revision_if_needed() {
  for (const auto& id : tokens_.machines_to_raise()) {
    auto* machine = fleet_.find(id);
    if (machine == nullptr || !tokens_.is_exhausted(id)) continue;
    if (machine->registered && !machine->registering) registry_.save(*machine);
    return;
  }
}

void Controller::cloud_listed(const std::vector<ListedMachine>& machines, TimePoint now) {
  for (const auto& listed : machines) {
    if (registry_.was_released(listed.id)) continue;
    auto* machine = fleet_.find(listed.id);
    if (machine == nullptr) machine = &add_unexpected_machine(listed, now);
    if (listed.failed) watch_.request_release(*machine, "stopped", now);
  }
}

// Adds a machine that this leader has not requested, or whose request is not answered yet: the
// request was delayed, or sent by a former leader. The machine is used like any other, or returned.
Machine& Controller::add_unexpected_machine(const ListedMachine& listed, TimePoint now) {
  auto& machine = fleet_.add(listed.id);
  machine.type = listed.type;
  machine.zone = listed.zone;
  machine.spot = listed.spot;
  machine.requested_at = now - to_duration(listed.failed ? Seconds(0) : listed.age);
  catalog_.apply(machine);
  return machine;
}

void Controller::tick(TimePoint now, bool may_place, TimePoint last_proven) {
  recovery_.check(last_proven);
  reconciler_.query_machines(now);
  if (watch_.check_machines(now, may_place, last_proven)) {
    return_retiring_machines(now);
    request_revision_if_needed();
    consolidation_.consolidate(now);
  }
  replica_consolidation_.consolidate(now);
  gang_scheduler_.stop_broken_gangs(now);
  if (may_place) scheduler_.run_round_if_due(now);
  jobs_.finish_completed_jobs(now);
  jobs_.persist_progress(now);
  if (settings_.tuning.commit_starts) jobs_.persist_placements(!recovery_.recovering());
  commands_.send_due(now);
}

std::optional<JobCounts> Controller::counts(const JobId& id) const {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return std::nullopt;
  return JobCounts{found->second.done_count, found->second.running_count};
}

std::string Controller::summary() const {
  return summary_line(jobs_, fleet_, recovery_) + attempts_summary(ended_attempts_, audit_);
}

void Controller::before_changes(Fleet::BeforeChange machine, Jobs::BeforeChange job) {
  fleet_.set_change_observer(std::move(machine));
  jobs_.set_change_observer(std::move(job));
}

}  // namespace violetpulley::core
