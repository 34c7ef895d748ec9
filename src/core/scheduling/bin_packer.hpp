/// @file
/// Packing by run-time bins (paper 3.2.2, DESIGN): a task goes to the machine in its own bin with
/// the closest remaining run time, else to a greater bin, else to a lesser bin, there to the
/// machine with the most free capacity. Holds the machines of one scheduling round with their bins.
#pragma once

#include <functional>
#include <limits>

#include "core/machines/fleet.hpp"

namespace violetpulley::core {

/// How much of an image a machine holds.
enum class ImageRank { absent, fetching, present };

/// Always `present` if the job has no image.
ImageRank image_rank(const Machine& machine, const std::string& image);

/// Chooses machines for the tasks of one scheduling round.
class BinPacker {
 public:
  BinPacker(Seconds bin_unit, TimePoint now) : bin_unit_(bin_unit), now_(now) {}

  /// Adds a machine that may take tasks in this round.
  void add_machine(Machine& machine);
  bool empty() const { return machines_.empty(); }
  /// From now on empty on-demand machines are used last, since tasks that need whole machines are
  /// waiting.
  void preserve_empty_machines() { preserve_empty_machines_ = true; }

  /// The machines that the tasks of one job may use. All tasks of a job have the same needs, so the
  /// machines are filtered once per job.
  class Choices {
   public:
    /// The best machine that still has free capacity for a task, or null.
    Machine* best();
    /// Updates the machine's bin and image rank after a task was placed on it.
    void task_placed(Machine& machine);

   private:
    friend class BinPacker;
    struct Entry {
      /// Index into `BinPacker::machines_`.
      std::size_t machine_index = 0;
      ImageRank image_rank = ImageRank::absent;
      /// Position of the machine's bin in the order of preference; lower is better.
      int bin_order = 0;
      bool own_bin = false;
      bool expensive = false;
      /// The machine is empty and on-demand, and is to stay empty while other machines have free
      /// capacity.
      bool takes_empty_machine = false;
    };
    Choices(BinPacker& packer, const JobSpec& spec, Seconds estimate);
    void set_bin_order(Entry& entry) const;
    bool has_capacity(const Entry& entry) const;
    bool is_better(const Entry& a, const Entry& b) const;

    BinPacker& packer_;
    const JobSpec& spec_;
    Seconds estimate_;
    std::vector<Entry> entries_;
  };

  /// The machines that a job's tasks may use. `may_use` filters by zone, type and reservations;
  /// `min_image_rank` excludes machines with a lower rank.
  Choices choices(const JobSpec& spec, Seconds estimate,
                  const std::function<bool(const Machine&)>& may_use,
                  ImageRank min_image_rank = ImageRank::absent);

  /// Updates the machine's bin after a task was placed on it without `Choices`.
  void task_placed(Machine& machine);

  /// How many machines were examined, counting repetitions: a measure of a round's cost.
  std::uint64_t inspections() const { return inspections_; }

 private:
  struct BinnedMachine {
    Machine* machine;
    Seconds remaining;
    int bin;
  };
  bool is_expensive_per_cpu(const Machine& machine) const;
  void update_bin(BinnedMachine& binned);

  Seconds bin_unit_;
  TimePoint now_;
  double cheapest_per_cpu_ = std::numeric_limits<double>::infinity();
  bool preserve_empty_machines_ = false;
  std::vector<BinnedMachine> machines_;
  std::uint64_t inspections_ = 0;
};

}  // namespace violetpulley::core
