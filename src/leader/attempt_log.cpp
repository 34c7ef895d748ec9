#include "leader/attempt_log.hpp"

#include <spdlog/spdlog.h>

namespace violetpulley {

namespace {

constexpr std::size_t kMaxLinesPerSecond = 5;

const char* text_of(core::EndProof proof) {
  switch (proof) {
    case core::EndProof::none:
      return "its end is not proven";
    case core::EndProof::listed:
      return "its end was listed";
    case core::EndProof::fenced:
      return "its agent has seen a token above that of its start";
    case core::EndProof::epoch_grown:
      return "its agent has a new epoch";
    case core::EndProof::lease_expired:
      return "the lease of its machine has expired";
    case core::EndProof::machine_returned:
      return "its machine was returned";
  }
  return "";
}

const char* text_of(core::ExitCause cause) {
  static constexpr const char* kTexts[] = {"lost by the machine", "done",       "stopped",
                                           "peers gone",          "incomplete", "error",
                                           "no capacity",         "busy",       "unknown"};
  return kTexts[static_cast<int>(cause)];
}

struct NoteLogger {
  void operator()(const core::StartedElsewhere& note) const {
    spdlog::info(
        "task {}/{} starts on machine {}, attempt {}, token {}: its attempt {} on machine {} ended "
        "{:.2f} s ago ({}); allowed since {}",
        note.task.job, note.task.index, note.machine, note.attempt, note.token, note.former.attempt,
        note.former.machine, note.since_end.count(), text_of(note.former.cause),
        text_of(note.former.proof));
  }
  void operator()(const core::AcknowledgedAttemptListed& note) const {
    spdlog::warn(
        "machine {} runs attempt {} of task {}/{}, which was acknowledged {:.2f} s ago: a copy of "
        "its start, sent {} batches ago, was carried out",
        note.machine, note.attempt, note.task.job, note.task.index,
        note.since_acknowledgement.count(), note.batches_since_start);
  }
  void operator()(const core::UnexpectedToken& note) const {
    spdlog::warn("machine {} shows token {}, {} {}", note.machine, note.shown,
                 note.kind == core::ShownToken::lower ? "lower than before; it is sent"
                                                      : "which nobody chose; the last one sent was",
                 note.sent);
  }
};

}  // namespace

void AttemptLog::log_notes(core::Controller& controller, core::TimePoint now) {
  if (now - second_begins_ >= std::chrono::seconds(1)) {
    if (left_out_ > 0) spdlog::info("{} lines about attempts were left out", left_out_);
    second_begins_ = now;
    lines_ = left_out_ = 0;
  }
  for (const auto& note : controller.take_audit_notes())
    if (lines_ < kMaxLinesPerSecond) {
      ++lines_;
      std::visit(NoteLogger{}, note);
    } else {
      ++left_out_;
    }
}

}  // namespace violetpulley
