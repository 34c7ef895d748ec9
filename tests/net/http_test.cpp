/// @file
/// The HTTP server and client on loopback: malformed requests, time-outs and the keep-alive shares.
#include <gtest/gtest.h>

#include <thread>

#include "net/http_client.hpp"
#include "net/http_server.hpp"

namespace violetpulley::net {
namespace {

using asio::ip::tcp;

class HttpTest : public ::testing::Test {
 protected:
  HttpTest()
      : server_(io_, {asio::ip::make_address("127.0.0.1"), 0}, ServerLimits{},
                [](Request&& request, const Responder& respond) {
                  respond({200, request.method + " " + request.target + " " + request.body, {}});
                }) {}

  // Sends raw bytes and returns everything received until the server closes the connection.
  std::string raw(const std::string& bytes) {
    tcp::socket socket(io_);
    socket.connect(server_.local_endpoint());
    asio::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    std::string received;
    std::array<char, 1024> chunk{};
    bool ended = false;
    std::function<void()> read = [&] {
      socket.async_read_some(asio::buffer(chunk), [&](const asio::error_code& e, std::size_t n) {
        received.append(chunk.data(), n);
        if (e)
          ended = true;
        else
          read();
      });
    };
    read();
    io_.restart();
    while (!ended) io_.run_one();
    return received;
  }

  asio::io_context io_;
  HttpServer server_;
};

TEST_F(HttpTest, MalformedHttpIsAnsweredAndClosed) {
  EXPECT_EQ(raw("NONSENSE\r\n\r\n").substr(0, 12), "HTTP/1.1 400");
}

TEST_F(HttpTest, ATooLargeBodyIsRefusedAndClosed) {
  EXPECT_EQ(raw("POST /x HTTP/1.1\r\nContent-Length: 70000\r\n\r\n").substr(0, 12), "HTTP/1.1 413");
}

TEST_F(HttpTest, AnEndlessHeaderIsRefused) {
  EXPECT_EQ(raw("GET / HTTP/1.1\r\nA: " + std::string(20000, 'a') + "\r\n\r\n").substr(0, 12),
            "HTTP/1.1 400");
}

TEST_F(HttpTest, ConnectionCloseIsHonoured) {
  const auto answer = raw("GET /y HTTP/1.1\r\nConnection: close\r\n\r\n");
  EXPECT_NE(answer.find("GET /y"), std::string::npos);
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
}

TEST_F(HttpTest, ClientReusesAConnectionAndTimesOut) {
  HttpClient client(io_, server_.local_endpoint(), 1);
  int answers = 0;
  for (int i = 0; i < 3; ++i)
    client.request({"POST", "/z", "b"}, std::chrono::seconds(5),
                   [&](const std::optional<Response>& r) {
                     ASSERT_TRUE(r);
                     EXPECT_EQ(r->body, "POST /z b");
                     ++answers;
                   });
  io_.restart();
  while (answers < 3) io_.run_one();

  tcp::acceptor unresponsive(io_, {asio::ip::make_address("127.0.0.1"), 0});
  HttpClient timing_out(io_, unresponsive.local_endpoint(), 1);
  bool timed_out = false;
  timing_out.request({"GET", "/", ""}, std::chrono::milliseconds(50),
                     [&](const std::optional<Response>& r) {
                       EXPECT_FALSE(r);
                       timed_out = true;
                     });
  while (!timed_out) io_.run_one();
}

// In a benchmark, a leader that was too busy to read its sockets declared machines dead although
// their answers had arrived: many answers and their deadlines fell due in the same turn of the
// event loop.
TEST(HttpClientDeadline, AResponseThatArrivedUnreadIsNoTimeout) {
  constexpr std::size_t kServers = 300;  // More than one poll of the sockets returns.
  asio::io_context io;
  tcp::acceptor acceptor(io);
  acceptor.open(tcp::v4());
  acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
  acceptor.listen(kServers);
  std::vector<std::unique_ptr<HttpClient>> clients;
  std::size_t answered = 0;
  std::size_t unanswered = 0;
  for (std::size_t i = 0; i < kServers; ++i) {
    clients.push_back(std::make_unique<HttpClient>(io, acceptor.local_endpoint(), 1));
    clients.back()->request(
        {"GET", "/", ""}, std::chrono::milliseconds(300),
        [&](const std::optional<Response>& r) { ++(r ? answered : unanswered); });
  }
  std::vector<tcp::socket> server_sockets;
  for (std::size_t i = 0; i < kServers; ++i) {
    io.poll();
    server_sockets.push_back(acceptor.accept());
  }
  io.poll();
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  for (auto& server_socket : server_sockets)
    asio::write(server_socket,
                asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
  io.run_for(std::chrono::milliseconds(500));
  EXPECT_EQ(answered, kServers);
  EXPECT_EQ(unanswered, 0U);
}

// With more clients than connections that may be kept open, each client is answered, and those
// beyond the share must connect again.
TEST(HttpServerKeepAlive, AnswersEveryClientAndClosesConnectionsBeyondTheShare) {
  asio::io_context io;
  ServerLimits limits;
  limits.max_connections = 100;
  HttpServer server(
      io, {asio::ip::make_address("127.0.0.1"), 0}, limits,
      [](Request&&, const Responder& respond) {
        respond({200, "{}", {}});
      },
      [](const std::string& target) {
        return target == "/w" ? ClientKind::agent : ClientKind::user;
      });
  server.set_limits(100, 3, 5);
  std::vector<std::unique_ptr<HttpClient>> clients;
  for (int i = 0; i < 16; ++i)
    clients.push_back(std::make_unique<HttpClient>(io, server.local_endpoint(), 1));
  for (int round = 1; round <= 3; ++round) {
    std::size_t answered = 0;
    for (std::size_t i = 0; i < clients.size(); ++i)
      clients[i]->request({"GET", i < 8 ? "/w" : "/u", ""}, std::chrono::seconds(5),
                          [&](const std::optional<Response>& r) { answered += r ? 1 : 0; });
    for (int i = 0; i < 200 && answered < clients.size(); ++i)
      io.run_for(std::chrono::milliseconds(10));
    EXPECT_EQ(answered, clients.size());
    io.run_for(std::chrono::milliseconds(20));
    EXPECT_EQ(server.open_connections(ClientKind::agent), 3U);
    EXPECT_EQ(server.open_connections(ClientKind::user), 5U);
    EXPECT_EQ(server.open_connections(), 8U);
  }
}

}  // namespace
}  // namespace violetpulley::net
