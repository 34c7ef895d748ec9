#include "leader/failover_log.hpp"

#include <spdlog/spdlog.h>

namespace violetpulley {

using failover::FailoverStep;

namespace {

constexpr std::chrono::seconds kMaxOlderTaskWait{5};

}  // namespace

void FailoverLog::record_first_commands(const core::SendCommands& batch,
                                        const core::Controller& controller) {
  if (timeline_logged_) return;
  const auto now = core::Clock::now();
  timeline_.record(FailoverStep::first_command, now);
  for (const auto& command : batch.commands) {
    if (command.type != core::CommandType::start) continue;
    const auto job = controller.jobs().find(command.task.job);
    if (job == controller.jobs().end()) continue;
    const bool older = job->second.from_former_leader;
    timeline_.record(
        older ? FailoverStep::first_start_of_older_task : FailoverStep::first_start_of_newer_task,
        now);
  }
}

void FailoverLog::check_reconciled(const core::Controller& controller, core::TimePoint now) {
  if (reconciled_at_ || controller.recovering()) return;
  reconciled_at_ = now;
  timeline_.record(FailoverStep::reconciled, now);
  log_reconciliation(controller.reconciler(), controller.commands(), now);
}

void FailoverLog::check_timeline(core::TimePoint now) {
  if (timeline_logged_ || !reconciled_at_) return;
  if (!timeline_.reached(FailoverStep::first_start_of_older_task) &&
      now - *reconciled_at_ < kMaxOlderTaskWait)
    return;
  timeline_logged_ = true;
  spdlog::info("failover steps, seconds after the election: {}", timeline_.text());
}

void FailoverLog::log_reconciliation(const core::Reconciler& reconciler,
                                     const core::CommandDispatcher& commands,
                                     core::TimePoint now) const {
  const auto& cost = reconciler.cost();
  spdlog::info(
      "reconciled {:.1f} s after the election; tasks blocked although capacity was free: {:.0f} "
      "task-seconds of arrays, {:.0f} of gangs, {:.0f} of services ({:.0f} of jobs without a "
      "known task)",
      core::Seconds(now - elected_at_).count(), cost.arrays.count(), cost.gangs.count(),
      cost.services.count(), cost.fully_waiting.count());
  const auto& stats = reconciler.stats();
  spdlog::info(
      "reconciliation: asked={} max_in_flight={} adopted={} ended_unstored={} stored_done={} "
      "second_copies={} unknown_tasks={} unregistered={} new_epochs={} late={} declared_dead={}",
      reconciler.queries_sent(), commands.window().peak(), stats.adopted, stats.done_unrecorded,
      stats.stored_done, stats.duplicate_copies, stats.unknown_job, stats.unregistered,
      stats.new_epochs, stats.stale_heartbeats, stats.declared_dead);
}

}  // namespace violetpulley
