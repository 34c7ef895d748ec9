#include "core/events.hpp"

#include <array>
#include <memory>
#include <stdexcept>

namespace violetpulley::core {

// These names are stored and printed by `history show`, and must not change.
const char* name_of(const Event& event) {
  static constexpr std::array kNames{"takeover",
                                     "catalog",
                                     "job opened",
                                     "job closed",
                                     "report",
                                     "orders answered",
                                     "machine saved",
                                     "progress saved",
                                     "finish answered",
                                     "rental answered",
                                     "release answered",
                                     "machines listed",
                                     "tick",
                                     "placements saved",
                                     "older leaders gone",
                                     "others hear",
                                     "leadership proven"};
  static_assert(kNames.size() == std::variant_size_v<Event>);
  return kNames[event.index()];
}

namespace {

// Calls the controller's method for each kind of event.
struct EventApplier {
  Controller& controller;
  TimePoint now;

  void operator()(const LeaderElected&) const {
    throw std::logic_error("LeaderElected makes a controller and cannot be applied to one");
  }
  void operator()(const CatalogReceived& event) const { controller.set_catalog(event.types); }
  void operator()(const JobOpened& event) const { controller.job_opened(event.record, now); }
  void operator()(const JobClosed& event) const { controller.job_closed(event.id, now); }
  void operator()(const HeartbeatReceived& event) const {
    controller.heartbeat(event.heartbeat, now);
  }
  void operator()(const CommandsAnswered& event) const {
    const auto* heartbeat = event.heartbeat ? &*event.heartbeat : nullptr;
    controller.commands_answered(event.machine, heartbeat, now);
  }
  void operator()(const MachineSaved& event) const {
    controller.machine_saved(event.id, event.with_endpoint, event.ok);
  }
  void operator()(const ProgressSaved& event) const {
    controller.progress_saved(event.saved, event.ok);
  }
  void operator()(const FinishAnswered& event) const {
    controller.finish_answered(event.job, event.retry, now);
  }
  void operator()(const ScaleOutAnswered& event) const {
    controller.scale_out_answered(event.name, event.answer, now);
  }
  void operator()(const ScaleInAnswered& event) const {
    controller.scale_in_answered(event.machines, event.ok, now);
  }
  void operator()(const CloudListed& event) const { controller.cloud_listed(event.machines, now); }
  void operator()(const Ticked& event) const {
    controller.tick(now, event.may_place, event.last_proven);
  }
  void operator()(const PlacementsSaved& event) const {
    controller.placements_saved(event.job, event.version);
  }
  void operator()(const FormerLeadersGone&) const { controller.former_leaders_gone(now); }
  void operator()(const PeerReceivesHeartbeats&) const {
    controller.record_peer_receives_heartbeats(now);
  }
  void operator()(const LeadershipProven& event) const {
    controller.leadership_proven(event.revision);
  }
};

}  // namespace

void apply(Controller& controller, const Event& event, TimePoint now) {
  std::visit(EventApplier{controller, now}, event);
}

std::unique_ptr<Controller> make_controller(const LeaderElected& event, TimePoint now) {
  return std::make_unique<Controller>(event.settings, event.token, now, event.former_leases_end,
                                      event.recovered);
}

}  // namespace violetpulley::core
