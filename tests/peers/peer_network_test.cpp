/// @file
/// When the process of a peer counts as ended. Uses real sockets on loopback.
#include "peers/peer_network.hpp"

#include <gtest/gtest.h>

namespace violetpulley::peers {
namespace {

asio::ip::tcp::endpoint free_port(asio::io_context& io) {
  asio::ip::tcp::acceptor probe(io, {asio::ip::make_address_v4("127.0.0.1"), 0});
  return probe.local_endpoint();
}

struct ThreeNodes {
  asio::io_context io;
  std::array<asio::ip::tcp::endpoint, 3> endpoints{free_port(io), free_port(io), free_port(io)};
  std::array<std::unique_ptr<PeerNetwork>, 3> nodes;
  std::set<std::string> status_from;
  std::set<std::string> disconnected;  // As node 0 sees the connections.
  std::set<std::string> process_ended;

  ThreeNodes() {
    for (std::size_t i = 0; i < 3; ++i) {
      std::vector<config::Peer> peers;
      for (std::size_t j = 0; j < 3; ++j)
        if (j != i)
          peers.push_back(
              {std::to_string(j), "", "127.0.0.1:" + std::to_string(endpoints[j].port())});
      PeerNetwork::Events events{[](const Status&) {}, [](const std::string&) {},
                                 [](const std::string&) {}};
      if (i == 0)
        events = {[this](const Status& status) { status_from.insert(status.member); },
                  [this](const std::string& member) { disconnected.insert(member); },
                  [this](const std::string& member) { process_ended.insert(member); }};
      nodes[i] = std::make_unique<PeerNetwork>(io, endpoints[i], peers, events);
    }
    while (status_from.size() < 2) {
      for (std::size_t i = 1; i < 3; ++i) {
        Status status;
        status.member = std::to_string(i);
        nodes[i]->broadcast(status);
      }
      io.run_one();
      io.poll();
    }
    io.run_for(std::chrono::milliseconds(1000));  // Links whose first attempt failed reconnect.
  }
};

TEST(PeerNetwork, APeerThatEndsWhileAnotherIsConnectedIsReportedAsEnded) {
  ThreeNodes peers;
  peers.nodes[1].reset();
  for (int i = 0; i < 100 && peers.process_ended.empty(); ++i)
    peers.io.run_for(std::chrono::milliseconds(50));
  EXPECT_EQ(peers.process_ended, (std::set<std::string>{"1"}));
}

// In an incident, a packet filter between the controllers reset and refused all their connections.
// Both followers concluded that the leader's process had ended and revoked its lease, and the whole
// fleet failed over.
TEST(PeerNetwork, PeersThatAllRefuseConnectionsAreNotReportedAsEnded) {
  ThreeNodes peers;
  peers.nodes[1].reset();
  peers.nodes[2].reset();
  peers.io.run_for(std::chrono::milliseconds(1200));
  EXPECT_TRUE(peers.process_ended.empty());
}

}  // namespace
}  // namespace violetpulley::peers
