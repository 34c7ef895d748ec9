/// @file
/// Captures the core's state at one moment and encodes it in slices while further events are
/// applied (copy on write): a machine or job that is about to change is encoded before the change.
/// The bytes equal those of `parts_of` at the moment of capture.
#pragma once

#include <memory>

#include "history/digest.hpp"
#include "history/records.hpp"

namespace violetpulley::history {

/// Owns the encoded machines and jobs that changed before they were written to a slice.
class StateCapture {
 public:
  /// Captures the current state. `controller` must outlive the last call of `next`.
  explicit StateCapture(core::Controller& controller);

  /// The next slice of about `bytes` bytes; machines and jobs are not split. None after the last.
  std::optional<SnapshotSlice> next(std::size_t bytes);
  /// Digest of all slices returned so far; after the last, it equals `digest_of(Parts)`.
  std::uint64_t digest() const { return digest_.value(); }

 private:
  /// Machines or jobs that existed at the moment of capture, by id, with the bytes of those that
  /// have changed since. An item is erased when it is returned in a slice.
  using Items = std::map<std::string, std::optional<std::string>>;
  struct PendingItems {
    Items machines;
    Items jobs;
  };
  /// How a part is written: a prefix, then its machines or jobs one by one, then a suffix.
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
