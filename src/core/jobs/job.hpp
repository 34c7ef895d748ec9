// Unfinished jobs as the leader sees them.
#pragma once

#include <set>
#include <unordered_map>

#include "core/model/actions.hpp"

namespace violetpulley::core {

inline constexpr Seconds kLongestPause{64};  // of a job whose tasks fail

enum class Phase : std::uint8_t { waiting, assigned, done };

struct Task {
  Phase phase = Phase::waiting;
  bool restarted = false;  // by clearing, which happens once at most
  bool persisted = false;  // its end is in the store
  MachineId machine;       // when assigned
  std::string bound;       // rental or booting machine that it waits for
  Seconds saved{0};        // run time that a restart need not repeat
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.phase, s.restarted, s.persisted, s.machine, s.bound, s.saved);
  }
};

struct Job {
  JobRecord record;
  bool from_former_leader = false;  // accepted before our takeover
  std::vector<Task> tasks;
  std::set<TaskIndex> waiting;
  std::set<TaskIndex> chunks_dirty;
  std::set<TaskIndex> chunks_in_flight;
  std::set<TaskIndex> chunks_stored;
  TaskIndex done = 0;
  TaskIndex running = 0;  // seen running by their workers
  bool finishing = false;
  TimePoint finish_retry{};
  TimePoint opened{};
  std::set<MachineId> failed_on;
  int failures = 0;
  TimePoint last_failure{};
  TimePoint backoff_until{};
  Attempt attempt = 0;  // of a gang whose tasks are on machines: they share it
  // Where each task was last started, as recorded or about to be; empty if nothing is recorded.
  std::vector<MachineId> placed;
  bool placements_complete = false;     // what an older leader recorded is all that there is
  std::uint64_t placement_version = 0;  // of the newest record asked for
  std::uint64_t committed_placement_version = 0;  // of the newest record that is committed
  bool has_started = false;                       // a task of it has been on a machine
  // All of it has failed, on several machines: most likely it was submitted with a mistake. One
  // task at a time is tried, until one ends well.
  bool suspected = false;
  Seconds pause{0};  // after the last try

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.record, s.from_former_leader, s.tasks, s.waiting, s.chunks_dirty, s.chunks_in_flight,
      s.chunks_stored, s.done, s.running, s.finishing, s.finish_retry, s.opened, s.failed_on,
      s.failures, s.backoff_until, s.attempt, s.placed, s.placements_complete, s.placement_version,
      s.committed_placement_version, s.has_started, s.suspected, s.pause, s.last_failure);
  }

  Job() : Job(JobRecord{}) {}
  explicit Job(JobRecord r) : record(std::move(r)), tasks(record.spec.tasks) {
    for (TaskIndex i = 0; i < record.spec.tasks; ++i) waiting.insert(waiting.end(), i);
  }

  const JobSpec& spec() const { return record.spec; }
  // One of its tasks failed there a while ago: others go first. Where all that fit are such, it
  // would wait for ever beside free room, so they are forgotten after the longest pause.
  bool avoids(const MachineId& machine, TimePoint now) const {
    return !suspected && now - last_failure < kLongestPause && failed_on.contains(machine);
  }
  bool gang() const { return record.spec.shape == Shape::gang; }
  bool service() const { return record.spec.shape == Shape::service; }
  // Gangs and services: few starts, and long waits when one is in doubt.
  bool records_starts() const { return gang() || service(); }
  bool complete() const { return done == tasks.size(); }

  void set_waiting(TaskIndex index) {
    auto& task = tasks[index];
    if (task.phase == Phase::done) return;
    task.phase = Phase::waiting;
    task.machine.clear();
    waiting.insert(index);
  }
  void set_assigned(TaskIndex index, const MachineId& machine) {
    auto& task = tasks[index];
    task.phase = Phase::assigned;
    has_started = true;
    task.machine = machine;
    task.bound.clear();
    waiting.erase(index);
  }
  void set_done(TaskIndex index) {
    auto& task = tasks[index];
    if (task.phase == Phase::done) return;
    task.phase = Phase::done;
    has_started = true;
    task.machine.clear();
    task.bound.clear();
    waiting.erase(index);
    suspected = false;
    ++done;
  }

  // Chunks of its progress that are, or may yet be, in the store.
  std::vector<TaskIndex> chunks_written() const {
    auto chunks = chunks_stored;
    chunks.insert(chunks_in_flight.begin(), chunks_in_flight.end());
    return {chunks.begin(), chunks.end()};
  }

  ProgressRecord progress(TaskIndex chunk) const {
    ProgressRecord out{record.spec.id, chunk, {}, {}};
    const TaskIndex first = chunk * kProgressChunk;
    const auto last = std::min<std::size_t>(tasks.size(), first + kProgressChunk);
    const auto extend = [](std::vector<IndexRange>& ranges, TaskIndex index) {
      if (!ranges.empty() && ranges.back().second + 1 == index)
        ranges.back().second = index;
      else
        ranges.emplace_back(index, index);
    };
    for (TaskIndex i = first; i < last; ++i) {
      if (tasks[i].phase == Phase::done) extend(out.done, i);
      if (tasks[i].restarted) extend(out.restarted, i);
    }
    return out;
  }
};

}  // namespace violetpulley::core
