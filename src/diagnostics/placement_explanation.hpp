// Why a job of the leader's waits now, as a value: the core's view is turned into a problem of the
// solver's, once with every machine empty and once as it is. Changes nothing and is bounded: what
// others run is folded into the room that is free.
#pragma once

#include "core/controller.hpp"
#include "solver/reasons.hpp"

namespace violetpulley::diagnostics {

struct Cause {
  std::string code;  // stable, for programs
  std::string text;  // for people
};

struct Advice {
  core::JobId job;
  core::TaskIndex waiting = 0;
  core::TaskIndex on_machines = 0;
  core::TaskIndex done = 0;
  core::TaskIndex bound = 0;  // of those that wait: for rentals or booting machines
  bool impossible = false;    // not even on the machines there are, if all were empty
  std::vector<Cause> causes;  // the fewest without which one more task, or the gang, would fit
  // When it would fit, if other tasks end as expected and nothing else comes; none: unknown.
  std::optional<core::Seconds> fits_in;
  std::size_t machines = 0;                      // that may take tasks
  std::map<std::string, std::size_t> set_aside;  // others, by cause
  std::vector<std::string> rentable_types;       // that it may use and that hold one task of it
};

// None: the leader does not know the job, so it is not open.
std::optional<Advice> why(const core::Controller& controller, const std::vector<core::Team>& teams,
                          const std::vector<core::MachineType>& types, const core::JobId& id,
                          core::TimePoint now);

}  // namespace violetpulley::diagnostics
