// A placement in the making, with what is left of rooms, zones and limits. Owns its numbers; the
// problem must outlive it.
#pragma once

#include <map>

#include "solver/model.hpp"

namespace violetpulley::solver {

class PlacementState {
 public:
  // Empty: not even what runs now is placed.
  explicit PlacementState(const Problem& problem);
  PlacementState(const Problem& problem, const Placement& placement);

  const Problem& problem() const { return *problem_; }
  const Placement& placement() const { return placement_; }
  std::uint32_t tasks_on(std::size_t job, std::size_t machine) const {
    return placement_[job][machine];
  }
  std::uint32_t placed(std::size_t job) const { return placed_[job]; }
  const Resources& free(std::size_t machine) const { return free_[machine]; }
  const std::string& zone_of(std::size_t machine) const { return problem_->machines[machine].zone; }

  // How many more tasks of the job this machine could take by its room, the job's own limits and
  // its team's. For a gang that says nothing about the rest of it.
  std::uint32_t max_more_tasks(std::size_t job, std::size_t machine,
                               const Relaxation& relaxed = {}) const;
  void add(std::size_t job, std::size_t machine, std::uint32_t count);
  void remove(std::size_t job, std::size_t machine, std::uint32_t count);

  // The range of bins on a machine; none: it is empty.
  std::optional<std::pair<int, int>> bin_range(std::size_t machine) const;

 private:
  const Problem* problem_;
  Placement placement_;
  std::vector<std::uint32_t> placed_;
  std::vector<Resources> free_;
  std::vector<std::optional<std::size_t>> team_index_;  // of each job, if it has limits
  std::vector<Resources> team_use_;
  std::vector<std::size_t> zone_index_;                    // of each machine, by number
  std::vector<std::vector<std::uint32_t>> tasks_by_zone_;  // of each job: tasks by zone
  std::vector<std::map<int, std::uint32_t>> tasks_by_bin_;
};

}  // namespace violetpulley::solver
