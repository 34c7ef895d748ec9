// The core's state as it was at one moment, written in slices while events go on: whoever changes a
// machine or a job tells first, and it is written then, as it still was. The bytes are those of
// `parts_of` at that moment, in the same order.
#pragma once

#include <memory>

#include "history/digest.hpp"
#include "history/records.hpp"

namespace violetpulley::history {

class StateCapture {
 public:
  // The moment. `controller` must outlive the last call of `next`.
  explicit StateCapture(core::Controller& controller);

  // The next bytes, about so many: whole machines and jobs are written at once. None after the
  // last.
  std::optional<SnapshotSlice> next(std::size_t bytes);
  // Of everything returned so far, as `digest_of(Parts)`.
  std::uint64_t digest() const { return digest_.value(); }

 private:
  // Machines or jobs that were there at the moment, by name, and the bytes of those that were
  // written early; erased when they are in the save.
  using Items = std::map<std::string, std::optional<std::string>>;
  struct Shared {
    Items machines;
    Items jobs;
  };
  // A part whose items are written one by one between a front and an end.
  struct Plan {
    std::string name;
    std::string front;
    std::string end;
    enum class Kind { whole, machines, jobs } kind = Kind::whole;
  };

  template <class Table>
  static bool add_items(const Table& table, Items& items, std::string& out, std::size_t bytes);

  core::Controller& controller_;
  std::shared_ptr<Shared> shared_ = std::make_shared<Shared>();
  std::vector<Plan> plans_;
  std::size_t plan_ = 0;
  bool front_written_ = false;
  Digest digest_;
};

}  // namespace violetpulley::history
