#include "history/replay.hpp"

namespace violetpulley::history {

std::uint64_t digest_of(const std::vector<core::Action>& actions) {
  Digest digest;
  digest.add(actions);
  return digest.value();
}

void Replay::restore(const SnapshotHeader& header, const Parts& parts) {
  elected_event_ = header.elected_event;
  elected_at_ = header.elected_at;
  controller_ = core::make_controller(elected_event_, elected_at_);
  controller_->take_actions();
  restore_parts(*controller_, parts);
  now_ = header.at;
  record_count_ = header.record_count;
}

void Replay::apply(const Record& record) {
  now_ = record.at;
  const auto number = record_count_++;
  if (const auto* recorded_actions = std::get_if<ActionsRecorded>(&record.content)) {
    if (!controller_)
      throw DecodeError("a record of actions precedes the first takeover by a leader");
    const auto actions = controller_->take_actions();
    const auto digest = digest_of(actions);
    actions_.add(digest);
    if (digest != recorded_actions->digest && !difference_)
      difference_ = Difference{number, recorded_actions->digest, digest};
    return;
  }
  const auto& event = std::get<core::Event>(record.content);
  if (const auto* elected = std::get_if<core::LeaderElected>(&event)) {
    controller_ = core::make_controller(*elected, record.at);
    elected_at_ = record.at;
    elected_event_ = {elected->settings, elected->token, elected->former_leases_end, {}};
    return;
  }
  if (!controller_) throw DecodeError("an event precedes the first takeover by a leader");
  core::apply(*controller_, event, record.at);
}

core::WallTime Replay::wall_now() const {
  return elected_event_.settings.wall_at_start +
         std::chrono::duration_cast<std::chrono::milliseconds>(now_ - elected_at_);
}

std::uint64_t Replay::state_digest() const {
  return controller_ ? digest_of(parts_of(*controller_)) : 0;
}

}  // namespace violetpulley::history
