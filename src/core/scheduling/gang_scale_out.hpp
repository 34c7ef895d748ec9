/// @file
/// Chooses the machines to request for gangs that lack slots. Owns no state.
#pragma once

#include "core/autoscaling/instance_offerings.hpp"
#include "core/autoscaling/scale_out_groups.hpp"
#include "core/dispatch/task_starter.hpp"
#include "core/scheduling/candidate.hpp"
#include "core/scheduling/gang_reservations.hpp"

namespace violetpulley::core {

/// Chooses instance offerings for gangs. All slots that a gang lacks are scored together on one
/// offering (type, zone, spot or on-demand), so that they need as few requests as possible.
class GangScaleOut {
 public:
  GangScaleOut(const ControllerSettings& settings, const Catalog& catalog, const Fleet& fleet,
               const DeadlineForecaster& forecaster, const InstanceOfferings& offerings)
      : settings_(settings),
        catalog_(catalog),
        fleet_(fleet),
        forecaster_(forecaster),
        offerings_(offerings) {}

  /// Adds a group to the plan for each machine that gangs of the queue still lack.
  void add_groups(const std::vector<Candidate>& queue, const GangReservations& reservations,
                  ScaleOutPlan& plan, TimePoint now) const;

 private:
  /// The demand of one gang that lacks slots.
  struct Need {
    const Job& job;
    const GangReservation& reservation;
    /// Slots on machines that are reserved for the gang, by zone.
    ZoneUse reserved_slots;
  };

  /// The offering with the most needed slots per price, or null.
  const InstanceOffering* best_offering(const Need& need,
                                        const std::vector<InstanceOffering>& offerings,
                                        TimePoint now) const;
  bool may_use(const InstanceOffering& offering, const Need& need, TimePoint now) const;
  ZoneUse reserved_slots(const JobSpec& spec, const GangReservation& reservation) const;

  const ControllerSettings& settings_;
  const Catalog& catalog_;
  const Fleet& fleet_;
  const DeadlineForecaster& forecaster_;
  const InstanceOfferings& offerings_;
};

}  // namespace violetpulley::core
