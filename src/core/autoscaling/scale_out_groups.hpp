// What rentals are for: values handed between the parts that choose machines to rent.
#pragma once

#include "core/model/catalog.hpp"

namespace violetpulley::core {

// Where fewer machines come than were asked for, those first in this order get them.
enum class ScaleOutRank { service, gang, array };

// What one machine of a rental is for: the tasks bound to it, or places of a gang.
struct ScaleOutGroup {
  std::vector<TaskKey> tasks;
  JobId gang;
  TaskIndex places = 0;
  ScaleOutRank rank = ScaleOutRank::array;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.tasks, s.gang, s.places, s.rank);
  }
};

using ScaleOutPlan = std::map<OfferingKey, std::vector<ScaleOutGroup>>;

}  // namespace violetpulley::core
