/// @file
/// Which machines to request for gangs that miss slots. Owns no state.
#pragma once

#include "core/autoscaling/instance_offerings.hpp"
#include "core/autoscaling/scale_out_groups.hpp"
#include "core/dispatch/task_starter.hpp"
#include "core/scheduling/candidate.hpp"
#include "core/scheduling/gang_reservations.hpp"

namespace violetpulley::core {

/// Chooses instance offerings for gangs. A gang is one group over several machines: it is scored
/// whole on type, zone and spot or on-demand, and requested in as few calls as can be.
class GangScaleOut {
 public:
  GangScaleOut(const ControllerSettings& settings, const Catalog& catalog, const Fleet& fleet,
               const DeadlineForecaster& forecaster, const InstanceOfferings& offerings)
      : settings_(settings),
        catalog_(catalog),
        fleet_(fleet),
        forecaster_(forecaster),
        offerings_(offerings) {}

  /// Adds to the plan a group for each machine that gangs of the queue still miss.
  void add_groups(const std::vector<Candidate>& queue, const GangReservations& reservations,
                  ScaleOutPlan& plan, TimePoint now) const;

 private:
  /// What one gang still misses.
  struct Need {
    const Job& job;
    const GangReservation& reservation;
    /// Slots on the machines that are reserved already, by zone.
    ZoneUse reserved_slots;
  };

  /// The offering with the most slots for the price; null if there is none.
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
