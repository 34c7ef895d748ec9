#include "history/state_capture.hpp"

namespace violetpulley::history {

namespace {

// An entry of a table, as `write` does it for maps.
template <class Item>
std::string entry(const std::string& id, const Item& item) {
  Sink sink;
  Out out(sink);
  out.pack_array(2);
  write(out, id);
  write(out, item);
  return {sink.data(), sink.size()};
}

template <class Front>
std::string bytes_of(const Front& front) {
  Sink sink;
  Out out(sink);
  front(out);
  return {sink.data(), sink.size()};
}

}  // namespace

StateCapture::StateCapture(core::Controller& controller) : controller_(controller) {
  const auto plan = [&]<typename Part>(const char* name, const Part& part) {
    if (!is_stored(part)) return;
    Plan plan{name, {}, {}, Plan::Kind::whole};
    // The first field is the table; what follows it is small and is written now.
    const auto split = [&](const auto& table, const auto&... rest) {
      plan.front = bytes_of([&](Out& out) {
        out.pack_array(1 + sizeof...(rest));
        out.pack_array(static_cast<std::uint32_t>(table.size()));
      });
      plan.end = bytes_of([&](Out& out) { (write(out, rest), ...); });
    };
    if constexpr (std::is_same_v<Part, core::Fleet>) {
      plan.kind = Plan::Kind::machines;
      Part::fields(part, split);
    } else if constexpr (std::is_same_v<Part, core::Jobs>) {
      plan.kind = Plan::Kind::jobs;
      Part::fields(part, split);
    } else {
      plan.front = packed(part);
    }
    plans_.push_back(std::move(plan));
  };
  core::Controller::each_part(std::as_const(controller), plan);
  for (const auto& [id, machine] : controller.fleet().all()) shared_->machines[id];
  for (const auto& [id, job] : controller.jobs()) shared_->jobs[id];
  const auto keep = [](Items& items, const std::string& id, const auto& item) {
    const auto found = items.find(id);
    if (found != items.end() && !found->second) found->second = entry(id, item);
  };
  // The hooks may stay longer than the capture; then they find nothing to do.
  controller.before_changes(
      [keep, shared = std::weak_ptr(shared_)](const core::Machine& machine) {
        if (const auto there = shared.lock()) keep(there->machines, machine.id, machine);
      },
      [keep, shared = std::weak_ptr(shared_)](const core::Job& job) {
        if (const auto there = shared.lock()) keep(there->jobs, job.spec().id, job);
      });
}

// Adds entries in the order of their names; tells whether that was all.
template <class Table>
bool StateCapture::add_items(const Table& table, Items& items, std::string& out,
                             std::size_t bytes) {
  while (!items.empty() && out.size() < bytes) {
    const auto first = items.begin();
    // Not written early: it has not changed since, so it is still there.
    out += first->second ? *first->second : entry(first->first, table.find(first->first)->second);
    items.erase(first);
  }
  return items.empty();
}

std::optional<SnapshotSlice> StateCapture::next(std::size_t bytes) {
  if (plan_ == plans_.size()) return std::nullopt;
  auto& plan = plans_[plan_];
  SnapshotSlice slice{plan.name, true, {}};
  if (!front_written_) {
    digest_.add_bytes(plan.name);
    slice.bytes = std::move(plan.front);
    front_written_ = true;
  }
  if (plan.kind == Plan::Kind::machines)
    slice.last = add_items(controller_.fleet().all(), shared_->machines, slice.bytes, bytes);
  else if (plan.kind == Plan::Kind::jobs)
    slice.last = add_items(controller_.jobs(), shared_->jobs, slice.bytes, bytes);
  if (slice.last) {
    slice.bytes += plan.end;
    ++plan_;
    front_written_ = false;
  }
  digest_.add_bytes(slice.bytes);
  return slice;
}

}  // namespace violetpulley::history
