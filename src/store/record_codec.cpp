#include "store/record_codec.hpp"

namespace violetpulley::store {

namespace {

// Four tasks a digit: the size is bounded, however scattered the finished tasks are.
std::string bits_of(const std::vector<core::IndexRange>& ranges, core::TaskIndex first) {
  std::string digits;
  for (const auto& [from, to] : ranges)
    for (auto i = from - first; i <= to - first; ++i) {
      if (digits.size() <= i / 4) digits.resize(i / 4 + 1, '0');
      auto& digit = digits[i / 4];
      const int value = (digit <= '9' ? digit - '0' : digit - 'a' + 10) | (1 << (i % 4));
      digit = "0123456789abcdef"[value];
    }
  return digits;
}

std::vector<core::IndexRange> ranges_of(const std::string& digits, core::TaskIndex first) {
  std::vector<core::IndexRange> out;
  for (std::size_t at = 0; at < digits.size(); ++at) {
    const auto value = std::string_view("0123456789abcdef").find(digits[at]);
    if (value == std::string_view::npos) throw std::invalid_argument("progress holds " + digits);
    for (core::TaskIndex bit = 0; bit < 4; ++bit) {
      if ((value >> bit & 1U) == 0) continue;
      const auto index = first + static_cast<core::TaskIndex>(at) * 4 + bit;
      core::append_index(out, index);
    }
  }
  return out;
}

}  // namespace

std::size_t page_bytes(const config::Settings& settings) {
  // Most of the largest value; two or more pages must fit into a transaction of 64 KiB.
  return static_cast<std::size_t>(std::min(settings.state_value_kib, 24.0) * 1024 * 0.9);
}

Json machine_to_json(const core::MachineRecord& record) {
  Json out{record.endpoint, record.type, record.zone, record.spot ? 1 : 0, Json::array()};
  auto bytes = record.id.size() + out.dump().size() + 8;
  for (const auto& [name, gb] : record.images) {
    Json image{name, gb};
    bytes += image.dump().size() + 1;
    if (bytes > kMachineBytes) break;
    out[4].push_back(std::move(image));
  }
  return out;
}

core::MachineRecord machine_from_json(const std::string& id, const Json& value) {
  core::MachineRecord record{id,
                             value.at(0).get<std::string>(),
                             value.at(1).get<std::string>(),
                             value.at(2).get<std::string>(),
                             value.at(3).get<int>() != 0,
                             {}};
  for (const auto& image : value.at(4))
    record.images.push_back({image.at(0).get<std::string>(), image.at(1).get<double>()});
  return record;
}

Json placements_to_json(const core::PlacementRecord& record) {
  return record.known ? Json(record.machines) : Json(nullptr);
}

core::PlacementRecord placements_from_json(const std::string& job, const Json& value) {
  core::PlacementRecord record{job, {}, !value.is_null()};
  if (record.known) record.machines = value.get<std::vector<core::MachineId>>();
  return record;
}

// A machine's name and its quotes and comma; a page never outgrows what was reserved.
std::size_t placements_bytes(const core::PlacementRecord& record) {
  constexpr std::size_t kName = 24;
  return record.job.size() + 16 + record.machines.size() * kName;
}

std::string progress_name(const core::JobId& job, core::TaskIndex chunk) {
  return job + "/" + std::to_string(chunk);
}

Json progress_to_json(const core::ProgressRecord& record, std::size_t tasks_in_chunk) {
  const auto first = record.chunk * core::kProgressChunk;
  return {bits_of(record.done, first), bits_of(record.restarted, first), tasks_in_chunk};
}

core::ProgressRecord progress_from_json(const std::string& name, const Json& value) {
  const auto slash = name.rfind('/');
  if (slash == std::string::npos) throw std::invalid_argument("progress record " + name);
  core::ProgressRecord record;
  record.job = name.substr(0, slash);
  record.chunk = static_cast<core::TaskIndex>(std::stoul(name.substr(slash + 1)));
  const auto first = record.chunk * core::kProgressChunk;
  record.done = ranges_of(value.at(0).get<std::string>(), first);
  record.restarted = ranges_of(value.at(1).get<std::string>(), first);
  return record;
}

std::size_t progress_bytes(const std::string& name, std::size_t tasks_in_chunk) {
  return name.size() + 24 + (tasks_in_chunk / 4 + 1) * 2;
}

}  // namespace violetpulley::store
