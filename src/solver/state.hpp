/// @file
/// A placement under construction, with the remaining capacity of machines, zones and teams kept up
/// to date. Owns the placement and these sums; the problem must outlive it.
#pragma once

#include <map>

#include "solver/model.hpp"

namespace violetpulley::solver {

class PlacementState {
 public:
  /// An empty placement: running tasks are not placed either.
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

  /// Number of further tasks of the job that this machine can take within its free capacity, the
  /// constraints of the job and the limit of the job's team. Whether the other tasks of a gang fit
  /// is not checked.
  std::uint32_t max_more_tasks(std::size_t job, std::size_t machine,
                               const Relaxation& relaxed = {}) const;
  void add(std::size_t job, std::size_t machine, std::uint32_t count);
  void remove(std::size_t job, std::size_t machine, std::uint32_t count);

  /// Lowest and highest run-time bin on a machine; none: the machine is empty.
  std::optional<std::pair<int, int>> bin_range(std::size_t machine) const;

 private:
  const Problem* problem_;
  Placement placement_;
  std::vector<std::uint32_t> placed_;
  std::vector<Resources> free_;
  std::vector<std::optional<std::size_t>> team_index_;  // by job; none: no team
  std::vector<Resources> team_use_;
  std::vector<std::size_t> zone_index_;                    // by machine
  std::vector<std::vector<std::uint32_t>> tasks_by_zone_;  // by job and zone
  std::vector<std::map<int, std::uint32_t>> tasks_by_bin_;
};

}  // namespace violetpulley::solver
