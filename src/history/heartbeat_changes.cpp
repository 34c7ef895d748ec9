#include "history/heartbeat_changes.hpp"

#include <xxhash.h>

#include <algorithm>

namespace violetpulley::history {

namespace {

// Whether the heartbeats are equal in all fields that HeartbeatChanges does not hold.
bool equal_attributes(const core::Heartbeat& a, const core::Heartbeat& b) {
  return a.endpoint == b.endpoint && a.type == b.type && a.zone == b.zone && a.spot == b.spot &&
         a.notice == b.notice;
}

std::uint64_t fingerprint(const core::TaskStatus& task) {
  const std::uint64_t fields = task.task.index ^ static_cast<std::uint64_t>(task.state) << 40U ^
                               static_cast<std::uint64_t>(task.cause) << 48U ^
                               static_cast<std::uint64_t>(task.checkpoint_saved) << 56U;
  const auto seed = task.attempt * 0x9E3779B97F4A7C15ULL ^ fields * 0xC2B2AE3D27D4EB4FULL;
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
                                                        bool answers_commands) {
  fingerprints_.clear();
  for (const auto& task : heartbeat.tasks) fingerprints_.push_back(fingerprint(task));
  const auto [entry, inserted] = last_.try_emplace(heartbeat.machine);
  auto& last = entry->second;
  auto& previous = last.fingerprints;
  if (inserted || !equal_attributes(last.attributes, heartbeat)) {
    last.attributes = heartbeat;
    last.attributes.tasks.clear();
    previous.swap(fingerprints_);
    return nullptr;
  }
  changes_.machine = heartbeat.machine;
  changes_.answers_commands = answers_commands;
  changes_.epoch = heartbeat.epoch;
  changes_.heartbeat_sequence = heartbeat.heartbeat_sequence;
  changes_.token = heartbeat.token;
  changes_.removed.clear();
  changes_.added.clear();
  // One pass: lists usually keep their order, and moved entries only take more bytes.
  std::size_t prior = 0;
  for (std::size_t index = 0; index < fingerprints_.size(); ++index) {
    if (prior < previous.size() && previous[prior] == fingerprints_[index]) {
      ++prior;
      continue;
    }
    const auto match = std::find(previous.begin() + static_cast<std::ptrdiff_t>(prior),
                                 previous.end(), fingerprints_[index]);
    if (match == previous.end()) {
      changes_.added.emplace_back(static_cast<std::uint32_t>(index), heartbeat.tasks[index]);
      continue;
    }
    const auto found = static_cast<std::size_t>(match - previous.begin());
    for (; prior < found; ++prior) changes_.removed.push_back(static_cast<std::uint32_t>(prior));
    ++prior;
  }
  for (; prior < previous.size(); ++prior)
    changes_.removed.push_back(static_cast<std::uint32_t>(prior));
  previous.swap(fingerprints_);
  return &changes_;
}

core::Heartbeat& HeartbeatChangesReader::apply(const HeartbeatChanges& changes) {
  const auto found = last_.find(changes.machine);
  if (found == last_.end())
    throw DecodeError("heartbeat changes of " + changes.machine +
                      " precede the first full heartbeat of the machine");
  auto& last = found->second;
  last.epoch = changes.epoch;
  last.heartbeat_sequence = changes.heartbeat_sequence;
  last.token = changes.token;
  if (changes.removed.empty() && changes.added.empty()) return last;
  auto removed = changes.removed.begin();
  auto added = changes.added.begin();
  std::vector<core::TaskStatus> tasks;
  const auto append_added = [&] {
    for (; added != changes.added.end() && added->first == tasks.size(); ++added)
      tasks.push_back(added->second);
  };
  for (std::uint32_t prior = 0; prior < last.tasks.size(); ++prior) {
    append_added();
    if (removed != changes.removed.end() && *removed == prior)
      ++removed;
    else
      tasks.push_back(std::move(last.tasks[prior]));
  }
  append_added();
  if (removed != changes.removed.end() || added != changes.added.end())
    throw DecodeError("heartbeat changes of " + changes.machine +
                      " do not match its last heartbeat");
  last.tasks = std::move(tasks);
  return last;
}

Record HeartbeatChangesReader::restore(WrittenRecord&& written) {
  Record out{written.token, written.at, ActionsRecorded{}};
  if (auto* event = std::get_if<core::Event>(&written.content)) {
    if (const auto* heartbeat = heartbeat_of(*event)) last_[heartbeat->machine] = *heartbeat;
    out.content = std::move(*event);
  } else if (const auto* changes = std::get_if<HeartbeatChanges>(&written.content)) {
    const auto& heartbeat = apply(*changes);
    if (changes->answers_commands)
      out.content = core::Event(core::CommandsAnswered{heartbeat.machine, heartbeat});
    else
      out.content = core::Event(core::HeartbeatReceived{heartbeat});
  } else {
    out.content = std::get<ActionsRecorded>(written.content);
  }
  return out;
}

}  // namespace violetpulley::history
