// Everything that enters the core, as values: a leader that is given the same events at the same
// times takes the same actions. `apply` hands an event to the controller's method of that name.
#pragma once

#include <memory>
#include <variant>

#include "core/controller.hpp"

namespace violetpulley::core {

// The first event of every leader: a controller is made from it.
struct TakenOver {
  ControllerSettings settings;
  Token token = 0;
  TimePoint older_leases_end{};
  Inheritance inheritance;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.settings, s.token, s.older_leases_end, s.inheritance);
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
struct MachineReported {
  WorkerReport report;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.report);
  }
};
struct OrdersAnswered {
  MachineId machine;
  std::optional<WorkerReport> report;  // none: no answer came
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.machine, s.report);
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
struct RentalAnswered {
  std::string name;
  RentalAnswer answer;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.name, s.answer);
  }
};
struct ReleaseAnswered {
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
struct OlderLeadersGone {
  template <class S, class F>
  static void fields(S&, F&& f) {
    f();
  }
};

// Workers come to another controller (docs/safety.md, "Liveness").
struct OthersHear {
  template <class S, class F>
  static void fields(S&, F&& f) {
    f();
  }
};

// New kinds go to the end: a record names its kind by its place here.
using Event =
    std::variant<TakenOver, CatalogKnown, JobOpened, JobClosed, MachineReported, OrdersAnswered,
                 MachineSaved, ProgressSaved, FinishAnswered, RentalAnswered, ReleaseAnswered,
                 CloudListed, Ticked, PlacementsSaved, OlderLeadersGone, OthersHear>;

// In words, for tables and messages.
const char* name_of(const Event& event);

// Throws std::logic_error for TakenOver, which makes a controller instead.
void apply(Controller& controller, const Event& event, TimePoint now);

// The controller that a takeover makes.
std::unique_ptr<Controller> make_controller(const TakenOver& event, TimePoint now);

}  // namespace violetpulley::core
