#include "store/record_codec.hpp"

#include <algorithm>
#include <string_view>

namespace violetpulley::store {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr core::TaskIndex kBitsPerDigit = 4;

// Positions of the fields in the stored arrays.
enum MachineField : std::size_t { kEndpoint, kType, kZone, kSpot, kImages };
enum ImageField : std::size_t { kImageName, kImageGb };
enum ProgressField : std::size_t { kDone, kRestarted, kTasksInChunk };

// JSON punctuation of one record: quotes, commas and brackets.
constexpr std::size_t kMachineEnvelopeBytes = 8;
constexpr std::size_t kPlacementsEnvelopeBytes = 16;
constexpr std::size_t kProgressEnvelopeBytes = 24;
// A machine id with its quotes and comma.
constexpr std::size_t kMachineNameBytes = 24;

// Calls `decode` and rethrows exceptions of the JSON library and of number parsing as DecodeError.
template <typename Decode>
auto rethrow_as_decode_error(Decode decode) {
  try {
    return decode();
  } catch (const Json::exception& problem) {
    throw DecodeError(problem.what());
  } catch (const std::logic_error& problem) {  // thrown by std::stoul
    throw DecodeError(problem.what());
  }
}

// Encodes task indexes as a bitmap with four tasks per hexadecimal digit, whose size does not
// depend on how the tasks are scattered.
std::string encode_bitmap(const std::vector<core::IndexRange>& ranges, core::TaskIndex first) {
  std::string digits;
  for (const auto& [from, to] : ranges)
    for (auto bit = from - first; bit <= to - first; ++bit) {
      const auto position = bit / kBitsPerDigit;
      if (digits.size() <= position) digits.resize(position + 1, kHexDigits[0]);
      auto& digit = digits[position];
      digit = kHexDigits[kHexDigits.find(digit) | (1U << (bit % kBitsPerDigit))];
    }
  return digits;
}

std::vector<core::IndexRange> decode_bitmap(const std::string& digits, core::TaskIndex first) {
  std::vector<core::IndexRange> ranges;
  for (std::size_t position = 0; position < digits.size(); ++position) {
    const auto value = kHexDigits.find(digits[position]);
    if (value == std::string_view::npos)
      throw DecodeError("progress bitmap is not hexadecimal: " + digits);
    for (core::TaskIndex bit = 0; bit < kBitsPerDigit; ++bit)
      if ((value >> bit & 1U) != 0)
        core::append_index(ranges,
                           first + static_cast<core::TaskIndex>(position) * kBitsPerDigit + bit);
  }
  return ranges;
}

}  // namespace

std::size_t page_bytes(const config::Settings& settings) {
  constexpr double kMaxPageKib = 24.0;  // at least two pages must fit into a transaction of 64 KiB
  constexpr double kPageShare = 0.9;    // share of the largest allowed value
  return static_cast<std::size_t>(std::min(settings.state_value_kib, kMaxPageKib) * 1024 *
                                  kPageShare);
}

Json machine_to_json(const core::MachineRecord& record) {
  Json out{record.endpoint, record.type, record.zone, record.spot ? 1 : 0, Json::array()};
  auto bytes = record.id.size() + out.dump().size() + kMachineEnvelopeBytes;
  for (const auto& [name, gb] : record.images) {
    Json image{name, gb};
    bytes += image.dump().size() + 1;
    if (bytes > kMaxMachineRecordBytes) break;
    out[kImages].push_back(std::move(image));
  }
  return out;
}

core::MachineRecord machine_from_json(const std::string& id, const Json& value) {
  return rethrow_as_decode_error([&] {
    core::MachineRecord record{id,
                               value.at(kEndpoint).get<std::string>(),
                               value.at(kType).get<std::string>(),
                               value.at(kZone).get<std::string>(),
                               value.at(kSpot).get<int>() != 0,
                               {}};
    for (const auto& image : value.at(kImages))
      record.images.push_back(
          {image.at(kImageName).get<std::string>(), image.at(kImageGb).get<double>()});
    return record;
  });
}

Json placements_to_json(const core::PlacementRecord& record) {
  return record.known ? Json(record.machines) : Json(nullptr);
}

core::PlacementRecord placements_from_json(const std::string& job, const Json& value) {
  return rethrow_as_decode_error([&] {
    core::PlacementRecord record{job, {}, !value.is_null()};
    if (record.known) record.machines = value.get<std::vector<core::MachineId>>();
    return record;
  });
}

std::size_t placements_bytes(const core::PlacementRecord& record) {
  return record.job.size() + kPlacementsEnvelopeBytes + record.machines.size() * kMachineNameBytes;
}

std::string progress_name(const core::JobId& job, core::TaskIndex chunk) {
  return job + "/" + std::to_string(chunk);
}

Json progress_to_json(const core::ProgressRecord& record, std::size_t tasks_in_chunk) {
  const auto first = record.chunk * core::kProgressChunk;
  return {encode_bitmap(record.done, first), encode_bitmap(record.restarted, first),
          tasks_in_chunk};
}

core::ProgressRecord progress_from_json(const std::string& name, const Json& value) {
  return rethrow_as_decode_error([&] {
    const auto slash = name.rfind('/');
    if (slash == std::string::npos)
      throw DecodeError("no chunk number in the id of progress record " + name);
    core::ProgressRecord record;
    record.job = name.substr(0, slash);
    record.chunk = static_cast<core::TaskIndex>(std::stoul(name.substr(slash + 1)));
    const auto first = record.chunk * core::kProgressChunk;
    record.done = decode_bitmap(value.at(kDone).get<std::string>(), first);
    record.restarted = decode_bitmap(value.at(kRestarted).get<std::string>(), first);
    return record;
  });
}

std::size_t tasks_in_chunk_from_json(const Json& value) {
  return rethrow_as_decode_error([&] { return value.at(kTasksInChunk).get<std::size_t>(); });
}

std::size_t progress_bytes(const std::string& name, std::size_t tasks_in_chunk) {
  // Two bitmaps: finished tasks and restarted tasks.
  return name.size() + kProgressEnvelopeBytes + (tasks_in_chunk / kBitsPerDigit + 1) * 2;
}

}  // namespace violetpulley::store
