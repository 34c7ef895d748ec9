#include "store/learned_state_codec.hpp"

#include <sodium.h>

#include <algorithm>
#include <map>

#include "history/digest.hpp"
#include "history/pack.hpp"
#include "store/store_keys.hpp"

namespace violetpulley::store {

namespace {

constexpr int kVersion = 1;
constexpr std::size_t kMaxPieces = 6;
constexpr int kBase64Variant = sodium_base64_VARIANT_ORIGINAL;
const std::string kHeadKey = kLearnedStatePrefix + "head";

// Field names in the stored head.
constexpr const char* kVersionField = "v";
constexpr const char* kSlotField = "slot";
constexpr const char* kPiecesField = "chunks";
constexpr const char* kChecksumField = "sum";
constexpr const char* kMacField = "tag";
constexpr const char* kTokenField = "token";

using ValuesByKey = std::map<std::string, const Json*>;

std::string piece_key(const std::string& slot, std::size_t number) {
  return kLearnedStatePrefix + slot + "/" + std::to_string(number);
}

std::string to_base64(std::string_view bytes) {
  std::string out(sodium_base64_encoded_len(bytes.size(), kBase64Variant), '\0');
  sodium_bin2base64(out.data(), out.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), kBase64Variant);
  out.pop_back();  // the terminating zero
  return out;
}

std::optional<std::string> from_base64(const std::string& text) {
  std::string out(text.size(), '\0');
  std::size_t length = 0;
  if (sodium_base642bin(reinterpret_cast<unsigned char*>(out.data()), out.size(), text.data(),
                        text.size(), nullptr, &length, nullptr, kBase64Variant) != 0)
    return std::nullopt;
  out.resize(length);
  return out;
}

std::string checksum_of(const std::string& bytes) {
  return history::hex(history::Digest::of_bytes(bytes));
}

// Signs the set together with its fencing token, so that the set of another leader cannot replace
// it.
std::string mac_of(const std::string& bytes, core::FencingToken token,
                   const LearnedStateSettings& settings) {
  if (!settings.key) return "";
  history::MacChain chain(settings.key);
  chain.extend(std::to_string(token));
  return to_base64(history::tag_bytes(chain.extend(bytes)));
}

// Drops the jobs of which only the waiting time is known, because the submission time is a good
// substitute for it. If there are none, drops the second half of the jobs.
void drop_least_useful_jobs(core::LearnedState& learned_state) {
  const auto has_only_wait_time = [](const core::LearnedJob& job) {
    return job.checkpointed.empty() && job.failed_on.empty() && job.failures == 0;
  };
  auto& jobs = learned_state.jobs;
  const auto first_left_out = std::stable_partition(
      jobs.begin(), jobs.end(), [&](const auto& job) { return !has_only_wait_time(job); });
  if (first_left_out != jobs.end())
    jobs.erase(first_left_out, jobs.end());
  else
    jobs.resize(jobs.size() / 2);
}

// Packs the state and drops jobs until it takes at most `max_bytes` or has no jobs left.
std::string packed_within(const core::LearnedState& learned_state, std::size_t max_bytes) {
  auto bytes = history::packed(learned_state);
  if (bytes.size() <= max_bytes) return bytes;
  auto shorter = learned_state;
  while (bytes.size() > max_bytes && !shorter.jobs.empty()) {
    drop_least_useful_jobs(shorter);
    bytes = history::packed(shorter);
  }
  return bytes;
}

// Joins the pieces of a set. Throws DecodeError if a piece is missing or malformed.
std::string join_pieces(const ValuesByKey& values, const std::string& slot, std::size_t pieces) {
  std::string bytes;
  for (std::size_t number = 0; number < pieces; ++number) {
    const auto key = piece_key(slot, number);
    const auto found = values.find(key);
    const auto piece =
        found == values.end() ? std::nullopt : from_base64(found->second->get<std::string>());
    if (!piece) throw DecodeError(key + " is missing or is not valid base64");
    bytes += *piece;
  }
  return bytes;
}

// Decodes a set. Throws DecodeError, or an exception of the libraries, if the set cannot be used.
// Sets `slot` as soon as the slot is decoded, so that the caller knows it after an exception.
core::LearnedState decode_set(const Json& head, const ValuesByKey& values,
                              const LearnedStateSettings& settings, std::string& slot) {
  const auto version = head.at(kVersionField).get<int>();
  if (version != kVersion) throw DecodeError("version " + std::to_string(version) + " is unknown");
  slot = head.at(kSlotField).get<std::string>();
  const auto bytes = join_pieces(values, slot, head.at(kPiecesField).get<std::size_t>());
  if (checksum_of(bytes) != head.at(kChecksumField).get<std::string>())
    throw DecodeError("the checksum is wrong");
  if (settings.key && mac_of(bytes, head.at(kTokenField).get<core::FencingToken>(), settings) !=
                          head.at(kMacField).get<std::string>())
    throw DecodeError("the MAC is wrong");
  return history::unpacked<core::LearnedState>(bytes);
}

}  // namespace

LearnedStateWrites encode_learned_state(const core::LearnedState& learned_state,
                                        const std::string& slot, core::FencingToken token,
                                        const LearnedStateSettings& settings) {
  const auto piece_bytes = settings.max_value_bytes * 3 / 4;  // base64 encodes 3 bytes as 4
  const auto bytes = packed_within(learned_state, piece_bytes * kMaxPieces);
  LearnedStateWrites writes;
  for (std::size_t at = 0; at < bytes.size(); at += piece_bytes)
    writes.pieces.push_back({piece_key(slot, writes.pieces.size()),
                             Json(to_base64(std::string_view(bytes).substr(at, piece_bytes))),
                             std::nullopt});
  writes.head = {kHeadKey,
                 Json{{kVersionField, kVersion},
                      {kSlotField, slot},
                      {kPiecesField, writes.pieces.size()},
                      {kChecksumField, checksum_of(bytes)},
                      {kMacField, mac_of(bytes, token, settings)},
                      {kTokenField, token}},
                 std::nullopt};
  return writes;
}

DecodedLearnedState decode_learned_state(const std::vector<Item>& items,
                                         const LearnedStateSettings& settings,
                                         core::WallTime wall) {
  DecodedLearnedState out;
  ValuesByKey values;
  for (const auto& item : items) values[item.key] = &item.value;
  const auto head = values.find(kHeadKey);
  if (head == values.end()) return out;
  try {
    out.learned_state = decode_set(*head->second, values, settings, out.slot);
  } catch (const std::exception& problem) {  // the state holds only hints, so it may be ignored
    out.problem = problem.what();
    return out;
  }
  if (out.learned_state->elapsed(wall) > settings.max_age) {
    out.problem = "too old";
    out.learned_state.reset();
  }
  return out;
}

}  // namespace violetpulley::store
