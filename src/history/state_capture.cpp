#include "history/state_capture.hpp"

namespace violetpulley::history {

namespace {

// An entry of a map, encoded as `write` encodes it.
template <class Item>
std::string encode_entry(const std::string& id, const Item& item) {
  Buffer buffer;
  Packer out(buffer);
  out.pack_array(2);
  write(out, id);
  write(out, item);
  return {buffer.data(), buffer.size()};
}

template <class Encode>
std::string encode_with(const Encode& encode) {
  Buffer buffer;
  Packer out(buffer);
  encode(out);
  return {buffer.data(), buffer.size()};
}

}  // namespace

StateCapture::StateCapture(core::Controller& controller) : controller_(controller) {
  const auto add_plan = [&]<typename Part>(const char* name, const Part& part) {
    if (!is_stored(part)) return;
    PartPlan plan{name, {}, {}, PartPlan::Kind::whole};
    // The first field is the table; the fields after it are small and are encoded at once.
    const auto encode_around_table = [&](const auto& table, const auto&... rest) {
      plan.prefix = encode_with([&](Packer& out) {
        out.pack_array(1 + sizeof...(rest));
        out.pack_array(static_cast<std::uint32_t>(table.size()));
      });
      plan.suffix = encode_with([&](Packer& out) { (write(out, rest), ...); });
    };
    if constexpr (std::is_same_v<Part, core::Fleet>) {
      plan.kind = PartPlan::Kind::machines;
      Part::fields(part, encode_around_table);
    } else if constexpr (std::is_same_v<Part, core::Jobs>) {
      plan.kind = PartPlan::Kind::jobs;
      Part::fields(part, encode_around_table);
    } else {
      plan.prefix = packed(part);
    }
    plans_.push_back(std::move(plan));
  };
  core::Controller::each_part(std::as_const(controller), add_plan);
  for (const auto& [id, machine] : controller.fleet().all()) pending_->machines[id];
  for (const auto& [id, job] : controller.jobs()) pending_->jobs[id];
  const auto encode_original = [](Items& items, const std::string& id, const auto& item) {
    const auto found = items.find(id);
    if (found != items.end() && !found->second) found->second = encode_entry(id, item);
  };
  // The hooks may outlive the capture, hence the weak pointers.
  controller.before_changes(
      [encode_original, pending_items = std::weak_ptr(pending_)](const core::Machine& machine) {
        if (const auto pending = pending_items.lock())
          encode_original(pending->machines, machine.id, machine);
      },
      [encode_original, pending_items = std::weak_ptr(pending_)](const core::Job& job) {
        if (const auto pending = pending_items.lock())
          encode_original(pending->jobs, job.spec().id, job);
      });
}

// Appends entries in the order of their ids until `out` holds `bytes` bytes; returns whether no
// items are left.
template <class Table>
bool StateCapture::append_items(const Table& table, Items& items, std::string& out,
                                std::size_t bytes) {
  while (!items.empty() && out.size() < bytes) {
    const auto first = items.begin();
    // An item that was not encoded early has not changed since the capture, so the table holds it.
    out += first->second ? *first->second
                         : encode_entry(first->first, table.find(first->first)->second);
    items.erase(first);
  }
  return items.empty();
}

std::optional<SnapshotSlice> StateCapture::next(std::size_t bytes) {
  if (next_part_ == plans_.size()) return std::nullopt;
  auto& plan = plans_[next_part_];
  SnapshotSlice slice{plan.name, true, {}};
  if (!prefix_written_) {
    digest_.add_bytes(plan.name);
    slice.bytes = std::move(plan.prefix);
    prefix_written_ = true;
  }
  if (plan.kind == PartPlan::Kind::machines)
    slice.last = append_items(controller_.fleet().all(), pending_->machines, slice.bytes, bytes);
  else if (plan.kind == PartPlan::Kind::jobs)
    slice.last = append_items(controller_.jobs(), pending_->jobs, slice.bytes, bytes);
  if (slice.last) {
    slice.bytes += plan.suffix;
    ++next_part_;
    prefix_written_ = false;
  }
  digest_.add_bytes(slice.bytes);
  return slice;
}

}  // namespace violetpulley::history
