/// @file
/// What machines are requested for: values handed between the parts that plan a scale-out.
#pragma once

#include "core/model/catalog.hpp"

namespace violetpulley::core {

/// Where fewer machines come than were requested, groups of the first rank get them.
enum class ScaleOutRank { service, gang, array };

/// What one requested machine is for: the tasks bound to it, or slots for a gang.
struct ScaleOutGroup {
  std::vector<TaskKey> tasks;
  /// Empty unless the machine is for a gang.
  JobId gang;
  /// How many tasks of the gang fit the machine.
  TaskIndex slots = 0;
  ScaleOutRank rank = ScaleOutRank::array;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.tasks, s.gang, s.slots, s.rank);
  }
};

/// The machines to request, one group for each, by instance offering.
using ScaleOutPlan = std::map<OfferingKey, std::vector<ScaleOutGroup>>;

}  // namespace violetpulley::core
