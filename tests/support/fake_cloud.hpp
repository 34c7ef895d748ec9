/// @file
/// In-process fakes of the cloud and of the agent of each machine. They implement the HTTP
/// protocols independently of the code under test. The cloud owns the agents of the machines it has
/// granted.
#pragma once

#include <algorithm>
#include <map>
#include <optional>

#include "support/fake_support.hpp"

namespace violetpulley::fakes {

/// The agent of one machine: sends a heartbeat every 100 ms, executes commands, and runs each task
/// for 100 ms; tasks of jobs whose name begins with req-9 run for 600 s.
class Agent {
 public:
  Agent(asio::io_context& io, std::string id, std::map<std::string, std::string> node_addresses)
      : io_(io),
        id_(std::move(id)),
        node_addresses_(std::move(node_addresses)),
        current_node_(node_addresses_.begin()->first),
        timer_(io),
        server_(io, any_port(), {}, [this](Request&& request, const Responder& respond) {
          receive_commands(Json::parse(request.body), respond);
        }) {
    send_heartbeat();
  }

  /// Number of start commands that began a new attempt.
  std::size_t executed_starts() const { return executed_starts_; }
  /// Whether an attempt of the task is on the machine and has not exited.
  bool runs(const std::string& task) {
    heartbeat_body();  // ends the tasks whose run time is over
    return std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& entry) {
      return entry.first.first == task && entry.second.state != "exited";
    });
  }
  /// Whether an attempt of the task is listed, exited or not.
  bool lists(const std::string& task) const {
    return std::any_of(tasks_.begin(), tasks_.end(),
                       [&](const auto& entry) { return entry.first.first == task; });
  }
  std::uint64_t token() const { return token_; }
  /// All tasks on the machine fail now.
  void fail_tasks() {
    for (auto& [key, task] : tasks_)
      if (task.state != "exited") task = {"exited", "error", task.ends_at};
  }
  /// The machine is back at once without its tasks, in the same epoch.
  void lose_tasks() { tasks_.clear(); }
  /// The heartbeats announce that the cloud takes the machine back after this time.
  void set_reclaim_notice(double seconds) { reclaim_notice_ = seconds; }
  /// Delivers a copy of every command batch with a start that was carried out and answered.
  void repeat_answered_starts() {
    for (const auto& body : std::vector(answered_starts_)) carry_out(body);
  }

 private:
  struct Task {
    std::string state = "fetching";
    std::string cause;
    std::chrono::steady_clock::time_point ends_at{};
  };

  Json heartbeat_body() {
    const auto now = std::chrono::steady_clock::now();
    Json tasks = Json::array();
    for (auto& [key, task] : tasks_) {
      if (task.state != "exited" && now >= task.ends_at) {
        task.state = "exited";
        task.cause = "done";
      }
      Json status{{"cut", key.first}, {"try", key.second}, {"status", task.state}};
      if (!task.cause.empty()) status["cause"] = task.cause;
      tasks.push_back(status);
    }
    return {{"rig", id_},
            {"endpoint", text_of(server_.local_endpoint())},
            {"bench", "small"},
            {"district", "z1"},
            {"loaners", false},
            {"shift", 1},
            {"tally", ++sequence_},
            {"baton", token_},
            {"recall_s", reclaim_notice_ ? Json(*reclaim_notice_) : Json()},
            {"cuts", tasks}};
  }

  void execute(const Json& commands) {
    for (const auto& command : commands) {
      const std::pair key{command.at("cut").get<std::string>(),
                          command.at("try").get<std::uint64_t>()};
      const auto type = command.at("verb").get<std::string>();
      if (type == "start" && !tasks_.contains(key)) {
        ++executed_starts_;
        tasks_[key] = {
            "running", "",
            std::chrono::steady_clock::now() +
                std::chrono::milliseconds(key.first.starts_with("req-9") ? 600'000 : 100)};
      } else if (type == "kill" && tasks_.contains(key) && tasks_[key].state != "exited") {
        tasks_[key].state = "exited";
        tasks_[key].cause = "halted";
      } else if (type == "reap") {
        tasks_.erase(key);
      }
    }
  }

  /// Returns whether the commands were accepted.
  bool carry_out(const Json& body) {
    if (body.at("baton").get<std::uint64_t>() < token_ || body.at("shift") != 1) return false;
    token_ = body.at("baton").get<std::uint64_t>();
    execute(body.at("orders"));
    return true;
  }

  void receive_commands(const Json& body, const Responder& respond) {
    const bool accepted = carry_out(body);
    const auto& commands = body.at("orders");
    const bool has_start = std::any_of(commands.begin(), commands.end(), [](const Json& command) {
      return command.at("verb") == "start";
    });
    if (accepted && has_start) answered_starts_.push_back(body);
    respond({accepted ? 200 : 409, heartbeat_body().dump(), {}});
  }

  void send_heartbeat() {
    client_ = std::make_unique<net::HttpClient>(
        io_, net::parse_endpoint(node_addresses_.at(current_node_)), 1);
    client_->request({"POST", "/agent/beat", heartbeat_body().dump()}, std::chrono::seconds(2),
                     [this](const std::optional<net::Response>& response) {
                       if (response && response->status == 200) {
                         const auto body = Json::parse(response->body);
                         if (body.at("baton").get<std::uint64_t>() >= token_) {
                           token_ = body.at("baton").get<std::uint64_t>();
                           execute(body.at("orders"));
                         }
                       } else {
                         choose_next_node(response);
                       }
                       timer_.expires_after(std::chrono::milliseconds(100));
                       timer_.async_wait([this](const asio::error_code& error) {
                         if (!error) send_heartbeat();
                       });
                     });
  }

  /// Switches to the leader that a 421 response names, otherwise to the next node.
  void choose_next_node(const std::optional<net::Response>& response) {
    if (response && response->status == 421) {
      const auto body = Json::parse(response->body);
      const auto leader = body.value("foreman", std::string());
      if (node_addresses_.contains(leader) && leader != current_node_) {
        current_node_ = leader;
        return;
      }
    }
    auto next = std::next(node_addresses_.find(current_node_));
    current_node_ = next == node_addresses_.end() ? node_addresses_.begin()->first : next->first;
  }

  asio::io_context& io_;
  std::string id_;
  std::map<std::string, std::string> node_addresses_;
  std::string current_node_;
  std::map<std::pair<std::string, std::uint64_t>, Task> tasks_;
  std::vector<Json> answered_starts_;
  std::optional<double> reclaim_notice_;
  std::uint64_t token_ = 0;
  std::uint64_t sequence_ = 0;
  std::size_t executed_starts_ = 0;
  asio::steady_timer timer_;
  net::HttpServer server_;
  std::unique_ptr<net::HttpClient> client_;
};

/// The cloud: offers one machine type in one zone and grants at most six machines at a time.
class Cloud {
 public:
  Cloud(asio::io_context& io, std::map<std::string, std::string> node_addresses)
      : io_(io),
        node_addresses_(std::move(node_addresses)),
        server_(io, any_port(), {},
                [this](Request&& request, const Responder& respond) { route(request, respond); }) {}

  std::string address() const { return text_of(server_.local_endpoint()); }
  void set_node_addresses(std::map<std::string, std::string> node_addresses) {
    node_addresses_ = std::move(node_addresses);
  }
  /// Sum over all agents, including those of returned machines.
  std::size_t executed_starts() const {
    std::size_t total = starts_of_returned_machines_;
    for (const auto& [id, agent] : agents_) total += agent->executed_starts();
    return total;
  }
  /// The agents of the machines that have not been returned, by machine.
  const std::map<std::string, std::unique_ptr<Agent>>& agents() const { return agents_; }

 private:
  static constexpr std::size_t kMaxMachines = 6;

  void route(const Request& request, const Responder& respond) {
    if (request.target == "/catalog")
      return respond({200,
                      R"({"benches":[{"label":"small","cores":8,"gpus":0,"memory_gb":32,
                          "local_gb":20,"fetch_gb_per_s":1.0,"rate":1.0,"spot_price":null,
                          "ready_s":1,"districts":["z1"]}]})",
                      {}});
    if (request.target == "/rentals" && request.method == "POST") {
      const auto body = Json::parse(request.body);
      Json ids = Json::array();
      for (int i = 0; i < body.at("number").get<int>() && agents_.size() < kMaxMachines; ++i) {
        const auto id = "m-" + std::to_string(100000 + ++last_machine_number_);
        agents_[id] = std::make_unique<Agent>(io_, id, node_addresses_);
        ids.push_back(id);
      }
      if (ids.empty()) return respond({503, R"({"error":"no capacity"})", {}});
      return respond({200, Json{{"rigs", ids}}.dump(), {}});
    }
    if (request.target == "/rentals/release") {
      for (const auto& id : Json::parse(request.body).at("rigs")) {
        const auto found = agents_.find(id.get<std::string>());
        if (found == agents_.end()) continue;
        starts_of_returned_machines_ += found->second->executed_starts();
        // The agent may be answering a request, so its destruction is deferred until the
        // request has been answered.
        asio::post(io_, [returned_agent = std::shared_ptr<Agent>(std::move(found->second))] {});
        agents_.erase(found);
      }
      return respond({200, "{}", {}});
    }
    respond({200, R"({"rigs":[],"truncated":false})", {}});
  }

  asio::io_context& io_;
  std::map<std::string, std::string> node_addresses_;
  std::map<std::string, std::unique_ptr<Agent>> agents_;
  std::size_t starts_of_returned_machines_ = 0;
  int last_machine_number_ = 0;
  net::HttpServer server_;
};

}  // namespace violetpulley::fakes
