// Everything that enters the core, as values: a leader that is given the same events at the same
// times takes the same actions. `apply` hands an event to the controller's method of that name.
#pragma once

#include <memory>
#include <variant>

#include "core/controller.hpp"

namespace violetpulley::core {

// The first event of every leader: a controller is made from it.
struct LeaderElected {
  ControllerSettings settings;
  FencingToken token = 0;
  TimePoint former_leases_end{};
  RecoveredState recovered;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.settings, s.token, s.former_leases_end, s.recovered);
  }
};
struct CatalogKnown {
  std::vector<MachineType> types;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.types);
  }
};
struct JobOpened {
  JobRecord record;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.record);
  }
};
struct JobClosed {
  JobId id;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.id);
  }
};
struct HeartbeatReceived {
  Heartbeat heartbeat;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.heartbeat);
  }
};
struct CommandsAnswered {
  MachineId machine;
  std::optional<Heartbeat> heartbeat;  // none: no answer came
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.machine, s.heartbeat);
  }
};
struct MachineSaved {
  MachineId id;
  bool with_endpoint = false;
  bool ok = false;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.id, s.with_endpoint, s.ok);
  }
};
struct ProgressSaved {
  SaveProgress saved;
  bool ok = false;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.saved, s.ok);
  }
};
struct FinishAnswered {
  JobId job;
  TimePoint retry{};
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.job, s.retry);
  }
};
struct ScaleOutAnswered {
  std::string name;
  ScaleOutResult answer;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.name, s.answer);
  }
};
struct ScaleInAnswered {
  std::vector<MachineId> machines;
  bool ok = false;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.machines, s.ok);
  }
};
struct CloudListed {
  std::vector<ListedMachine> machines;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.machines);
  }
};
struct Ticked {
  bool may_place = false;
  TimePoint proved{};  // no other leader had been elected by then
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.may_place, s.proved);
  }
};

struct PlacementsSaved {
  JobId job;
  std::uint64_t version = 0;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.job, s.version);
  }
};

// No older leader answers reports any more (docs/safety.md, "Older leaders that are known to be
// gone").
struct FormerLeadersGone {
  template <class S, class F>
  static void fields(S&, F&& f) {
    f();
  }
};

// Workers come to another controller (docs/safety.md, "Liveness").
struct PeerReceivesHeartbeats {
  template <class S, class F>
  static void fields(S&, F&& f) {
    f();
  }
};

// New kinds go to the end: a record names its kind by its place here.
using Event = std::variant<LeaderElected, CatalogKnown, JobOpened, JobClosed, HeartbeatReceived,
                           CommandsAnswered, MachineSaved, ProgressSaved, FinishAnswered,
                           ScaleOutAnswered, ScaleInAnswered, CloudListed, Ticked, PlacementsSaved,
                           FormerLeadersGone, PeerReceivesHeartbeats>;

// In words, for tables and messages.
const char* name_of(const Event& event);

// Throws std::logic_error for LeaderElected, which makes a controller instead.
void apply(Controller& controller, const Event& event, TimePoint now);

// The controller that a takeover makes.
std::unique_ptr<Controller> make_controller(const LeaderElected& event, TimePoint now);

}  // namespace violetpulley::core
