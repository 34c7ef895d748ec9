/// @file
/// Heartbeats as differences: the reader of a segment holds the last heartbeat of every machine in
/// the segment, the writer a fingerprint of each task status, an eighth of the memory. A new
/// segment begins without any, so that it can be read by itself. Two task statuses with the same
/// fingerprint (64 bits) would make a replay differ from the recorded actions, which the replay
/// reports.
#pragma once

#include <unordered_map>

#include "history/records.hpp"

namespace violetpulley::history {

/// Turns the heartbeats of one segment into differences.
class HeartbeatChangesWriter {
 public:
  /// What is to be written in place of the heartbeat; null: the heartbeat as it is. `answer`: the
  /// heartbeat is the response to commands. Valid until the next call.
  const HeartbeatChanges* changes(const core::Heartbeat& heartbeat, bool answers_commands);

 private:
  struct LastHeartbeat {
    core::Heartbeat attributes;  // without its tasks
    std::vector<std::uint64_t> fingerprints;
  };
  std::unordered_map<core::MachineId, LastHeartbeat> last_;
  std::vector<std::uint64_t> fingerprints_;
  HeartbeatChanges changes_;
};

/// Restores the heartbeats of one segment.
class HeartbeatChangesReader {
 public:
  /// The record that was given to the writer. Throws DecodeError if changes do not fit.
  Record restore(WrittenRecord&& written);

 private:
  core::Heartbeat& apply(const HeartbeatChanges& changes);
  std::unordered_map<core::MachineId, core::Heartbeat> last_;
};

/// The heartbeat that an event holds, or null.
const core::Heartbeat* heartbeat_of(const core::Event& event);

}  // namespace violetpulley::history
