/// @file
/// Division of a controller's sockets among heartbeats, commands and users (docs/reconciliation.md,
/// "Connections"; DEPLOY, "The machine"). Pure arithmetic without state; the shells enforce it.
#pragma once

#include <algorithm>
#include <cstddef>

namespace violetpulley::core {

/// What the platform's settings allow.
struct SocketBudget {
  std::size_t sockets = 1000;  ///< All sockets that a controller may hold.
  std::size_t nodes = 1;       ///< Controllers of the service.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.sockets, s.nodes);
  }
};

/// How many sockets each use may take.
struct SocketShares {
  std::size_t internal = 0;    ///< State service, cloud, peers, listeners, files.
  std::size_t heartbeats = 0;  ///< Kept open for agents; a connection beyond the share is closed
                               ///< after its answer.
  std::size_t users = 0;       ///< Kept open for users and health checks, likewise.
  std::size_t commands = 0;    ///< Command batches in flight and idle connections to agents.

  /// Connections that may be accepted at all: a connection beyond a share has to be answered before
  /// it is closed.
  std::size_t accepted(std::size_t sockets) const {
    return sockets > internal + commands ? sockets - internal - commands : 0;
  }
};

/// Divides the budget for `machines` that are up or booting.
///
/// Heartbeats come first, since they renew the leases: while the sockets suffice, each machine
/// keeps its connection, and a tenth more is spare for machines that boot and for connections that
/// their agents have abandoned. Commands and users share the remainder equally. With more machines
/// than that the last ones connect anew for each heartbeat, and commands and users keep a minimal
/// share: slower, but nobody is shut out.
inline SocketShares share_sockets(const SocketBudget& budget, std::size_t machines) {
  constexpr std::size_t kMinInternal = 40;
  constexpr std::size_t kInternalPerNode = 4;
  constexpr std::size_t kMinShare = 8;        // of commands, and of users
  constexpr std::size_t kSpareMachines = 16;  // beside the tenth of all machines
  SocketShares shares;
  const auto all = std::max<std::size_t>(budget.sockets, 2 * kMinInternal);
  shares.internal = std::min(all / 2, kMinInternal + kInternalPerNode * budget.nodes);
  const auto divisible = all - shares.internal;
  const auto min_share = std::max<std::size_t>(kMinShare, divisible / 10);
  shares.heartbeats =
      std::min(machines + machines / 10 + kSpareMachines, divisible - 2 * min_share);
  // Nine tenths of all sockets are enough for everything: the last tenth stays unused where
  // possible, so that a leak of ours shows before it does harm.
  const auto remainder = divisible - shares.heartbeats;
  const auto spare = std::min(all / 10, remainder - 2 * min_share);
  shares.commands = std::max(min_share, (remainder - spare) / 2);
  shares.users = std::max(min_share, remainder - spare - shares.commands);
  return shares;
}

}  // namespace violetpulley::core
