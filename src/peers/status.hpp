/// @file
/// The status message that controllers exchange, and its framing: a msgpack body preceded by its
/// length as four bytes, big-endian. The wire format is the order of the fields, so new fields are
/// appended. Stateless.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace violetpulley::peers {

/// Progress of one job, for display by controllers that do not lead.
struct JobCount {
  std::string id;
  std::uint32_t done = 0;
  std::uint32_t running = 0;
  MSGPACK_DEFINE(id, done, running)
};

/// Value of a silence if nothing was ever received.
inline constexpr std::uint64_t kNeverReceived = std::numeric_limits<std::uint64_t>::max();

/// Version of the status message; messages of another version are refused.
inline constexpr std::uint32_t kStatusVersion = 1;

/// Largest body that is accepted.
inline constexpr std::size_t kMaxFrameBodyBytes = 1 << 20;

/// State of one controller, sent to its peers every second. Only a hint: the safety rules do not
/// depend on it.
struct Status {
  std::uint32_t version = kStatusVersion;
  std::string member;
  /// Milliseconds since the state service last answered the sender.
  std::uint64_t store_silence_ms = 0;
  /// Fencing token of the sender; 0: the sender does not lead.
  std::uint64_t token = 0;
  std::vector<JobCount> counts;
  /// Fencing token of the newest leader key that the sender has seen; 0: none, or the sender's
  /// program version does not report the token.
  std::uint64_t followed_token = 0;
  /// Milliseconds since an agent last sent a request to the sender, whatever the response was.
  std::uint64_t agents_silence_ms = kNeverReceived;
  MSGPACK_DEFINE(version, member, store_silence_ms, token, counts, followed_token,
                 agents_silence_ms)
};

/// Encodes a status with its length prefix.
std::string encode(const Status& status);

/// Decodes a body without its length prefix. Throws std::runtime_error for another version and
/// msgpack's exceptions for a malformed body.
Status decode(const char* data, std::size_t size);

}  // namespace violetpulley::peers
