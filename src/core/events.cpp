#include "core/events.hpp"

#include <array>
#include <memory>
#include <stdexcept>

namespace violetpulley::core {

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
                                     "others hear"};
  static_assert(kNames.size() == std::variant_size_v<Event>);
  return kNames[event.index()];
}

void apply(Controller& controller, const Event& event, TimePoint now) {
  const auto visit = [&]<typename T>(const T& e) {
    if constexpr (std::is_same_v<T, LeaderElected>) {
      throw std::logic_error("a takeover makes a controller, it is not applied to one");
    } else if constexpr (std::is_same_v<T, CatalogKnown>) {
      controller.set_catalog(e.types);
    } else if constexpr (std::is_same_v<T, JobOpened>) {
      controller.job_opened(e.record, now);
    } else if constexpr (std::is_same_v<T, JobClosed>) {
      controller.job_closed(e.id, now);
    } else if constexpr (std::is_same_v<T, HeartbeatReceived>) {
      controller.heartbeat(e.heartbeat, now);
    } else if constexpr (std::is_same_v<T, CommandsAnswered>) {
      controller.commands_answered(e.machine, e.heartbeat ? &*e.heartbeat : nullptr, now);
    } else if constexpr (std::is_same_v<T, MachineSaved>) {
      controller.machine_saved(e.id, e.with_endpoint, e.ok);
    } else if constexpr (std::is_same_v<T, ProgressSaved>) {
      controller.progress_saved(e.saved, e.ok);
    } else if constexpr (std::is_same_v<T, FinishAnswered>) {
      controller.finish_answered(e.job, e.retry);
    } else if constexpr (std::is_same_v<T, ScaleOutAnswered>) {
      controller.scale_out_answered(e.name, e.answer, now);
    } else if constexpr (std::is_same_v<T, ScaleInAnswered>) {
      controller.scale_in_answered(e.machines, e.ok, now);
    } else if constexpr (std::is_same_v<T, CloudListed>) {
      controller.cloud_listed(e.machines, now);
    } else if constexpr (std::is_same_v<T, PlacementsSaved>) {
      controller.placements_saved(e.job, e.version);
    } else if constexpr (std::is_same_v<T, FormerLeadersGone>) {
      controller.former_leaders_gone(now);
    } else if constexpr (std::is_same_v<T, PeerReceivesHeartbeats>) {
      controller.note_peer_receives_heartbeats(now);
    } else {
      static_assert(std::is_same_v<T, Ticked>);
      controller.tick(now, e.may_place, e.proved);
    }
  };
  std::visit(visit, event);
}

std::unique_ptr<Controller> make_controller(const LeaderElected& event, TimePoint now) {
  return std::make_unique<Controller>(event.settings, event.token, now, event.former_leases_end,
                                      event.recovered);
}

}  // namespace violetpulley::core
