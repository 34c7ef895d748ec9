#include "history/frames.hpp"

#include <sodium.h>
#include <xxhash.h>

namespace violetpulley::history {

namespace {

constexpr std::string_view kMagic = "VPHIST";
constexpr std::size_t kFileHeaderBytes = 10;   // magic, kind, version, signed
constexpr std::size_t kFrameHeaderBytes = 20;  // length, checksum, synced
constexpr std::size_t kSyncedOffset = 12;      // within the frame
constexpr std::uint32_t kMaxPayloadBytes = 64U << 20U;

template <class T>
void append_little_endian(std::string& out, T value) {
  for (std::size_t i = 0; i < sizeof(T); ++i)
    out.push_back(static_cast<char>(value >> (8 * i) & 0xFF));
}

template <class T>
T read_little_endian(std::string_view bytes, std::size_t at) {
  T value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i)
    value |= static_cast<T>(static_cast<unsigned char>(bytes[at + i])) << (8 * i);
  return value;
}

// The seed covers the length and the frame's number, `covered` holds synced and payload.
std::uint64_t checksum(std::uint32_t length, std::string_view covered, std::uint64_t number) {
  return XXH3_64bits_withSeed(covered.data(), covered.size(),
                              number * 0x9E3779B97F4A7C15ULL ^ length);
}

}  // namespace

Key parse_key(std::string_view text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r' || text.back() == ' '))
    text.remove_suffix(1);
  Key key{};
  std::size_t length = 0;
  const char* end = nullptr;
  const int result =
      sodium_hex2bin(key.data(), key.size(), text.data(), text.size(), nullptr, &length, &end);
  if (result != 0 || length != key.size() || end != text.data() + text.size())
    throw std::invalid_argument("the key must be 64 hexadecimal digits");
  return key;
}

Tag MacChain::extend(std::string_view frame) {
  if (!key_) return {};
  crypto_generichash_state state;
  crypto_generichash_init(&state, key_->data(), key_->size(), tail_.size());
  crypto_generichash_update(&state, tail_.data(), tail_.size());
  crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(frame.data()),
                            frame.size());
  crypto_generichash_final(&state, tail_.data(), tail_.size());
  return tail_;
}

std::string file_header(FileKind kind, bool keyed) {
  std::string header(kMagic);
  header.push_back(static_cast<char>(kind));
  append_little_endian<std::uint16_t>(header, kFormatVersion);
  header.push_back(keyed ? 1 : 0);
  return header;
}

FrameWriter::FrameWriter(FileKind kind, std::optional<Key> key)
    : chain_(key), pending_(file_header(kind, key.has_value())), written_bytes_(pending_.size()) {
  chain_.extend(pending_);
}

void FrameWriter::add(std::string_view payload) {
  if (payload.size() > kMaxPayloadBytes)
    throw std::length_error("a record exceeds the maximum frame payload of 64 MiB");
  const auto length = static_cast<std::uint32_t>(payload.size());
  const auto frame_begin = pending_.size();
  append_little_endian(pending_, length);
  append_little_endian(pending_, std::uint64_t{0});  // checksum, set below
  append_little_endian(pending_, synced_bytes_);
  pending_.append(payload);
  const auto covered = std::string_view(pending_).substr(frame_begin + kSyncedOffset);
  auto sum = checksum(length, covered, number_++);
  for (std::size_t i = 0; i < sizeof sum; ++i, sum >>= 8U)
    pending_[frame_begin + sizeof length + i] = static_cast<char>(sum & 0xFF);
  if (chain_.keyed()) {
    pending_.append(tag_bytes(chain_.extend(covered)));
  }
  written_bytes_ += pending_.size() - frame_begin;
}

std::string FrameWriter::take() {
  taken_bytes_ += pending_.size();
  return std::exchange(pending_, {});
}

FrameReader::FrameReader(std::string name, std::string_view bytes, FileKind kind,
                         std::optional<Key> key)
    : name_(std::move(name)), bytes_(bytes), key_(key), chain_(key) {
  if (bytes_.size() < kFileHeaderBytes) {
    torn_bytes_ = bytes_.size();
    torn_cause_ = "the head of the file is cut off";
    return;
  }
  if (bytes_.substr(0, kMagic.size()) != kMagic)
    throw CorruptionError(name_, 0, "it is not a history file: the magic bytes differ");
  if (bytes_[6] != static_cast<char>(kind))
    throw CorruptionError(name_, 6, "the file header names another kind than expected");
  const auto version = read_little_endian<std::uint16_t>(bytes_, 7);
  if (version != kFormatVersion)
    throw CorruptionError(name_, 7,
                          "format version " + std::to_string(version) +
                              " is unknown; this program reads " + std::to_string(kFormatVersion));
  if (bytes_[9] != 0 && bytes_[9] != 1)
    throw CorruptionError(name_, 9, "the byte for signed or unsigned must be 0 or 1");
  signed_ = bytes_[9] == 1;
  if (key && !signed_) throw CorruptionError(name_, 9, "it is not signed, although a key is set");
  chain_.extend(bytes_.substr(0, kFileHeaderBytes));
  offset_ = kFileHeaderBytes;
}

std::optional<FrameReader::Frame> FrameReader::frame_at(std::size_t at, std::uint64_t number,
                                                        const char*& cause) const {
  const auto remaining = bytes_.size() - at;
  cause = "a frame is cut off";
  if (remaining < kFrameHeaderBytes) return std::nullopt;
  const auto length = read_little_endian<std::uint32_t>(bytes_, at);
  const std::size_t frame_bytes = kFrameHeaderBytes + length + (signed_ ? Tag{}.size() : 0);
  if (length > kMaxPayloadBytes || frame_bytes > remaining) return std::nullopt;
  Frame frame;
  frame.covered = bytes_.substr(at + kSyncedOffset, 8 + length);
  frame.payload = bytes_.substr(at + kFrameHeaderBytes, length);
  frame.synced = read_little_endian<std::uint64_t>(bytes_, at + kSyncedOffset);
  frame.end = at + frame_bytes;
  cause = "a checksum is wrong";
  if (read_little_endian<std::uint64_t>(bytes_, at + 4) != checksum(length, frame.covered, number))
    return std::nullopt;
  return frame;
}

// The number of a frame after invalid bytes is unknown, because it is unknown how many frames were
// lost. Up to kMaxLostFrames lost frames are tried; a false match needs 64 equal checksum bits.
bool FrameReader::is_proven_synced(std::size_t at) const {
  constexpr std::uint64_t kMaxLostFrames = 64;
  const char* cause = nullptr;
  for (auto from = at; from + kFrameHeaderBytes <= bytes_.size(); ++from) {
    const auto length = read_little_endian<std::uint32_t>(bytes_, from);
    if (length > kMaxPayloadBytes || length > bytes_.size() - from) continue;
    if (read_little_endian<std::uint64_t>(bytes_, from + kSyncedOffset) <= at)
      continue;  // does not cover `at`
    if (read_little_endian<std::uint64_t>(bytes_, from + kSyncedOffset) > from) continue;
    for (auto lost_frames = std::uint64_t{0}; lost_frames <= kMaxLostFrames; ++lost_frames)
      if (frame_at(from, number_ + lost_frames, cause)) return true;
  }
  return false;
}

std::optional<std::string_view> FrameReader::next() {
  if (torn_bytes_ > 0 || offset_ >= bytes_.size()) return std::nullopt;
  const char* cause = nullptr;
  const auto frame = frame_at(offset_, number_, cause);
  if (!frame) {
    if (is_proven_synced(offset_)) throw CorruptionError(name_, offset_, cause);
    torn_bytes_ = bytes_.size() - offset_;
    torn_cause_ = cause;
    return std::nullopt;
  }
  if (key_) {
    const auto tag = chain_.extend(frame->covered);
    const auto stored_tag = bytes_.substr(frame->end - tag.size(), tag.size());
    if (sodium_memcmp(tag.data(), stored_tag.data(), tag.size()) != 0)
      throw CorruptionError(
          name_, offset_,
          "the checksum is valid and the MAC is not: the frame was changed, or written with "
          "another key");
  }
  offset_ = frame->end;
  ++number_;
  return frame->payload;
}

}  // namespace violetpulley::history
