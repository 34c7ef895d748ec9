/// @file
/// All inputs of the controller as values. The history records them; a controller that is given the
/// same events at the same times takes the same actions. Owns no state.
#pragma once

#include <memory>
#include <variant>

#include "core/controller.hpp"

namespace violetpulley::core {

/// The first event of every leader, from which its controller is created.
struct LeaderElected {
  ControllerSettings settings;
  FencingToken token = 0;
  TimePoint former_leases_end{};  ///< End of the last lease that a former leader may have renewed.
  RecoveredState recovered;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.settings, s.token, s.former_leases_end, s.recovered);
  }
};

/// The cloud's catalog was read.
struct CatalogReceived {
  std::vector<MachineType> types;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.types);
  }
};

/// A job was accepted.
struct JobOpened {
  JobRecord record;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.record);
  }
};

/// A job has ended or was cancelled.
struct JobClosed {
  JobId id;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.id);
  }
};

/// An agent sent a periodic heartbeat.
struct HeartbeatReceived {
  Heartbeat heartbeat;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.heartbeat);
  }
};

/// A command batch was answered or has failed.
struct CommandsAnswered {
  MachineId machine;
  std::optional<Heartbeat> heartbeat;  ///< The response; nullopt: none arrived.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.machine, s.heartbeat);
  }
};

/// Result of a `SaveMachine`.
struct MachineSaved {
  MachineId id;
  bool with_endpoint = false;
  bool ok = false;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.id, s.with_endpoint, s.ok);
  }
};

/// Result of a `SaveProgress`.
struct ProgressSaved {
  SaveProgress saved;
  bool ok = false;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.saved, s.ok);
  }
};

/// A `FinishJob` was not carried out; it is not retried before `retry`.
struct FinishAnswered {
  JobId job;
  TimePoint retry{};

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.job, s.retry);
  }
};

/// Result of the `ScaleOut` with this name.
struct ScaleOutAnswered {
  std::string name;
  ScaleOutResult answer;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.name, s.answer);
  }
};

/// Result of a `ScaleIn`.
struct ScaleInAnswered {
  std::vector<MachineId> machines;
  bool ok = false;  ///< The machines are proven to be gone.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.machines, s.ok);
  }
};

/// The cloud listed its machines.
struct CloudListed {
  std::vector<ListedMachine> machines;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.machines);
  }
};

/// The periodic work of the controller was run.
struct Ticked {
  bool may_place = false;   ///< This controller may still act as leader.
  TimePoint last_proven{};  ///< Latest time at which it is proven that no other controller led.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.may_place, s.last_proven);
  }
};

/// A `SavePlacements` was committed.
struct PlacementsSaved {
  JobId job;
  PlacementVersion version = 0;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.job, s.version);
  }
};

/// All other controllers have reported that they do not lead, so no former leader answers
/// heartbeats any more (docs/safety.md, "Older leaders that are known to be gone").
struct FormerLeadersGone {
  template <class S, class F>
  static void fields(S&, F&& f) {
    f();
  }
};

/// Agents send their heartbeats to another controller (docs/safety.md, "Liveness").
struct PeerReceivesHeartbeats {
  template <class S, class F>
  static void fields(S&, F&& f) {
    f();
  }
};

/// The leader key was unchanged at this revision of the store: a write that is conditioned on it
/// was committed there. Absent from the histories of programs that did not raise tokens.
struct LeadershipProven {
  Revision revision = 0;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.revision);
  }
};

/// New kinds are added at the end, because the history stores a kind as its position here.
using Event = std::variant<LeaderElected, CatalogReceived, JobOpened, JobClosed, HeartbeatReceived,
                           CommandsAnswered, MachineSaved, ProgressSaved, FinishAnswered,
                           ScaleOutAnswered, ScaleInAnswered, CloudListed, Ticked, PlacementsSaved,
                           FormerLeadersGone, PeerReceivesHeartbeats, LeadershipProven>;

/// Name of the event's kind, for tables and messages. The names are stable.
const char* name_of(const Event& event);

/// Calls the controller's method for the event. Throws std::logic_error for `LeaderElected`, for
/// which `make_controller` is called instead.
void apply(Controller& controller, const Event& event, TimePoint now);

/// Creates the controller of a newly elected leader.
std::unique_ptr<Controller> make_controller(const LeaderElected& event, TimePoint now);

}  // namespace violetpulley::core
