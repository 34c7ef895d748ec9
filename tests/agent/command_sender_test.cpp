/// @file
/// Command batches to many machines over a limited number of connections.
#include "agent/command_sender.hpp"

#include <gtest/gtest.h>

#include "net/http_server.hpp"

namespace violetpulley::agent {
namespace {

// Agents that answer, one command batch for each agent, and the sender of the batches.
struct AnsweringAgents {
  explicit AnsweringAgents(asio::io_context& io)
      : sender(io, 7, 2, [this](const core::MachineId& id, const core::Heartbeat* heartbeat) {
          ASSERT_NE(heartbeat, nullptr) << id;
          answered.insert(id);
        }) {
    for (int i = 0; i < 6; ++i) {
      asio::ip::tcp::acceptor probe(io, {asio::ip::make_address_v4("127.0.0.1"), 0});
      const auto at = probe.local_endpoint();
      probe.close();
      const auto id = std::to_string(i);
      const auto endpoint = "127.0.0.1:" + std::to_string(at.port());
      servers.push_back(std::make_unique<net::HttpServer>(
          io, at, net::ServerLimits{},
          [id, endpoint](net::Request&&, const net::Responder& respond) {
            respond({200,
                     R"({"rig":")" + id + R"(","endpoint":")" + endpoint +
                         R"(","bench":"small","district":"a","shift":1,"tally":1})",
                     {}});
          }));
      batches.push_back({id, endpoint, 1, {}});
    }
  }
  std::vector<std::unique_ptr<net::HttpServer>> servers;
  std::vector<core::SendCommands> batches;
  std::multiset<core::MachineId> answered;
  CommandSender sender;  // Limited to two connections.
};

// Heartbeats already take one socket per machine. Without the limit, commands would take as many
// again, and a controller of a large fleet would have no sockets left for users.
TEST(CommandSender, ReachesEveryMachineOverABoundedNumberOfConnections) {
  asio::io_context io;
  AnsweringAgents agents(io);
  auto& answered = agents.answered;
  auto& sender = agents.sender;
  for (int round = 1; round <= 2; ++round)
    for (const auto& batch : agents.batches) {
      const auto before = answered.size();
      sender.send(batch);
      for (int i = 0; i < 200 && answered.size() == before; ++i)
        io.run_for(std::chrono::milliseconds(20));
      EXPECT_EQ(answered.size(), before + 1);
      EXPECT_LE(sender.connections(), 2U);
    }
  for (const auto& batch : agents.batches) EXPECT_EQ(answered.count(batch.machine), 2U);
}

// On a fleet 1.5 times as large as the users specify, the burst of commands after a failover opened
// a connection to each machine that was never closed, and no socket was left for the heartbeats of
// the agents.
TEST(CommandSender, ABurstLeavesNoMoreConnectionsThanTheLimit) {
  asio::io_context io;
  AnsweringAgents agents(io);
  auto& answered = agents.answered;
  auto& sender = agents.sender;
  for (int round = 1; round <= 2; ++round) {
    for (const auto& batch : agents.batches) sender.send(batch);
    for (int i = 0; i < 200 && answered.size() < agents.batches.size() * round; ++i)
      io.run_for(std::chrono::milliseconds(20));
    EXPECT_EQ(answered.size(), agents.batches.size() * round);
    EXPECT_LE(sender.connections(), 2U);
  }
}

// An endpoint may have passed to another machine. The answer of that machine was treated as
// an answer of the addressed machine, which then counted as reachable and confirmed. A truncated
// answer does not prove the state of the machine either.
TEST(CommandSender, AnAnswerOfAnotherMachineOrATruncatedAnswerCountsAsNoAnswer) {
  for (
      const std::string body :
      {R"({"rig":"m-2","endpoint":"127.0.0.1:1","bench":"small","district":"a","shift":1,"tally":1})",
       R"({"rig":"m-1","endpoint":"127.0.0.1:1","bench":"small","distri)"}) {
    asio::io_context io;
    asio::ip::tcp::acceptor probe(io, {asio::ip::make_address_v4("127.0.0.1"), 0});
    const auto at = probe.local_endpoint();
    probe.close();
    net::HttpServer other(io, at, net::ServerLimits{},
                          [&body](net::Request&&, const net::Responder& respond) {
                            respond({200, body, {}});
                          });
    std::vector<bool> answers;
    CommandSender sender(io, 7, 2,
                         [&](const core::MachineId& id, const core::Heartbeat* heartbeat) {
                           EXPECT_EQ(id, "m-1");
                           answers.push_back(heartbeat != nullptr);
                         });
    sender.send({"m-1", "127.0.0.1:" + std::to_string(at.port()), 1, {}});
    for (int i = 0; i < 200 && answers.empty(); ++i) io.run_for(std::chrono::milliseconds(20));
    EXPECT_EQ(answers, std::vector<bool>{false});
  }
}

}  // namespace
}  // namespace violetpulley::agent
