#include "history/heartbeat_changes.hpp"

#include <xxhash.h>

#include <algorithm>

namespace violetpulley::history {

namespace {

// Whether the heartbeats differ in nothing but the fields that HeartbeatChanges can express.
bool same_machine(const core::Heartbeat& a, const core::Heartbeat& b) {
  return a.endpoint == b.endpoint && a.type == b.type && a.zone == b.zone && a.spot == b.spot &&
         a.notice == b.notice;
}

std::uint64_t fingerprint(const core::TaskStatus& task) {
  const std::uint64_t rest = task.task.index ^ static_cast<std::uint64_t>(task.state) << 40U ^
                             static_cast<std::uint64_t>(task.cause) << 48U ^
                             static_cast<std::uint64_t>(task.checkpoint_saved) << 56U;
  const auto seed = task.attempt * 0x9E3779B97F4A7C15ULL ^ rest * 0xC2B2AE3D27D4EB4FULL;
  return XXH3_64bits_withSeed(task.task.job.data(), task.task.job.size(), seed);
}

}  // namespace

const core::Heartbeat* heartbeat_of(const core::Event& event) {
  if (const auto* reported = std::get_if<core::HeartbeatReceived>(&event))
    return &reported->heartbeat;
  const auto* answered = std::get_if<core::CommandsAnswered>(&event);
  if (answered == nullptr || !answered->heartbeat ||
      answered->heartbeat->machine != answered->machine)
    return nullptr;
  return &*answered->heartbeat;
}

const HeartbeatChanges* HeartbeatChangesWriter::changes(const core::Heartbeat& heartbeat,
                                                        bool answer) {
  now_.clear();
  for (const auto& task : heartbeat.tasks) now_.push_back(fingerprint(task));
  const auto [entry, fresh] = last_.try_emplace(heartbeat.machine);
  auto& last = entry->second;
  auto& before = last.tasks;
  if (fresh || !same_machine(last.machine, heartbeat)) {
    last.machine = heartbeat;
    last.machine.tasks.clear();
    before.swap(now_);
    return nullptr;
  }
  changes_.machine = heartbeat.machine;
  changes_.answer = answer;
  changes_.epoch = heartbeat.epoch;
  changes_.heartbeat_sequence = heartbeat.heartbeat_sequence;
  changes_.token = heartbeat.token;
  changes_.gone.clear();
  changes_.come.clear();
  // Lists keep their order, so one pass finds the unchanged entries; another order only costs
  // bytes.
  std::size_t old = 0;
  for (std::size_t place = 0; place < now_.size(); ++place) {
    if (old < before.size() && before[old] == now_[place]) {
      ++old;
      continue;
    }
    const auto same =
        std::find(before.begin() + static_cast<std::ptrdiff_t>(old), before.end(), now_[place]);
    if (same == before.end()) {
      changes_.come.emplace_back(static_cast<std::uint32_t>(place), heartbeat.tasks[place]);
      continue;
    }
    const auto found = static_cast<std::size_t>(same - before.begin());
    for (; old < found; ++old) changes_.gone.push_back(static_cast<std::uint32_t>(old));
    ++old;
  }
  for (; old < before.size(); ++old) changes_.gone.push_back(static_cast<std::uint32_t>(old));
  before.swap(now_);
  return &changes_;
}

core::Heartbeat& HeartbeatChangesReader::apply(const HeartbeatChanges& changes) {
  const auto found = last_.find(changes.machine);
  if (found == last_.end())
    throw DecodeError("changes of " + changes.machine + " come before any whole heartbeat");
  auto& last = found->second;
  last.epoch = changes.epoch;
  last.heartbeat_sequence = changes.heartbeat_sequence;
  last.token = changes.token;
  if (changes.gone.empty() && changes.come.empty()) return last;
  auto gone = changes.gone.begin();
  auto come = changes.come.begin();
  std::vector<core::TaskStatus> tasks;
  const auto take_new = [&] {
    for (; come != changes.come.end() && come->first == tasks.size(); ++come)
      tasks.push_back(come->second);
  };
  for (std::uint32_t old = 0; old < last.tasks.size(); ++old) {
    take_new();
    if (gone != changes.gone.end() && *gone == old)
      ++gone;
    else
      tasks.push_back(std::move(last.tasks[old]));
  }
  take_new();
  if (gone != changes.gone.end() || come != changes.come.end())
    throw DecodeError("changes of " + changes.machine + " do not fit the last heartbeat");
  last.tasks = std::move(tasks);
  return last;
}

Record HeartbeatChangesReader::whole(WrittenRecord&& written) {
  Record out{written.token, written.at, ActionsRecorded{}};
  if (auto* event = std::get_if<core::Event>(&written.what)) {
    if (const auto* heartbeat = heartbeat_of(*event)) last_[heartbeat->machine] = *heartbeat;
    out.what = std::move(*event);
  } else if (const auto* changes = std::get_if<HeartbeatChanges>(&written.what)) {
    const auto& heartbeat = apply(*changes);
    if (changes->answer)
      out.what = core::Event(core::CommandsAnswered{heartbeat.machine, heartbeat});
    else
      out.what = core::Event(core::HeartbeatReceived{heartbeat});
  } else {
    out.what = std::get<ActionsRecorded>(written.what);
  }
  return out;
}

}  // namespace violetpulley::history
