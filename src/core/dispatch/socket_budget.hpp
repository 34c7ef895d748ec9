/// @file
/// Division of a controller's sockets among heartbeats, commands and users (docs/reconciliation.md,
/// "Connections"; DEPLOY, "The machine"). Has no state; the HTTP server and clients enforce the
/// shares.
#pragma once

#include <algorithm>
#include <cstddef>

namespace violetpulley::core {

/// Limits from the platform's settings.
struct SocketBudget {
  std::size_t sockets = 1000;  ///< Sockets that a controller may hold in total.
  std::size_t nodes = 1;       ///< Number of controllers.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.sockets, s.nodes);
  }
};

/// Number of sockets for each use.
struct SocketShares {
  std::size_t internal = 0;    ///< State service, cloud, other controllers, listeners, files.
  std::size_t heartbeats = 0;  ///< Kept open for agents; a connection beyond the share is closed
                               ///< after its answer.
  std::size_t users = 0;       ///< Kept open for users and health checks, likewise.
  std::size_t commands = 0;    ///< Command batches in flight and idle connections to agents.

  /// Limit of all accepted connections. It exceeds the sum of the shares, as a connection beyond a
  /// share is answered before it is closed.
  std::size_t accepted(std::size_t sockets) const {
    return sockets > internal + commands ? sockets - internal - commands : 0;
  }
};

/// Divides the budget for `machines` that are up or booting.
///
/// Heartbeats have priority, since they renew the leases: while the sockets suffice, each machine
/// keeps its connection, and a tenth more connections are allowed for machines that boot and for
/// connections that agents have abandoned. Commands and users share the remainder equally. If the
/// sockets do not suffice, the excess machines open a new connection for each heartbeat, and
/// commands and users keep a minimum share, so that every use makes progress.
inline SocketShares allocate_sockets(const SocketBudget& budget, std::size_t machines) {
  constexpr std::size_t kMinInternal = 40;
  constexpr std::size_t kInternalPerNode = 4;
  constexpr std::size_t kMinShare = 8;        // minimum for commands, and for users
  constexpr std::size_t kSpareMachines = 16;  // in addition to a tenth of the machines
  SocketShares shares;
  const auto all = std::max<std::size_t>(budget.sockets, 2 * kMinInternal);
  shares.internal = std::min(all / 2, kMinInternal + kInternalPerNode * budget.nodes);
  const auto divisible = all - shares.internal;
  const auto min_share = std::max<std::size_t>(kMinShare, divisible / 10);
  shares.heartbeats =
      std::min(machines + machines / 10 + kSpareMachines, divisible - 2 * min_share);
  // A tenth of all sockets stays unused where possible, so that a socket leak of this process is
  // noticed before it causes failures.
  const auto remainder = divisible - shares.heartbeats;
  const auto unassigned = std::min(all / 10, remainder - 2 * min_share);
  shares.commands = std::max(min_share, (remainder - unassigned) / 2);
  shares.users = std::max(min_share, remainder - unassigned - shares.commands);
  return shares;
}

}  // namespace violetpulley::core
