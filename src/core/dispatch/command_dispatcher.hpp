// What machines are told: starts, stops and forgets, repeated until a report shows them done
// (PROTOCOL, "Workers"; docs/safety.md, "One copy of a task", 5). Owns the set of machines that are
// due and the window of what is under way; decides what is sent when, never what should run.
#pragma once

#include <set>

#include "core/dispatch/in_flight_window.hpp"
#include "core/dispatch/socket_budget.hpp"
#include "core/jobs/jobs.hpp"
#include "core/machines/fleet.hpp"

namespace violetpulley::core {

// Session and sequence of a report.
using HeartbeatNumber = std::pair<std::uint64_t, std::uint64_t>;

// An order's way to the worker, with room to spare.
inline constexpr Seconds kCommandTravelTime{1};

class CommandDispatcher {
 public:
  // `most`: order lists under way, if the operators set it.
  CommandDispatcher(const SocketBudget& sockets, std::size_t most, Outbox& out, Fleet& fleet,
                    const Jobs& jobs)
      : sockets_(sockets), most_(most), out_(out), fleet_(fleet), jobs_(jobs) {}

  void want(const Machine& machine) { machines_due_.insert(machine.id); }
  std::vector<Command> commands_for(const Machine& machine, bool with_starts) const;
  // Stops and forgets that travel in the answer to a report, if it is the newest of its machine: a
  // late copy of one carries nothing.
  std::vector<Command> response_commands(const MachineId& machine, HeartbeatNumber heartbeat) const;
  // Sends what the window admits; the rest stays due. Stops come first, then tasks in the order in
  // which placing chose them, then machines that did not answer the last time.
  void send(TimePoint now);
  // The machine's answer came, or none did.
  void answered(Machine& machine, bool any, TimePoint now);
  // It was returned.
  void gone(const Machine& machine);
  // How many more machines may be asked now.
  std::size_t room() const;
  SocketShares shares() const {
    auto shares = share_sockets(sockets_, fleet_.all().size());
    if (most_ > 0) shares.commands = std::min(shares.commands, most_);
    return shares;
  }
  const InFlightWindow& window() const { return window_; }
  // A task of a job that was cancelled or has ended may be on it.
  static bool holds_cancelled_task(const Machine& machine);
  // Whether the start may have been sent.
  bool committed(const TaskKey& key, const Assignment& assignment) const;

  void stop(Machine& machine, Assignment& assignment, TimePoint now, Seconds grace = Seconds(0));
  // `available`: how long the task may take to save.
  void stop_with_checkpoint(Machine& machine, const TaskKey& key, Assignment& assignment,
                            Seconds available, TimePoint now);

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.machines_due_, s.window_);
  }

 private:
  // Smaller is more urgent: the rank, and within it the number of the oldest open start.
  using Urgency = std::pair<int, Attempt>;
  bool acknowledgeable(const Machine& machine, const TaskStatus& entry) const;
  Urgency urgency(const Machine& machine) const;
  void send(Machine& machine, TimePoint now);

  const SocketBudget& sockets_;
  std::size_t most_;
  Outbox& out_;
  Fleet& fleet_;
  const Jobs& jobs_;
  std::set<MachineId> machines_due_;
  InFlightWindow window_;
};

}  // namespace violetpulley::core
