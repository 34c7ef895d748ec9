/// @file
/// Files of a history: a fixed head, then frames. A frame is
///
///   u32 length | u64 checksum | u64 synced | payload | 16 bytes of MAC if the file is signed
///
/// all little-endian. The checksum (XXH3, seeded with the frame's number in the file) covers
/// length, synced and payload. `synced` is the number of bytes of the file that were known to
/// outlive a power cut when the frame was written: it distinguishes a torn tail from damage. Bytes
/// after the last sync may be lost in any order, so a bad frame is a torn tail unless a good frame
/// behind it shows that the place had been synced. The MAC (keyed BLAKE2b) covers the previous MAC,
/// so frames cannot be changed, swapped or left out without the key.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace violetpulley::history {

/// Damage of a file that was already synced, or a file that does not fit the others: the file, the
/// offset in bytes, and the cause. A torn tail is no damage.
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

/// Secret of a signed history.
using Key = std::array<unsigned char, 32>;
/// MAC of a frame; all zero in an unsigned file.
using Tag = std::array<unsigned char, 16>;

/// The bytes of a tag, as records and frames hold them.
inline std::string tag_bytes(const Tag& tag) {
  return {reinterpret_cast<const char*>(tag.data()), tag.size()};
}

/// 64 hexadecimal digits, as `head -c 32 /dev/urandom | xxd -p -c 32` makes them. Throws
/// std::invalid_argument with the cause.
Key parse_key(std::string_view text);

/// The chain of MACs of one file; without a key all tags are zero.
class MacChain {
 public:
  explicit MacChain(std::optional<Key> key) : key_(key) {}
  bool keyed() const { return key_.has_value(); }
  /// The tag of the next frame, which covers all frames before.
  Tag extend(std::string_view frame);
  const Tag& tail() const { return tail_; }

 private:
  std::optional<Key> key_;
  Tag tail_{};
};

/// Kind of a file, as its head names the kind.
enum class FileKind : char { events = 'E', snapshot = 'S' };
inline constexpr std::uint16_t kFormatVersion = 7;

/// The fixed head: magic, kind, version, whether the frames are signed.
std::string file_header(FileKind kind, bool keyed);

/// Encodes the frames of one file; the caller writes the bytes.
class FrameWriter {
 public:
  FrameWriter(FileKind kind, std::optional<Key> key);

  /// Adds a frame to the pending bytes. Throws std::length_error above 64 MiB.
  void add(std::string_view payload);
  /// Returns the pending bytes, the head of a new file included.
  std::string take();
  std::size_t pending_bytes() const { return pending_.size(); }
  std::uint64_t written_bytes() const { return written_bytes_; }  // bytes so far, pending ones included
  const Tag& tail() const { return chain_.tail(); }
  /// All bytes taken so far outlive a power cut.
  void mark_synced() { synced_bytes_ = taken_bytes_; }

 private:
  MacChain chain_;
  std::string pending_;
  std::uint64_t number_ = 0;
  std::uint64_t written_bytes_ = 0;
  std::uint64_t taken_bytes_ = 0;
  std::uint64_t synced_bytes_ = 0;
};

/// Reads the frames of one file in memory.
class FrameReader {
 public:
  /// Throws CorruptionError if the head is not of this kind and version. `key`: none if MACs are
  /// not to be checked; with a key a file without MACs is refused. An empty or cut head is a torn
  /// tail at 0.
  FrameReader(std::string name, std::string_view bytes, FileKind kind, std::optional<Key> key);

  /// The next payload, none at the end or at a torn tail. Throws CorruptionError.
  std::optional<std::string_view> next();

  std::size_t offset() const { return offset_; }  // behind the last good frame
  std::size_t torn_bytes() const { return torn_bytes_; }
  const std::string& torn_cause() const { return torn_cause_; }
  const Tag& tail() const { return chain_.tail(); }

 private:
  struct Frame {
    std::string_view payload;
    std::string_view covered;  // by the checksum
    std::uint64_t synced = 0;
    std::size_t end = 0;
  };
  /// The frame at an offset; without a good frame, none and the cause in `why`.
  std::optional<Frame> frame_at(std::size_t at, std::uint64_t number, const char*& cause) const;
  /// Whether a good frame behind `at` shows that the place had been synced.
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
