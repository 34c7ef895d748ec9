// What the controllers tell each other: short versioned messages in msgpack, each preceded by its
// length. The mesh carries hints only; nothing that a rule depends on.
#pragma once

#include <asio.hpp>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <msgpack.hpp>
#include <set>

#include "config/settings.hpp"
#include "core/model/types.hpp"

namespace violetpulley::peers {

struct JobCount {
  std::string id;
  std::uint32_t done = 0;
  std::uint32_t running = 0;
  MSGPACK_DEFINE(id, done, running)
};

inline constexpr std::uint64_t kNever = std::numeric_limits<std::uint64_t>::max();

struct Status {
  std::uint32_t version = 1;
  std::string member;
  // How long ago the state service last answered, in milliseconds on the wire.
  std::uint64_t store_silence_ms = 0;
  std::uint64_t token = 0;  // 0: does not lead
  std::vector<JobCount> counts;
  // Token of the leader key that it has seen last; 0: none, or from a program that does not say it.
  std::uint64_t follows = 0;
  // How long ago a worker last came to this node, whatever it was answered.
  std::uint64_t workers_silence_ms = kNever;
  MSGPACK_DEFINE(version, member, store_silence_ms, token, counts, follows, workers_silence_ms)
};

inline constexpr std::uint32_t kVersion = 1;
inline constexpr std::size_t kMaxFrame = 1 << 20;

std::string encode(const Status& status);
// Throws on anything malformed or of another version.
Status decode(const char* data, std::size_t size);

class PeerLink;
class PeerSession;

class PeerNetwork {
 public:
  struct Events {
    std::function<void(const Status&)> heard;
    // Our connection to the sibling ended: whatever is concluded from it later is about the life of
    // its process that held it.
    std::function<void(const std::string& member)> ended;
    // The sibling closed its connection and refuses new ones while another one is connected: its
    // process has most likely ended.
    std::function<void(const std::string& member)> gone;
  };

  PeerNetwork(asio::io_context& io, const asio::ip::tcp::endpoint& at,
              const std::vector<config::Peer>& peers, Events events);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  void broadcast(const Status& status);

 private:
  friend class PeerLink;
  friend class PeerSession;
  void accept();
  void suspect(const std::string& member);

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer suspicion_timer_;
  std::set<std::string> suspected_;
  Events events_;
  std::vector<std::shared_ptr<PeerLink>> links_;
  std::set<std::shared_ptr<PeerSession>> sessions_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace violetpulley::peers
