// Reports as changes: the reader of a segment holds the last report of every machine in it, the
// writer a fingerprint of each entry, an eighth of that. A new segment begins with none, so that it
// can be read by itself. Two entries with one fingerprint (64 bits) would make a replay differ from
// what was recorded, and be named as that.
#pragma once

#include <unordered_map>

#include "history/records.hpp"

namespace violetpulley::history {

class HeartbeatChangesWriter {
 public:
  // What is to be written instead of the report; null: the report as it is. Valid until the next
  // call.
  const HeartbeatChanges* changes(const core::Heartbeat& heartbeat, bool answer);

 private:
  struct Last {
    core::Heartbeat machine;  // without its tasks
    std::vector<std::uint64_t> tasks;
  };
  std::unordered_map<core::MachineId, Last> last_;
  std::vector<std::uint64_t> now_;
  HeartbeatChanges changes_;
};

class HeartbeatChangesReader {
 public:
  // The record that was given to the writer. Throws DecodeError if changes do not fit.
  Record whole(WrittenRecord&& written);

 private:
  core::Heartbeat& apply(const HeartbeatChanges& changes);
  std::unordered_map<core::MachineId, core::Heartbeat> last_;
};

// The report that an event holds, or null.
const core::Heartbeat* heartbeat_of(const core::Event& event);

}  // namespace violetpulley::history
