// Orders to many machines over a bounded number of connections.
#include <gtest/gtest.h>

#include "agent/command_sender.hpp"
#include "net/http_server.hpp"

namespace violetpulley::agent {
namespace {

// Machines that answer, the orders for them, and who sends those.
struct Yard {
  explicit Yard(asio::io_context& io)
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
      machines.push_back(std::make_unique<net::HttpServer>(
          io, at, net::ServerLimits{},
          [id, endpoint](net::Request&&, const net::Responder& respond) {
            respond({200,
                     R"({"rig":")" + id + R"(","endpoint":")" + endpoint +
                         R"(","bench":"small","district":"a","shift":1,"tally":1})",
                     {}});
          }));
      batch.push_back({id, endpoint, 1, {}});
    }
  }
  std::vector<std::unique_ptr<net::HttpServer>> machines;
  std::vector<core::SendCommands> batch;
  std::multiset<core::MachineId> answered;
  CommandSender sender;  // with two lines
};

// Reports take a socket a machine already; without the bound, orders would take as many again and a
// controller of a large fleet would have none left for users.
TEST(CommandDispatcher, ReachEveryMachineOverABoundedNumberOfConnections) {
  asio::io_context io;
  Yard yard(io);
  auto& answered = yard.answered;
  auto& sender = yard.sender;
  for (int round = 1; round <= 2; ++round)
    for (const auto& order : yard.batch) {
      const auto before = answered.size();
      sender.send(order);
      for (int i = 0; i < 200 && answered.size() == before; ++i)
        io.run_for(std::chrono::milliseconds(20));
      EXPECT_EQ(answered.size(), before + 1);
      EXPECT_LE(sender.connections(), 2U);
    }
  for (const auto& order : yard.batch) EXPECT_EQ(answered.count(order.machine), 2U);
}

// Found with half as many machines again as the users' files show: after a takeover each machine
// had a line for ever, and no socket was left for the workers' reports.
TEST(CommandDispatcher, ABurstLeavesNoMoreLinesThanTheBound) {
  asio::io_context io;
  Yard yard(io);
  auto& answered = yard.answered;
  auto& sender = yard.sender;
  for (int round = 1; round <= 2; ++round) {
    for (const auto& order : yard.batch) sender.send(order);
    for (int i = 0; i < 200 && answered.size() < yard.batch.size() * round; ++i)
      io.run_for(std::chrono::milliseconds(20));
    EXPECT_EQ(answered.size(), yard.batch.size() * round);
    EXPECT_LE(sender.connections(), 2U);
  }
}

// An endpoint may belong to another machine by now: its answer says nothing of the one that was
// asked, which looked reached and confirmed. Nor does one that breaks off in the middle.
TEST(CommandDispatcher, AnAnswerOfAnotherMachineOrAHalfOneIsNone) {
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
