/// @file
/// The purpose of requested machines, as values that the parts which plan a scale-out exchange.
/// Owns no state.
#pragma once

#include "core/model/catalog.hpp"

namespace violetpulley::core {

/// Order in which groups get machines if the cloud grants fewer machines than were requested.
enum class ScaleOutRank { service, gang, array };

/// The purpose of one requested machine: the tasks that are bound to it, or slots for a gang.
struct ScaleOutGroup {
  std::vector<TaskKey> tasks;
  /// Empty unless the machine is for a gang.
  JobId gang;
  /// Number of the gang's tasks that fit the machine.
  TaskIndex slots = 0;
  ScaleOutRank rank = ScaleOutRank::array;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.tasks, s.gang, s.slots, s.rank);
  }
};

/// The machines to request by instance offering, with one group for each machine.
using ScaleOutPlan = std::map<OfferingKey, std::vector<ScaleOutGroup>>;

}  // namespace violetpulley::core
