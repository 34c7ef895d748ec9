#include "history/records.hpp"

#include <charconv>

#include "history/digest.hpp"

namespace violetpulley::history {

namespace {

constexpr std::string_view kSegmentPrefix = "events-";
constexpr std::string_view kSegmentSuffix = ".vph";
constexpr std::string_view kSnapshotPrefix = "save-";
constexpr std::string_view kSnapshotSuffix = ".vps";
constexpr std::size_t kMinDigits = 12;

std::string numbered_name(std::string_view prefix, std::uint64_t number, std::string_view suffix) {
  auto digits = std::to_string(number);
  if (digits.size() < kMinDigits) digits.insert(0, kMinDigits - digits.size(), '0');
  return std::string(prefix) + digits + std::string(suffix);
}

std::optional<std::uint64_t> parse_number(std::string_view name, std::string_view prefix,
                                          std::string_view suffix) {
  if (!name.starts_with(prefix) || !name.ends_with(suffix)) return std::nullopt;
  name.remove_prefix(prefix.size());
  name.remove_suffix(suffix.size());
  std::uint64_t value = 0;
  const auto [stop, error] = std::from_chars(name.data(), name.data() + name.size(), value);
  if (error != std::errc() || stop != name.data() + name.size() || name.size() < kMinDigits)
    return std::nullopt;
  return value;
}

}  // namespace

Parts parts_of(const core::Controller& controller) {
  Parts parts;
  core::Controller::each_part(controller, [&](const char* name, const auto& part) {
    if (is_stored(part)) parts.emplace_back(name, packed(part));
  });
  return parts;
}

void restore_parts(core::Controller& controller, const Parts& parts) {
  std::size_t next = 0;
  core::Controller::each_part(controller, [&]<typename Part>(const char* name, Part& part) {
    if constexpr (is_omittable<Part>) {
      part.clear();
      if (next >= parts.size() || parts[next].first != name) return;
    }
    if (next >= parts.size() || parts[next].first != name)
      throw DecodeError("the part \"" + std::string(name) + "\" of the state is missing");
    const auto& bytes = parts[next++].second;
    try {
      const auto handle = msgpack::unpack(bytes.data(), bytes.size());
      read(handle.get(), part);
    } catch (const msgpack::unpack_error& problem) {
      throw DecodeError("the part \"" + std::string(name) +
                        "\" of the state is not msgpack: " + problem.what());
    } catch (const DecodeError& problem) {
      throw DecodeError("the part \"" + std::string(name) +
                        "\" of the state cannot be decoded: " + problem.what());
    }
  });
}

std::uint64_t digest_of(const Parts& parts) {
  Digest digest;
  for (const auto& [name, bytes] : parts) {
    digest.add_bytes(name);
    digest.add_bytes(bytes);
  }
  return digest.value();
}

std::string segment_name(std::uint64_t number) {
  return numbered_name(kSegmentPrefix, number, kSegmentSuffix);
}
std::string snapshot_name(std::uint64_t segment) {
  return numbered_name(kSnapshotPrefix, segment, kSnapshotSuffix);
}
std::optional<std::uint64_t> segment_number(const std::string& name) {
  return parse_number(name, kSegmentPrefix, kSegmentSuffix);
}
std::optional<std::uint64_t> snapshot_number(const std::string& name) {
  return parse_number(name, kSnapshotPrefix, kSnapshotSuffix);
}

}  // namespace violetpulley::history
