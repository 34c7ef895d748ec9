/// @file
/// Encodes heartbeats as differences to the previous heartbeat of the same machine in a segment.
/// The reader holds the last heartbeat of every machine; the writer holds a 64-bit fingerprint of
/// each task status instead, which takes an eighth of the memory. Each segment starts without
/// previous heartbeats, so that it can be read on its own. A collision of two fingerprints would
/// give a wrong heartbeat; the replay then reports that its actions differ from the recorded ones.
#pragma once

#include <unordered_map>

#include "history/records.hpp"

namespace violetpulley::history {

/// Encodes the heartbeats of one segment as differences.
class HeartbeatChangesWriter {
 public:
  /// The difference to write in place of the heartbeat; null if the heartbeat must be written in
  /// full. `answers_commands` tells that the heartbeat came in the response to commands. The result
  /// is valid until the next call.
  const HeartbeatChanges* changes(const core::Heartbeat& heartbeat, bool answers_commands);

 private:
  struct LastHeartbeat {
    core::Heartbeat attributes;  // the heartbeat without its tasks
    std::vector<std::uint64_t> fingerprints;
  };
  std::unordered_map<core::MachineId, LastHeartbeat> last_;
  std::vector<std::uint64_t> fingerprints_;
  HeartbeatChanges changes_;
};

/// Restores the heartbeats of one segment from the differences.
class HeartbeatChangesReader {
 public:
  /// Restores the recorded event. Throws DecodeError if changes do not match the last heartbeat.
  Record restore(WrittenRecord&& written);

 private:
  core::Heartbeat& apply(const HeartbeatChanges& changes);
  std::unordered_map<core::MachineId, core::Heartbeat> last_;
};

/// The heartbeat in an event; null if there is none, or if it names another machine than the
/// response.
const core::Heartbeat* heartbeat_of(const core::Event& event);

}  // namespace violetpulley::history
