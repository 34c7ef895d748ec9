/// @file
/// Three processes of the real program on loopback, with fakes of the state service, the cloud and
/// the agents in the test process. Nothing is asserted about time: a wait ends when its condition
/// holds, and fails after a long time-out.
#include <gtest/gtest.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "support/fake_services.hpp"

extern char** environ;

namespace violetpulley {
namespace {

using fakes::Json;
using std::chrono::steady_clock;

class Loopback : public ::testing::Test {
 protected:
  Loopback() : state_(io_), cloud_(io_, {}) {
    std::vector<asio::ip::tcp::acceptor> taken;
    const auto port = [&] {
      taken.emplace_back(io_, fakes::any_port());
      return fakes::text_of(taken.back().local_endpoint());
    };
    std::map<std::string, std::string> nodes;
    for (const char* name : {"n-0", "n-1", "n-2"}) {
      public_addresses_[name] = port();
      peer_addresses_[name] = port();
      operator_addresses_[name] = port();
      nodes[name] = public_addresses_[name];
    }
    cloud_.set_node_addresses(nodes);
    taken.clear();
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
    setenv("LOG_LEVEL", "error", 1);
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

TEST_F(Loopback, RunsCancelsRefusesAndSurvivesKills) {
  submit("n-0", "req-1", 6);
  wait_done("n-1", "req-1");
  EXPECT_EQ(cloud_.executed_starts(), 6U);
  EXPECT_EQ(ask("n-2", "POST", "/v1/jobs", job("req-1", 6)).status, 200);

  // A known id is answered before the rest of the submission is validated.
  EXPECT_EQ(ask("n-0", "POST", "/v1/jobs", R"({"id":"req-1"})").status, 200);
  EXPECT_EQ(ask("n-0", "POST", "/v1/jobs", "{").status, 400);
  EXPECT_EQ(ask("n-0", "POST", "/v1/jobs", "[]").status, 400);
  EXPECT_EQ(ask("n-0", "POST", "/v1/jobs", R"({"id":"req-2"})").status, 400);
  auto submission_without_stow_s = Json::parse(job("req-2", 1));
  submission_without_stow_s.erase("stow_s");
  EXPECT_EQ(ask("n-0", "POST", "/v1/jobs", submission_without_stow_s.dump()).status, 400);
  submission_without_stow_s["id"] = "req-1";
  EXPECT_EQ(ask("n-0", "POST", "/v1/jobs", submission_without_stow_s.dump()).status, 200)
      << "known, whatever it holds";
  EXPECT_EQ(ask("n-0", "POST", "/v1/jobs", job("req-2", 1, 99)).status, 422);
  EXPECT_EQ(ask("n-0", "GET", "/v1/jobs/req-2").status, 404);
  EXPECT_EQ(ask("n-0", "GET", "/nowhere").status, 404);
  EXPECT_EQ(ask("n-0", "DELETE", "/v1/jobs").status, 405);
  EXPECT_EQ(ask("n-0", "POST", "/agent/beat", "{}").status / 100, 4);
  EXPECT_EQ(ask("n-0", "GET", "/healthz").status, 200);

  submit("n-1", "req-9", 2);  // The fake agents run tasks of this job until they are stopped.
  const auto cancelled = until("n-2", "POST", "/v1/jobs/req-9/withdraw", "",
                               [](int status, const Json&) { return status == 200; });
  EXPECT_EQ(cancelled.at("status"), "withdrawn");
  EXPECT_EQ(Json::parse(ask("n-0", "GET", "/v1/jobs/req-9").body).at("status"), "withdrawn");

  // Gangs and services are accepted unless all tasks together exceed the team's limit of 40 CPUs.
  EXPECT_EQ(ask("n-0", "POST", "/v1/jobs", job("req-5", 6, 8, "gang")).status, 422);
  EXPECT_EQ(ask("n-0", "POST", "/v1/jobs", job("req-5", 6, 8, "service")).status, 422);
  const auto accepted = [](int status, const Json&) { return status == 201; };
  until("n-0", "POST", "/v1/jobs", job("req-5", 3, 8, "gang"), accepted);
  wait_done("n-1", "req-5");
  until("n-0", "POST", "/v1/jobs", job("req-91", 3, 1, "service"), accepted);
  until("n-1", "GET", "/v1/jobs/req-91", "", [](int status, const Json& body) {
    return status == 200 && body.at("status") == "running" && body.at("running") == 3;
  });
  // Operators have an address of their own. A controller that does not lead forwards the request to
  // its own port on the leader's host. Here all controllers share one host, so the request comes
  // back to the same controller, which refuses it.
  int answered = 0;
  for (const auto& [name, address] : operator_addresses_) {
    const auto response = ask_at(address, "GET", "/v1/jobs/req-91/why");
    if (response.status != 200) {
      EXPECT_EQ(response.status, 503);
      continue;
    }
    ++answered;
    EXPECT_EQ(Json::parse(response.body).at("on_machines"), 3);
  }
  EXPECT_EQ(answered, 1);
  EXPECT_EQ(ask("n-0", "GET", "/v1/jobs/req-91/why").status, 404);
  until("n-1", "POST", "/v1/jobs/req-91/withdraw", "",
        [](int status, const Json&) { return status == 200; });

  // Two of the three controllers are killed. The third finishes the job, whether it leads already
  // or has to take over.
  submit("n-2", "req-3", 5);
  kill_node("n-0");
  kill_node("n-1");
  wait_done("n-2", "req-3");
  start("n-0");
  kill_node("n-2");
  submit("n-0", "req-4", 3);
  wait_done("n-0", "req-4");
  wait_done("n-0", "req-1");

  // The history that the killed leaders wrote is intact, and a replay by the core takes the same
  // actions.
  kill_node("n-0");
  std::uint64_t records = 0;
  for (const char* name : {"n-0", "n-1"}) {
    const auto directory = history_of(name);
    const auto [code, text] = history("verify --json " + directory);
    ASSERT_EQ(code, 0) << text;
    records += Json::parse(text).at("records").get<std::uint64_t>();
    const auto [replayed, digests] = history("replay --json " + directory);
    EXPECT_EQ(replayed, 0) << digests;
    const auto [shown, table] = history("show --json --job req-4 " + directory);
    EXPECT_EQ(shown, 0);
    std::filesystem::remove_all(directory);
  }
  EXPECT_GT(records, 0U);  // The last leader is one of these two.
  EXPECT_EQ(history("verify /nowhere").first, 2);
}

}  // namespace
}  // namespace violetpulley
