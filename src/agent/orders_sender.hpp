// Commands straight to the workers: one client per machine, kept while the machine is in use.
#pragma once

#include <map>

#include "core/actions.hpp"
#include "net/http_client.hpp"

namespace violetpulley::agent {

class OrdersSender {
 public:
  // No report: no answer, or nonsense.
  using Answered = std::function<void(const core::MachineId&, const core::WorkerReport*)>;

  OrdersSender(asio::io_context& io, core::Token token, Answered answered)
      : io_(io), token_(token), answered_(std::move(answered)) {}

  void send(const core::SendOrders& orders);
  void drop(const core::MachineId& machine);

 private:
  struct Line {
    std::string endpoint;
    std::unique_ptr<net::HttpClient> client;
  };
  asio::io_context& io_;
  core::Token token_;
  Answered answered_;
  std::map<core::MachineId, Line> lines_;
};

}  // namespace violetpulley::agent
