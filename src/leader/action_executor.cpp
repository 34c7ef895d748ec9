#include "leader/action_executor.hpp"

#include <spdlog/spdlog.h>

#include "store/record_codec.hpp"

namespace violetpulley {

using core::Clock;
using store::Json;
using store::Outcome;
using store::WritePriority;

namespace {

constexpr std::chrono::seconds kPlacementsMarkRetryDelay{2};
constexpr std::chrono::milliseconds kFinishRetryDelay{700};
constexpr std::chrono::seconds kCampaignPauseAfterResigning{8};

}  // namespace

ActionExecutor::ActionExecutor(const Services& services, core::FencingToken token,
                               std::size_t page_bytes, Events events)
    : services_(services),
      token_(token),
      page_bytes_(page_bytes),
      events_(std::move(events)),
      placements_mark_timer_(services.io) {}

void ActionExecutor::dispatch(const core::Action& action) {
  std::visit([this](const auto& typed_action) { execute(typed_action); }, action);
}

void ActionExecutor::execute(const core::SendCommands& action) {
  events_.sending_commands(action);
  services_.command_sender.send(action);
}

void ActionExecutor::execute(const core::SaveMachine& action) {
  const auto now = Clock::now();
  const auto& record = action.record;
  auto& writer = services_.writer;
  const bool registered = !record.endpoint.empty();
  auto& table = registered ? writer.machines() : writer.provisioning();
  const bool urgent = registered && !action.only_images_changed;
  table.put(record.id, store::machine_to_json(record), store::kMaxMachineRecordBytes,
            urgent ? WritePriority::urgent : WritePriority::deferred, now,
            [this, id = record.id, registered] {
              // The provisioning record is erased only now: until the registration is committed,
              // no other record shows that the machine exists.
              if (registered) services_.writer.provisioning().erase(id, Clock::now());
              events_.result(core::MachineSaved{id, registered, true});
              events_.schedule_core_run();
            });
}

void ActionExecutor::execute(const core::DeleteMachine& action) {
  services_.command_sender.drop(action.id);
  services_.writer.machines().erase(action.id, Clock::now());
  services_.writer.provisioning().erase(action.id, Clock::now());
}

void ActionExecutor::execute(const core::SaveProgress& action) {
  const auto name = store::progress_name(action.record.job, action.record.chunk);
  services_.writer.progress().put(name,
                                  store::progress_to_json(action.record, action.tasks_in_chunk),
                                  store::progress_bytes(name, action.tasks_in_chunk),
                                  WritePriority::deferred, Clock::now(), [this, saved = action] {
                                    events_.result(core::ProgressSaved{saved, true});
                                  });
}

void ActionExecutor::execute(const core::FinishJob& action) {
  const std::string job = store::kJobPrefix + action.job;
  const std::string end = store::kEndPrefix + action.job;
  store::Transaction transaction{
      {{job, action.revision}, {end, 0}},
      {{job, std::nullopt, std::nullopt}, {end, Json{{"state", "done"}}, std::nullopt}}};
  services_.writer.commit(
      std::move(transaction),
      [this, action](const store::TransactionResult& result) { finish_answered(action, result); });
}

void ActionExecutor::finish_answered(const core::FinishJob& action,
                                     const store::TransactionResult& result) {
  if (result.outcome == Outcome::ok) {
    spdlog::info("job {} is done", action.job);
    erase_progress(action.job, action.chunks);
    services_.job_replica.apply_local_close(action.job, result.revision);
    return;
  }
  // Either the job has ended in another way or the outcome is unknown. The job replica will show
  // which; until then the core repeats the write.
  events_.result(core::FinishAnswered{action.job, Clock::now() + kFinishRetryDelay});
}

void ActionExecutor::execute(const core::DeleteProgress& action) {
  erase_progress(action.job, action.chunks);
}

void ActionExecutor::erase_progress(const core::JobId& job,
                                    const std::vector<core::TaskIndex>& chunks) {
  for (const auto chunk : chunks)
    services_.writer.progress().erase(store::progress_name(job, chunk), Clock::now());
}

void ActionExecutor::execute(const core::ScaleOut& action) {
  spdlog::info("scaling out: {} {} {} in {} ({})", action.count, action.spot ? "spot" : "on-demand",
               action.type, action.zone, action.name);
  const auto answered = [this, request = action](const core::ScaleOutResult& answer) {
    if (answer.machines.size() < static_cast<std::size_t>(request.count))
      spdlog::info("scale-out {} got only {} of {} machines", request.name, answer.machines.size(),
                   request.count);
    events_.result(core::ScaleOutAnswered{request.name, answer});
    events_.schedule_core_run();
  };
  services_.cloud.request_machines(action, lifetime_.guard(answered));
}

void ActionExecutor::execute(const core::ScaleIn& action) {
  spdlog::info("scaling in: {} machines ({}), first {}", action.machines.size(), action.cause,
               action.machines.front());
  const auto answered = [this, machines = action.machines](bool ok) {
    if (!ok) spdlog::warn("the cloud did not confirm that machines were returned; will try again");
    events_.result(core::ScaleInAnswered{machines, ok});
    events_.schedule_core_run();
  };
  services_.cloud.release(action.machines, lifetime_.guard(answered));
}

void ActionExecutor::execute(const core::Resign& action) {
  if (action.isolated) events_.resigning_isolated();
  asio::post(services_.io, lifetime_.guard([this, cause = action.cause] {
    services_.election.resign(cause, kCampaignPauseAfterResigning);
  }));
}

void ActionExecutor::execute(const core::SavePlacements& action) {
  const auto& job = action.record.job;
  auto record = action.record;
  if (store::placements_bytes(record) > page_bytes_) record = {job, {}, false};
  services_.writer.placements().put(job, store::placements_to_json(record),
                                    store::placements_bytes(record), WritePriority::urgent,
                                    Clock::now(), [this, job, version = action.version] {
                                      events_.result(core::PlacementsSaved{job, version});
                                      events_.schedule_core_run();
                                    });
}

void ActionExecutor::execute(const core::MarkPlacements& /*action*/) { write_placements_mark(); }

void ActionExecutor::write_placements_mark() {
  store::Transaction transaction{{},
                                 {{store::kPlacementsMark, Json{{"token", token_}}, std::nullopt}}};
  services_.writer.commit(std::move(transaction), [this](const store::TransactionResult& result) {
    if (result.outcome == Outcome::ok) {
      spdlog::info(
          "placement records are complete from now on: all starts of gangs and services are "
          "recorded");
      return;
    }
    placements_mark_timer_.expires_after(kPlacementsMarkRetryDelay);
    placements_mark_timer_.async_wait(lifetime_.guard([this](const asio::error_code& error) {
      if (!error) write_placements_mark();
    }));
  });
}

void ActionExecutor::execute(const core::JobSuspected& action) {
  spdlog::warn("job {} failed on {} machines and succeeded on none: next attempt in {:.0f} s",
               action.job, action.machines, action.backoff.count());
}

void ActionExecutor::execute(const core::TaskHeld& action) {
  spdlog::info(
      "task {}/{} is not restarted yet: attempt {} ended on machine {}, where a delayed start "
      "command may run it again; the return of the machine is requested within {:.0f} s",
      action.task.job, action.task.index, action.attempt, action.machine,
      action.max_hold_time.count());
}

void ActionExecutor::execute(const core::MachineLostTasks& action) {
  spdlog::warn("machine {} lost {} running tasks: it restarted within agent epoch {}",
               action.machine, action.tasks, action.epoch);
}

}  // namespace violetpulley
