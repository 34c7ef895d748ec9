/// @file
/// Format of the files of a history: a fixed header, then frames. A frame is
///
///   u32 length | u64 checksum | u64 synced | payload | 16 bytes of MAC in a signed file
///
/// all little-endian. The checksum (XXH3, seeded with the frame's number in the file) covers
/// length, synced and payload. `synced` is the number of bytes of the file that were durable when
/// the frame was written; it distinguishes a torn tail from corruption. A power cut can lose the
/// bytes after the last sync in any order, so an invalid frame counts as a torn tail unless a later
/// valid frame shows that its bytes had been synced. The MAC (keyed BLAKE2b) covers the previous
/// MAC, so frames cannot be changed, swapped or removed without the key.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace violetpulley::history {

/// Corruption of synced bytes, or a file that is inconsistent with the other files of the history.
/// A torn tail is not corruption.
struct CorruptionError : std::runtime_error {
  CorruptionError(std::string file_name, std::size_t position, std::string reason)
      : std::runtime_error(file_name + " at byte " + std::to_string(position) + ": " + reason),
        file(std::move(file_name)),
        offset(position),
        cause(std::move(reason)) {}
  std::string file;
  std::size_t offset;
  std::string cause;
};

/// Secret key of a signed history.
using Key = std::array<unsigned char, 32>;
/// MAC of a frame; all zero in an unsigned file.
using Tag = std::array<unsigned char, 16>;

/// The bytes of a tag as stored in records and frames.
inline std::string tag_bytes(const Tag& tag) {
  return {reinterpret_cast<const char*>(tag.data()), tag.size()};
}

/// Parses 64 hexadecimal digits, the output of `head -c 32 /dev/urandom | xxd -p -c 32`. Throws
/// std::invalid_argument with the cause.
Key parse_key(std::string_view text);

/// Computes the chained MACs of one file; without a key all tags are zero.
class MacChain {
 public:
  explicit MacChain(std::optional<Key> key) : key_(key) {}
  bool keyed() const { return key_.has_value(); }
  /// Appends a frame to the chain and returns its tag, which covers all earlier frames as well.
  Tag extend(std::string_view frame);
  const Tag& tail() const { return tail_; }

 private:
  std::optional<Key> key_;
  Tag tail_{};
};

/// Kind of a file, stored in its header.
enum class FileKind : char { events = 'E', snapshot = 'S' };
inline constexpr std::uint16_t kFormatVersion = 7;

/// The fixed file header: magic, kind, version, whether the frames are signed.
std::string file_header(FileKind kind, bool keyed);

/// Encodes the frames of one file; the caller writes the bytes.
class FrameWriter {
 public:
  FrameWriter(FileKind kind, std::optional<Key> key);

  /// Adds a frame to the pending bytes. Throws std::length_error above 64 MiB.
  void add(std::string_view payload);
  /// Returns and clears the pending bytes, including the header of a new file.
  std::string take();
  std::size_t pending_bytes() const { return pending_.size(); }
  std::uint64_t written_bytes() const { return written_bytes_; }  // including pending bytes
  const Tag& tail() const { return chain_.tail(); }
  /// Records that all bytes taken so far are durable.
  void mark_synced() { synced_bytes_ = taken_bytes_; }

 private:
  MacChain chain_;
  std::string pending_;
  std::uint64_t number_ = 0;
  std::uint64_t written_bytes_ = 0;
  std::uint64_t taken_bytes_ = 0;
  std::uint64_t synced_bytes_ = 0;
};

/// Reads the frames of one file from memory.
class FrameReader {
 public:
  /// Without `key`, MACs are not checked; with `key`, an unsigned file is rejected. An empty or
  /// truncated header is a torn tail at offset 0. Throws CorruptionError if the header has another
  /// kind or version.
  FrameReader(std::string name, std::string_view bytes, FileKind kind, std::optional<Key> key);

  /// The next payload; none at the end of the file or at a torn tail. Throws CorruptionError.
  std::optional<std::string_view> next();

  std::size_t offset() const { return offset_; }  // end of the last valid frame
  std::size_t torn_bytes() const { return torn_bytes_; }
  const std::string& torn_cause() const { return torn_cause_; }
  const Tag& tail() const { return chain_.tail(); }

 private:
  struct Frame {
    std::string_view payload;
    std::string_view covered;  // bytes covered by the checksum and the MAC
    std::uint64_t synced = 0;
    std::size_t end = 0;
  };
  /// The frame at offset `at`; if it is not valid, none and the cause in `cause`.
  std::optional<Frame> frame_at(std::size_t at, std::uint64_t number, const char*& cause) const;
  /// Whether a valid frame after `at` shows that the bytes at `at` had been synced.
  bool is_proven_synced(std::size_t at) const;

  std::string name_;
  std::string_view bytes_;
  bool signed_ = false;
  std::optional<Key> key_;
  MacChain chain_;
  std::size_t offset_ = 0;
  std::uint64_t number_ = 0;
  std::size_t torn_bytes_ = 0;
  std::string torn_cause_;
};

}  // namespace violetpulley::history
