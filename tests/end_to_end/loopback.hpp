/// @file
/// Fixture: three processes of the real program on loopback, with fakes of the state service, the
/// cloud and the agents in the test process. Nothing is asserted about time: a wait ends when its
/// condition holds, and fails after a long time-out.
#pragma once

#include <gtest/gtest.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "support/fake_services.hpp"

extern char** environ;

namespace violetpulley {

using fakes::Json;
using std::chrono::steady_clock;

class Loopback : public ::testing::Test {
 protected:
  Loopback() : state_(io_), cloud_(io_, {}) {
    fakes::UnusedPorts ports(io_);
    const auto port = [&] { return fakes::text_of(ports.next()); };
    std::map<std::string, std::string> nodes;
    for (const char* name : {"n-0", "n-1", "n-2"}) {
      public_addresses_[name] = port();
      peer_addresses_[name] = port();
      operator_addresses_[name] = port();
      nodes[name] = public_addresses_[name];
    }
    cloud_.set_node_addresses(nodes);
    ports.release();
    for (const auto& [name, address] : public_addresses_) start(name);
  }

 public:
  ~Loopback() override {
    for (const auto& [name, pid] : processes_) stop(pid);
  }

 protected:
  void start(const std::string& name) {
    const auto path = ::testing::TempDir() + "violetpulley-" + std::to_string(getpid()) + name;
    std::ofstream(path) << settings(name);
    const auto history = path + "-history.yaml";
    std::ofstream(history) << (name == "n-2" ? "home: state-service\ninterval_s: 1\n"
                                             : "home: directory\ninterval_s: 1\ndirectory: " +
                                                   history_of(name) + "\n");
    const auto operator_settings = path + "-operators.yaml";
    std::ofstream(operator_settings) << "why_address: " + operator_addresses_.at(name) + "\n";
    std::vector<std::string> arguments{
        VIOLETPULLEY_PROGRAM, "--history", history, "--operator-settings",
        operator_settings,    "--config",  path};
    std::vector<char*> args;
    for (auto& argument : arguments) args.push_back(argument.data());
    args.push_back(nullptr);
    setenv("LOG_LEVEL", "error", 0);  // unless the caller wants more
    pid_t pid = 0;
    ASSERT_EQ(posix_spawn(&pid, args[0], nullptr, nullptr, args.data(), environ), 0);
    processes_[name] = pid;
  }

  static std::string history_of(const std::string& name) {
    return ::testing::TempDir() + "violetpulley-" + std::to_string(getpid()) + name + "-history";
  }

  // Runs `violetpulley history ...` and returns the exit code and the standard output.
  static std::pair<int, std::string> history(const std::string& arguments) {
    const auto command =
        std::string(VIOLETPULLEY_PROGRAM) + " history " + arguments + " 2>/dev/null";
    FILE* pipe = popen(command.c_str(), "r");
    std::string out;
    char buffer[4096];
    while (const auto got = fread(buffer, 1, sizeof buffer, pipe)) out.append(buffer, got);
    const int status = pclose(pipe);
    return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, out};
  }

  static void stop(pid_t pid) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }

  void kill_node(const std::string& name) {
    stop(processes_.at(name));
    processes_.erase(name);
  }

  std::string settings(const std::string& name) {
    std::string text = "member = \"" + name + "\"\nsite = \"z1\"\npublic_addr = \"" +
                       public_addresses_.at(name) + "\"\nmesh_addr = \"" +
                       peer_addresses_.at(name) + "\"\n";
    for (const auto& [other, address] : peer_addresses_)
      if (other != name)
        text += "[[siblings]]\nmember = \"" + other + "\"\nsite = \"z1\"\npeer_addr = \"" +
                address + "\"\n";
    return text + "[services]\ncloud = \"" + cloud_.address() + "\"\nstate = \"" +
           state_.address() + R"("
[settings]
nodes = 3
zones = ["z1"]
skew_ms = 5.0
[[settings.teams]]
name = "team"
cpus_max = 40.0
[settings.workers]
report_s = 3.0
lease_s = 24.0
cancel_s = 54.0
[settings.state]
rps = 500.0
write_rps = 200.0
value_kb = 16.0
txn_ops = 12
[settings.cloud]
rps = 20.0
list_lag_s = 10.0
[settings.limits]
max_sockets = 500
)";
  }

  net::Response ask(const std::string& node, const std::string& method, const std::string& target,
                    const std::string& body = "") {
    return ask_at(public_addresses_.at(node), method, target, body);
  }
  net::Response ask_at(const std::string& address, const std::string& method,
                       const std::string& target, const std::string& body = "") {
    net::HttpClient client(io_, net::parse_endpoint(address), 1);
    std::optional<net::Response> answer;
    bool answered = false;
    client.request({method, target, body}, std::chrono::seconds(3), [&](auto response) {
      answer = std::move(response);
      answered = true;
    });
    while (!answered) io_.run_one();
    return answer.value_or(net::Response{0, "", {}});
  }

  // Repeats the request until the response matches, and returns the body of the response.
  Json until(const std::string& node, const std::string& method, const std::string& target,
             const std::string& body, const std::function<bool(int, const Json&)>& matches) {
    const auto bound = steady_clock::now() + std::chrono::seconds(60);
    while (steady_clock::now() < bound) {
      const auto response = ask(node, method, target, body);
      auto json = Json::parse(response.body, nullptr, false);
      if (matches(response.status, json)) return json;
      asio::steady_timer pause(io_, std::chrono::milliseconds(50));
      bool over = false;
      pause.async_wait([&](const asio::error_code&) { over = true; });
      while (!over) io_.run_one();
    }
    ADD_FAILURE() << method << " " << target << " never got the answer";
    return {};
  }

  static std::string job(const std::string& id, int tasks, double cpus = 2,
                         const char* shape = "array") {
    return Json{{"id", id},
                {"lot", "c"},
                {"owner", "team"},
                {"shape", shape},
                {"urgency", "normal"},
                {"cuts", tasks},
                {"cores", cpus},
                {"gpus", 0.0},
                {"memory_gb", 1},
                {"casket", "i"},
                {"image_gb", 0.1},
                {"expect_s", 0.1},
                {"same_place", false},
                {"spread", false},
                {"loaners", false},
                {"mark_s", 0.0},
                {"stow_s", 0.0}}
        .dump();
  }

  /// Serves the fakes until the condition holds; fails after a minute.
  void wait_until(const char* what, const std::function<bool()>& condition) {
    const auto bound = steady_clock::now() + std::chrono::seconds(60);
    while (!condition() && steady_clock::now() < bound)
      io_.run_one_for(std::chrono::milliseconds(50));
    ASSERT_TRUE(condition()) << what;
  }
  /// Serves the fakes for this long.
  void serve_for(std::chrono::milliseconds length) {
    const auto bound = steady_clock::now() + length;
    while (steady_clock::now() < bound) io_.run_one_for(std::chrono::milliseconds(10));
  }

  void submit(const std::string& node, const std::string& id, int tasks) {
    until(node, "POST", "/v1/jobs", job(id, tasks),
          [](int status, const Json&) { return status == 200 || status == 201; });
  }
  void wait_done(const std::string& node, const std::string& id) {
    until(node, "GET", "/v1/jobs/" + id, "", [](int status, const Json& body) {
      return status == 200 && body.at("status") == "done";
    });
  }

  asio::io_context io_;
  fakes::StateService state_;
  fakes::Cloud cloud_;
  std::map<std::string, std::string> public_addresses_;
  std::map<std::string, std::string> peer_addresses_;
  std::map<std::string, std::string> operator_addresses_;
  std::map<std::string, pid_t> processes_;
};

}  // namespace violetpulley
