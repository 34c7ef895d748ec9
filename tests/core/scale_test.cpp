/// @file
/// Several hundred machines boot within a few seconds, with the write limits of a small state
/// service. The tests count operations instead of measuring time: neither writes nor inspections
/// per event may grow with the fleet.
#include <gtest/gtest.h>

#include <random>

#include "core/controller.hpp"
#include "store/paged_records.hpp"

namespace violetpulley {
namespace {

using core::Seconds;
using std::chrono::milliseconds;
using store::WritePriority;

/// The result of a run and the operations that it took.
struct Outcome {
  std::uint64_t events = 0;  // heartbeats, responses to commands, jobs
  std::uint64_t inspections = 0;
  std::uint64_t changes = 0;  // of keys in the state service
  std::size_t done = 0;
  std::optional<Seconds> all_registered;
};

/// A controller with simulated agents and a state service that takes 30 changes a second.
class FleetRun {
 public:
  explicit FleetRun(int machines)
      : machines_(machines),
        controller_(settings(), 7, now_, now_ + std::chrono::seconds(60), {}),
        records_("machines/", 14000, milliseconds(2000)),
        progress_("progress/", 14000, milliseconds(1500)) {
    controller_.set_catalog(
        {{"small", {16, 0, 128}, 60, 0.12, 1.1, 0.39, Seconds(30), {"a", "b"}}});
  }

  Outcome run() {
    const auto start = now_;
    for (int step = 0; step < 900; ++step) {
      now_ += milliseconds(100);
      // The number of arrays is proportional to the fleet, so that a larger fleet has more events.
      if (step % 10 == 0 && step < 600)
        for (int i = 0; i < machines_ / 50; ++i) submit();
      if (step < machines_ && agents_.size() < static_cast<std::size_t>(machines_))
        for (int i = 0; i < std::max(1, machines_ / 50); ++i) boot();
      for (auto& [id, agent] : agents_) advance(agent);
      controller_.tick(now_, true, now_);
      for (auto& action : controller_.take_actions())
        std::visit([&](auto& a) { execute(a); }, action);
      write();
      if (!outcome_.all_registered && registered_ == static_cast<std::size_t>(machines_))
        outcome_.all_registered = Seconds(now_ - start);
    }
    outcome_.inspections = controller_.inspections();
    return outcome_;
  }

 private:
  struct RunningTask {
    core::Attempt attempt = 0;
    core::TimePoint ends{};
  };
  struct Agent {
    core::MachineId id;
    std::uint64_t heartbeat_sequence = 0;
    core::TimePoint next_heartbeat{};
    std::map<core::TaskKey, RunningTask> tasks;
    std::map<core::TaskKey, core::Attempt> exited;
  };

  static core::ControllerSettings settings() {
    core::ControllerSettings settings;
    settings.teams = {{"blue", 0, 0, 0, 0}};
    settings.cloud_calls_per_s = 3;
    return settings;
  }

  void submit() {
    core::JobRecord record;
    record.spec.id = "req-" + std::to_string(100000 + jobs_++);
    record.spec.job_class = "tiles";
    record.spec.team = "blue";
    record.spec.tasks = 20;
    record.spec.per_task = {4, 0, 16};
    record.spec.image = std::to_string(jobs_ % 12);
    record.spec.image_gb = 1;
    record.spec.spot_allowed = true;
    record.spec.estimate = Seconds(9);
    ++outcome_.events;
    controller_.job_opened(record, now_);
  }

  void boot() {
    const auto id = std::to_string(1000 + agents_.size());
    agents_[id].id = id;
    agents_[id].next_heartbeat = now_;
  }

  core::Heartbeat heartbeat_of(Agent& agent) {
    core::Heartbeat heartbeat{
        agent.id, "10.0.0.1:1", "small", "a", true, 1, ++agent.heartbeat_sequence, 7, {}, {}};
    for (const auto& [key, task] : agent.tasks)
      heartbeat.tasks.push_back(
          {key, task.attempt, core::TaskState::running, core::ExitCause::none});
    for (const auto& [key, attempt] : agent.exited)
      heartbeat.tasks.push_back({key, attempt, core::TaskState::exited, core::ExitCause::done});
    return heartbeat;
  }

  void advance(Agent& agent) {
    for (auto task = agent.tasks.begin(); task != agent.tasks.end();) {
      if (now_ < task->second.ends) {
        ++task;
        continue;
      }
      agent.exited[task->first] = task->second.attempt;
      agent.next_heartbeat = now_;
      task = agent.tasks.erase(task);
    }
    if (now_ < agent.next_heartbeat) return;
    agent.next_heartbeat = now_ + std::chrono::seconds(5);
    ++outcome_.events;
    const auto heartbeat = heartbeat_of(agent);
    controller_.heartbeat(heartbeat, now_);
    for (const auto& command : controller_.response_commands(heartbeat)) execute(agent, command);
  }

  void execute(Agent& agent, const core::Command& command) {
    if (command.type == core::CommandType::acknowledge) agent.exited.erase(command.task);
    if (command.type == core::CommandType::start)
      agent.tasks.try_emplace(command.task,
                              RunningTask{command.attempt, now_ + std::chrono::seconds(9)});
  }

  void execute(core::SendCommands& batch) {
    auto& agent = agents_.at(batch.machine);
    for (const auto& command : batch.commands) execute(agent, command);
    ++outcome_.events;
    const auto heartbeat = heartbeat_of(agent);
    controller_.commands_answered(agent.id, &heartbeat, now_);
  }
  void execute(core::SaveMachine& save) {
    records_.put(save.record.id, store::Json{save.record.endpoint}, 260,
                 save.only_images_changed ? WritePriority::deferred : WritePriority::urgent, now_,
                 [this, id = save.record.id, registered_before = save.only_images_changed] {
                   if (!registered_before) ++registered_;
                   controller_.machine_saved(id, true, true);
                 });
  }
  void execute(core::SaveProgress& save) {
    progress_.put(save.record.job, store::Json::array(), 60, WritePriority::deferred, now_,
                  [this, save] { controller_.progress_saved(save, true); });
  }
  void execute(core::FinishJob& finish) {
    outcome_.changes += 2;
    ++outcome_.done;
    progress_.erase(finish.job, now_);
    controller_.job_closed(finish.job, now_);
  }
  void execute(core::ScaleOut& request) {
    controller_.scale_out_answered(request.name, {core::ScaleOutResult::Kind::no_capacity, {}},
                                   now_);
  }
  template <typename OtherAction>
  void execute(OtherAction&) {}

  // One transaction of at most 12 changes each 400 ms: 30 changes a second.
  void write() {
    if (now_ < next_write_) return;
    next_write_ = now_ + milliseconds(400);
    std::size_t left = 12;
    for (auto* table : {&records_, &progress_}) {
      store::PagedRecords::Batch batch;
      table->take(now_, left, std::size_t{52} * 1024, batch);
      left -= batch.writes.size();
      outcome_.changes += batch.writes.size();
      table->mark_committed(batch, ++revision_);
    }
  }

  int machines_;
  core::TimePoint now_ = core::TimePoint{} + std::chrono::hours(1);
  core::TimePoint next_write_{};
  core::Controller controller_;
  store::PagedRecords records_;
  store::PagedRecords progress_;
  std::map<core::MachineId, Agent> agents_;
  std::size_t registered_ = 0;
  std::uint64_t revision_ = 10;
  int jobs_ = 0;
  Outcome outcome_;
};

// Guards against two costs that grow with the fleet. One key for each machine and one progress
// change a second for each running array kept machines unregistered for minutes; inspecting the
// whole fleet for each waiting task used up the processor.
TEST(Scale, WritesAndInspectionsPerEventDoNotGrowWithTheFleet) {
  const auto small_fleet = FleetRun(100).run();
  const auto large_fleet = FleetRun(600).run();
  ASSERT_GT(small_fleet.done, 50U);
  EXPECT_GT(large_fleet.done, small_fleet.done * 5);
  // All machines are registered soon after the last boot at 5 s, whatever their number.
  ASSERT_TRUE(small_fleet.all_registered && large_fleet.all_registered);
  EXPECT_LT(*large_fleet.all_registered, Seconds(10));
  // Records are packed into pages: six times the machines and arrays must take far fewer than six
  // times the changes, without the two changes that each finished job needs.
  const auto page_writes = [](const Outcome& o) { return o.changes - 2 * o.done; };
  EXPECT_LT(page_writes(large_fleet), page_writes(small_fleet) * 4);
  EXPECT_LT(page_writes(large_fleet), 90U * 15)
      << "the share of the budget is 15 of the 30 changes per second, over 90 s";
  const auto inspections_per_event = [](const Outcome& o) {
    return static_cast<double>(o.inspections) / static_cast<double>(o.events);
  };
  EXPECT_LT(inspections_per_event(large_fleet), inspections_per_event(small_fleet) * 2.5);
  EXPECT_LT(inspections_per_event(large_fleet), 60);
}

}  // namespace
}  // namespace violetpulley
