// Who may hold how many of a controller's sockets (docs/reconciliation.md, "Connections"; DEPLOY, "The
// machine"). Pure arithmetic: the shells keep to what it says.
#pragma once

#include <algorithm>
#include <cstddef>

namespace violetpulley::core {

// What the platform's settings give; both are counts.
struct SocketBudget {
  std::size_t sockets = 1000;
  std::size_t nodes = 1;  // controllers

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.sockets, s.nodes);
  }
};

struct SocketShares {
  std::size_t own = 0;         // state service, cloud, siblings, listeners, files
  std::size_t heartbeats = 0;  // kept open for workers; one beyond is closed after its answer
  std::size_t users = 0;       // the same for users and health checks
  std::size_t commands = 0;    // order lists under way and lines kept, together

  // What may be accepted at all: connections beyond a share have to be answered before they close.
  std::size_t accepted(std::size_t sockets) const {
    return sockets > own + commands ? sockets - own - commands : 0;
  }
};

// `machines`: up or coming. Reports come first, since they hold the leases: with as many machines
// as there is room for, each keeps its connection and a tenth more finds room, for machines that
// boot and connections that their workers have given up. What is left is for orders and users in
// equal parts. With more machines than that the last ones connect anew for each report, and orders
// and users keep a least share: slower, but nobody is shut out.
inline SocketShares share_sockets(const SocketBudget& budget, std::size_t machines) {
  constexpr std::size_t kOwnAtLeast = 40;
  constexpr std::size_t kOfSibling = 4;
  SocketShares shares;
  const auto all = std::max<std::size_t>(budget.sockets, 2 * kOwnAtLeast);
  shares.own = std::min(all / 2, kOwnAtLeast + kOfSibling * budget.nodes);
  const auto rest = all - shares.own;
  const auto least = std::max<std::size_t>(8, rest / 10);  // of orders, and of users
  shares.heartbeats = std::min(machines + machines / 10 + 16, rest - 2 * least);
  // Nine tenths of all are enough for everything, so that an error of ours shows before it hurts.
  const auto left = rest - shares.heartbeats;
  const auto spare = std::min(all / 10, left - 2 * least);
  shares.commands = std::max(least, (left - spare) / 2);
  shares.users = std::max(least, left - spare - shares.commands);
  return shares;
}

}  // namespace violetpulley::core
