/// @file
/// Finds the placement domains of a gang (see gang_reservations.hpp) and the slots that are free in
/// them. Owns no state.
#pragma once

#include "core/autoscaling/instance_offerings.hpp"
#include "core/dispatch/task_starter.hpp"
#include "core/model/limits.hpp"
#include "core/scheduling/bin_packer.hpp"
#include "core/scheduling/gang_reservations.hpp"
#include "core/scheduling/task_bindings.hpp"

namespace violetpulley::core {

/// The number of a gang's tasks that one machine can take now.
struct GangSlots {
  Machine* machine = nullptr;
  TaskIndex tasks = 0;
  ImageRank image_rank = ImageRank::absent;
};

TaskIndex total_slots(const std::vector<GangSlots>& slots);

/// Counts slots for a gang by zone, at most as many in each zone as the job's `spread` allows.
class GangSlotCount {
 public:
  explicit GangSlotCount(const JobSpec& spec) : max_in_zone_(max_tasks_in_zone(spec)) {}

  void add(const std::string& zone, TaskIndex slots);
  TaskIndex total() const;

 private:
  TaskIndex max_in_zone_;
  ZoneUse by_zone_;
};

/// Finds placement domains and free slots for gangs.
class GangSlotFinder {
 public:
  GangSlotFinder(const Catalog& catalog, const InstanceOfferings& offerings,
                 const TaskBindings& bindings)
      : catalog_(catalog), offerings_(offerings), bindings_(bindings) {}

  /// The domains in which the gang may reserve machines: single zones if all of its tasks must be
  /// in one zone, else the empty domain, which means any zone.
  std::vector<std::string> domains(const JobSpec& spec) const;
  /// Slots for the gang's tasks on machines that could take them now, best first, at most as many
  /// as the gang has tasks. `schedulable`: the machines that may take tasks in this round.
  std::vector<GangSlots> free_slots(const Job& job, const std::string& domain,
                                    const std::vector<Machine*>& schedulable, TimePoint now) const;
  /// Slots for the whole gang in the domain where the most tasks find their image present; empty if
  /// the gang fits in no domain.
  std::vector<GangSlots> best_complete_slots(const Job& job,
                                             const std::vector<Machine*>& schedulable,
                                             TimePoint now) const;
  /// The domain in which the gang should reserve machines: preferably one where it fits now, then
  /// one where machines can be requested, then the one with the most free slots. None if an earlier
  /// gang has precedence in every domain.
  std::optional<std::string> choose_domain(const Job& job, const GangReservations& reservations,
                                           const std::vector<Machine*>& schedulable,
                                           TimePoint now) const;

 private:
  std::vector<GangSlots> slots_on_machines(const Job& job, const std::string& domain,
                                           const std::vector<Machine*>& schedulable,
                                           TimePoint now) const;
  bool may_use(const Machine& machine, const Job& job, const std::string& domain,
               TimePoint now) const;

  const Catalog& catalog_;
  const InstanceOfferings& offerings_;
  const TaskBindings& bindings_;
};

}  // namespace violetpulley::core
