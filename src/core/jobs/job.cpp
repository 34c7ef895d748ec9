#include "core/jobs/job.hpp"

#include <algorithm>

namespace violetpulley::core {

Job::Job(JobRecord job_record) : record(std::move(job_record)), tasks(record.spec.tasks) {
  for (TaskIndex index = 0; index < record.spec.tasks; ++index)
    waiting.insert(waiting.end(), index);
}

void Job::set_waiting(TaskIndex index) {
  auto& task = tasks[index];
  if (task.phase == Phase::done) return;
  task.phase = Phase::waiting;
  task.machine.clear();
  waiting.insert(index);
}

void Job::set_assigned(TaskIndex index, const MachineId& machine) {
  auto& task = tasks[index];
  task.phase = Phase::assigned;
  task.machine = machine;
  task.bound_to.clear();
  has_started = true;
  waiting.erase(index);
}

void Job::set_done(TaskIndex index) {
  auto& task = tasks[index];
  if (task.phase == Phase::done) return;
  task.phase = Phase::done;
  task.machine.clear();
  task.bound_to.clear();
  has_started = true;
  suspected_faulty = false;
  waiting.erase(index);
  ++done_count;
}

std::vector<TaskIndex> Job::chunks_written() const {
  auto chunks = chunks_stored;
  chunks.insert(chunks_in_flight.begin(), chunks_in_flight.end());
  return {chunks.begin(), chunks.end()};
}

ProgressRecord Job::progress(TaskIndex chunk) const {
  ProgressRecord progress_record{record.spec.id, chunk, {}, {}};
  const TaskIndex first = chunk * kProgressChunk;
  const auto end = std::min<std::size_t>(tasks.size(), first + kProgressChunk);
  for (TaskIndex index = first; index < end; ++index) {
    if (tasks[index].phase == Phase::done) append_index(progress_record.done, index);
    if (tasks[index].restarted) append_index(progress_record.restarted, index);
  }
  return progress_record;
}

}  // namespace violetpulley::core
