/// @file
/// The core's state at one moment, written in slices while further events are applied: a machine or
/// a job that is about to change is encoded first, in its old state. The bytes are those of
/// `parts_of` at that moment, in the same order.
#pragma once

#include <memory>

#include "history/digest.hpp"
#include "history/records.hpp"

namespace violetpulley::history {

/// Owns the encoded machines and jobs that changed before their turn.
class StateCapture {
 public:
  /// Captures the state now. `controller` must outlive the last call of `next`.
  explicit StateCapture(core::Controller& controller);

  /// The next slice of about `bytes` bytes: machines and jobs are not split. None after the last.
  std::optional<SnapshotSlice> next(std::size_t bytes);
  /// Digest of all slices returned so far, as `digest_of(Parts)`.
  std::uint64_t digest() const { return digest_.value(); }

 private:
  /// Machines or jobs that existed at the moment of capture, by name, and the bytes of those that
  /// were encoded early; erased once returned in a slice.
  using Items = std::map<std::string, std::optional<std::string>>;
  struct PendingItems {
    Items machines;
    Items jobs;
  };
  /// A part whose items are written one by one between a front and an end.
  struct PartPlan {
    std::string name;
    std::string prefix;
    std::string suffix;
    enum class Kind { whole, machines, jobs } kind = Kind::whole;
  };

  template <class Table>
  static bool append_items(const Table& table, Items& items, std::string& out, std::size_t bytes);

  core::Controller& controller_;
  std::shared_ptr<PendingItems> pending_ = std::make_shared<PendingItems>();
  std::vector<PartPlan> plans_;
  std::size_t next_part_ = 0;
  bool prefix_written_ = false;
  Digest digest_;
};

}  // namespace violetpulley::history
