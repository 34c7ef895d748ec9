// A fleet of thousands of machines with what the small simulation (world.hpp) leaves out and what a
// storm is made of: sockets a controller, counted in and out, refusals when they are gone, a
// worker's one report connection with its 4 s, the next controller after 1 s, 421, and a processor
// that falls behind. Controllers end, machines die, and `ran_twice` is checked at every start.
#pragma once

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <random>

#include "core/controller.hpp"

namespace violetpulley::core::fleet_simulation {

using std::chrono::milliseconds;

struct Plan {
  std::size_t machines = 2000;
  std::size_t nodes = 5;
  std::size_t sockets = 3400;    // of each controller
  milliseconds per_event{0};     // of processor time; 0: none is charged
  bool told_its_sockets = true;  // off: the core shares out far more sockets than there are
  bool closes_lines = true;      // off: a line once opened stays, as it was before
  std::size_t tasks_a_machine = 4;
  double waiting = 0.25;  // more tasks than places, as a part of them
  Seconds run{25};
};

struct Outcome {
  std::size_t killed_by_lease = 0;
  std::size_t started = 0;
  std::size_t done = 0;
  std::size_t peak_sockets = 0;
  std::size_t refused = 0;                 // connections
  std::size_t max_commands_in_flight = 0;  // sent in one second
  std::size_t rented = 0;                  // asked for
  std::size_t returned = 0;
  Seconds recovered{-1};       // from the last takeover on
  ReconciliationCost held_up;  // of the last reckoning
  ReconciliationStats stats;
  Seconds latest_event{0};  // waited for the processor
};

class FleetSimulation {
 public:
  explicit FleetSimulation(Plan plan, std::uint64_t seed = 1)
      : plan_(plan), random_(seed), nodes_(plan.nodes) {
    now_ = TimePoint{} + std::chrono::hours(1);
    for (std::size_t i = 0; i < plan_.machines; ++i) {
      auto& worker = workers_.emplace_back();
      worker.id = "m-" + std::to_string(100000 + i);
      worker.zone = zones_[i % zones_.size()];
      worker.next_report =
          now_ + to_duration(Seconds(between(0, kTimes.heartbeat_interval.count())));
      worker.answered_sent = now_;
      index_[worker.id] = i;
      records_[worker.id] = {worker.id, worker.id, "bench", worker.zone, true, {}};
    }
    const auto tasks = static_cast<double>(plan_.machines * plan_.tasks_a_machine);
    for (int i = 0; i * kTasks < tasks * (1 + plan_.waiting); ++i) submit();
    lead(0);
  }

  void run(Seconds length) {
    const auto end = now_ + to_duration(length);
    while (now_ < end && !::testing::Test::HasFailure()) step();
  }
  // The leader's process ends; the next controller wins the key a little later. `all`: the others
  // end too, and come back after three seconds.
  void end_leader(bool all = false) {
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      if (all || i == leading_) end_node(i);
    const auto next = (leading_ + 1) % nodes_.size();
    later(all ? Seconds(3.4) : Seconds(0.35), [this, next] { lead(next); });
  }
  void kill_machines(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      auto& worker = workers_[(i * 37 + 5) % workers_.size()];
      worker.dead = true;
      worker.tasks.clear();
      hang_up(worker);
    }
  }
  void hang(std::size_t count, Seconds length) {
    for (std::size_t i = 0; i < count; ++i)
      workers_[(i * 41 + 11) % workers_.size()].hangs_until = now_ + to_duration(length);
  }
  void cloud_down(bool down) { cloud_down_ = down; }
  Outcome outcome() {
    note_leader();
    return outcome_;
  }
  std::size_t sockets_now() const { return nodes_[leading_].sockets(); }
  bool recovering() const { return !controller_ || controller_->recovering(); }

 private:
  static constexpr TaskIndex kTasks = 20;  // of a job
  inline static const WorkerTimes kTimes{Seconds(6), Seconds(31), Seconds(51), Seconds(35),
                                         Seconds(4)};
  struct Live {
    Attempt attempt = 0;
    TimePoint ends{};
    bool exited = false;
  };
  struct Worker {
    MachineId id;
    std::string zone;
    bool dead = false;
    TimePoint hangs_until{};
    std::uint64_t epoch = 1;
    std::uint64_t heartbeat_sequence = 0;
    FencingToken token = 0;
    std::size_t node = 0;
    bool connected = false;
    std::uint64_t in_flight = 0;  // number of the report that is not answered; 0: none
    TimePoint next_report{};
    TimePoint answered_sent{};
    std::map<TaskKey, Live> tasks;
  };
  struct Line {
    std::uint64_t used = 0;
    bool busy = false;
  };
  struct Node {
    bool up = true;
    std::size_t reports = 0;  // connections of workers
    std::map<MachineId, Line> lines;
    TimePoint busy_until{};
    std::size_t sockets() const { return reports + lines.size() + kOwn; }
    static constexpr std::size_t kOwn = 40;
  };

  double between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  void later(Seconds delay, std::function<void()> what) {
    events_.emplace(now_ + to_duration(delay), std::move(what));
  }
  // After the leader's processor has come to it; not at all if the leader has ended by then.
  void worked(std::function<void()> what) {
    auto& node = nodes_[leading_];
    node.busy_until = std::max(node.busy_until, now_) + plan_.per_event;
    const Seconds wait = node.busy_until - now_;
    outcome_.latest_event = std::max(outcome_.latest_event, wait);
    later(wait, [this, token = token_, what = std::move(what)] {
      if (controller_ && token_ == token) what();
    });
  }

  void step() {
    now_ += milliseconds(20);
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto at = events_.begin()->first;
      const auto what = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      const auto step_end = std::exchange(now_, std::max(at, now_ - milliseconds(20)));
      what();
      now_ = step_end;
    }
    for (auto& worker : workers_) live(worker);
    if (!controller_ || nodes_[leading_].busy_until > now_) return;
    controller_->tick(now_, true, now_);
    for (auto& action : controller_->take_actions())
      std::visit([&](auto& a) { execute(a); }, action);
    if (outcome_.recovered < Seconds(0) && !controller_->recovering())
      outcome_.recovered = now_ - won_;
  }

  // --- controllers
  void end_node(std::size_t i) {
    if (i == leading_) {
      note_leader();
      controller_.reset();
    }
    nodes_[i] = {};
    nodes_[i].up = false;
    for (auto& worker : workers_)
      if (worker.node == i && worker.connected) {
        worker.connected = false;
        worker.in_flight = 0;
        next_node(worker);
      }
    later(Seconds(3), [this, i] { nodes_[i].up = true; });
  }
  void note_leader() {
    if (!controller_) return;
    outcome_.held_up = controller_->reconciler().cost();
    outcome_.stats = controller_->reconciler().stats();
  }
  void lead(std::size_t node) {
    leading_ = node;
    nodes_[node].up = true;
    token_ = ++revision_;
    won_ = now_;
    outcome_.recovered = Seconds(-1);
    ControllerSettings settings;
    settings.teams = {{"blue", 0, 0, 0, 0}};
    settings.workers = kTimes;
    settings.cloud_calls_per_s = 10;
    settings.sockets = {plan_.told_its_sockets ? plan_.sockets : 1'000'000, plan_.nodes};
    RecoveredState recovered;
    for (const auto& [id, record] : records_) recovered.machines.push_back(record);
    for (const auto& [id, record] : jobs_) recovered.jobs.push_back(record);
    for (const auto& [key, record] : progress_) recovered.progress.push_back(record);
    controller_ = std::make_unique<Controller>(std::move(settings), token_, now_,
                                               now_ + std::chrono::seconds(45), recovered);
    controller_->set_catalog({{"bench", {16, 0, 128}, 60, 0.5, 1.1, 0.39, Seconds(30), zones_}});
  }
  void submit() {
    JobRecord record;
    record.spec.id = "req-" + std::to_string(100000 + jobs_.size());
    record.spec.job_class = "tiles";
    record.spec.team = "blue";
    record.spec.tasks = kTasks;
    record.spec.per_task = {16.0 / static_cast<double>(plan_.tasks_a_machine), 0, 8};
    record.spec.image = "i";
    record.spec.spot_allowed = true;
    record.spec.estimate = plan_.run;
    record.revision = ++revision_;
    jobs_[record.spec.id] = record;
  }

  bool room_for_socket(std::size_t node) {
    if (nodes_[node].sockets() < plan_.sockets) return true;
    ++outcome_.refused;
    return false;
  }
  void note_sockets(std::size_t node) {
    outcome_.peak_sockets = std::max(outcome_.peak_sockets, nodes_[node].sockets());
  }

  // As agent::CommandSender does it.
  void close_lines(std::size_t most) {
    auto& lines = nodes_[leading_].lines;
    while (plan_.closes_lines && lines.size() > most) {
      auto oldest = lines.end();
      for (auto line = lines.begin(); line != lines.end(); ++line)
        if (!line->second.busy &&
            (oldest == lines.end() || line->second.used < oldest->second.used))
          oldest = line;
      if (oldest == lines.end()) return;
      lines.erase(oldest);
    }
  }
  void execute(SendCommands& batch) {
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(now_ - TimePoint{});
    outcome_.max_commands_in_flight =
        std::max(outcome_.max_commands_in_flight, ++orders_in_second_[second.count()]);
    auto& lines = nodes_[leading_].lines;
    const auto most = controller_->commands().shares().commands;
    if (!lines.contains(batch.machine)) {
      close_lines(most - 1);
      if (!room_for_socket(leading_))
        return worked(
            [this, id = batch.machine] { controller_->commands_answered(id, nullptr, now_); });
    }
    auto& line = lines[batch.machine];
    line = {++sends_, true};
    note_sockets(leading_);
    auto& worker = workers_[index_.at(batch.machine)];
    if (worker.dead || now_ < worker.hangs_until) {
      later(batch.commands.empty() ? Seconds(0.7) : Seconds(2.5),
            [this, id = batch.machine, token = token_] { answered(id, token, nullptr); });
      return;
    }
    later(Seconds(between(0.004, 0.02)), [this, batch, token = token_, &worker] {
      if (token >= worker.token && batch.epoch == worker.epoch) {
        worker.token = token;
        for (const auto& command : batch.commands) execute(worker, command);
      }
      const auto heartbeat = heartbeat_of(worker);
      later(Seconds(between(0.002, 0.01)),
            [this, token, heartbeat] { answered(heartbeat.machine, token, &heartbeat); });
    });
  }
  void answered(const MachineId& id, FencingToken token, const Heartbeat* heartbeat) {
    if (!controller_ || token != token_) return;
    if (const auto line = nodes_[leading_].lines.find(id); line != nodes_[leading_].lines.end())
      line->second.busy = false;
    close_lines(controller_->commands().shares().commands);
    worked([this, id, copy = heartbeat ? std::optional(*heartbeat) : std::nullopt] {
      controller_->commands_answered(id, copy ? &*copy : nullptr, now_);
    });
  }
  void execute(SaveMachine& save) {
    records_[save.record.id] = save.record;
    controller_->machine_saved(save.record.id, !save.record.endpoint.empty(), true);
  }
  void execute(DeleteMachine& gone) { records_.erase(gone.id); }
  void execute(SaveProgress& save) {
    progress_[{save.record.job, save.record.chunk}] = save.record;
    controller_->progress_saved(save, true);
  }
  void execute(FinishJob& finish) {
    jobs_.erase(finish.job);
    std::erase_if(progress_, [&](const auto& e) { return e.first.first == finish.job; });
    controller_->job_closed(finish.job, now_);
  }
  void execute(ScaleOut& rent) {
    outcome_.rented += static_cast<std::size_t>(rent.count);
    controller_->scale_out_answered(rent.name, {ScaleOutResult::Kind::no_capacity, {}}, now_);
  }
  void execute(ScaleIn& release) {
    later(Seconds(0.2), [this, machines = release.machines, token = token_] {
      if (!controller_ || token != token_) return;
      if (!cloud_down_)
        for (const auto& id : machines) {
          auto& worker = workers_[index_.at(id)];
          worker.dead = true;
          worker.tasks.clear();
          hang_up(worker);
          nodes_[leading_].lines.erase(id);
          ++outcome_.returned;
        }
      controller_->scale_in_answered(machines, !cloud_down_, now_);
      if (!cloud_down_)
        for (const auto& id : machines) records_.erase(id);
    });
  }
  template <typename Other>
  void execute(Other&) {}

  // --- workers
  void hang_up(Worker& worker) {
    if (worker.connected) --nodes_[worker.node].reports;
    worker.connected = false;
    worker.in_flight = 0;
  }
  void next_node(Worker& worker) {
    worker.node = (worker.node + 1) % nodes_.size();
    worker.next_report = now_ + std::chrono::seconds(1);
  }
  void execute(Worker& worker, const Command& command) {
    const auto found = worker.tasks.find(command.task);
    const bool known = found != worker.tasks.end() && found->second.attempt == command.attempt;
    if (command.type == CommandType::acknowledge && known) worker.tasks.erase(found);
    if (command.type == CommandType::stop && known) found->second.exited = true;
    if (command.type != CommandType::start || found != worker.tasks.end()) return;
    const auto [elsewhere, only] = on_.try_emplace(command.task, worker.id);
    if (!only && elsewhere->second != worker.id) {
      const auto& other = workers_[index_.at(elsewhere->second)];
      const auto there = other.tasks.find(command.task);
      ASSERT_TRUE(there == other.tasks.end() || there->second.exited)
          << "ran_twice " << command.task.job << "/" << command.task.index;
    }
    elsewhere->second = worker.id;
    ++outcome_.started;
    worker.tasks[command.task] = {command.attempt,
                                  now_ + to_duration(plan_.run * between(0.7, 1.3)), false};
  }
  Heartbeat heartbeat_of(Worker& worker) {
    Heartbeat heartbeat{worker.id,
                        worker.id,
                        "bench",
                        worker.zone,
                        true,
                        worker.epoch,
                        ++worker.heartbeat_sequence,
                        worker.token,
                        {},
                        {}};
    for (const auto& [key, task] : worker.tasks)
      heartbeat.tasks.push_back({key, task.attempt,
                                 task.exited ? TaskState::exited : TaskState::running,
                                 task.exited ? ExitCause::done : ExitCause::none});
    return heartbeat;
  }
  void live(Worker& worker) {
    if (worker.dead) return;
    if (now_ - worker.answered_sent > to_duration(kTimes.lease)) {
      for (const auto& [key, task] : worker.tasks) outcome_.killed_by_lease += task.exited ? 0 : 1;
      worker.tasks.clear();
      ++worker.epoch;
      worker.answered_sent = now_;
    }
    if (now_ < worker.hangs_until) return;
    for (auto& [key, task] : worker.tasks)
      if (!task.exited && now_ >= task.ends) {
        task.exited = true;
        ++outcome_.done;
        worker.next_report = std::min(worker.next_report, now_ + milliseconds(500));
      }
    if (worker.in_flight == 0 && now_ >= worker.next_report) send_report(worker);
  }
  void send_report(Worker& worker) {
    auto& node = nodes_[worker.node];
    if (!worker.connected) {
      if (!node.up || !room_for_socket(worker.node)) return next_node(worker);
      worker.connected = true;
      ++node.reports;
      note_sockets(worker.node);
    }
    worker.next_report = now_ + to_duration(kTimes.heartbeat_interval * between(0.75, 1.25));
    if (worker.node != leading_ || !controller_) {
      const auto from = worker.node;
      hang_up(worker);
      if (!controller_ || from == leading_) return next_node(worker);
      worker.node = leading_;
      worker.next_report = now_ + to_duration(Seconds(between(0, 0.5)));
      return;
    }
    const auto number = worker.in_flight = ++reports_;
    const auto sent = now_;
    const auto heartbeat = heartbeat_of(worker);
    worked([this, &worker, number, sent, heartbeat] {
      controller_->heartbeat(heartbeat, now_);
      if (worker.in_flight != number) return;
      const bool keeps = nodes_[leading_].reports <= controller_->commands().shares().heartbeats;
      worker.in_flight = 0;
      if (!keeps) hang_up(worker);
      if (token_ > worker.token) worker.next_report = now_ + milliseconds(500);
      worker.token = token_;
      worker.answered_sent = sent;
      if (worker.epoch == heartbeat.epoch)
        for (const auto& command : controller_->response_commands(heartbeat))
          execute(worker, command);
    });
    later(Seconds(4), [this, &worker, number] {
      if (worker.in_flight != number) return;
      hang_up(worker);
      next_node(worker);
    });
  }

  Plan plan_;
  std::mt19937_64 random_;
  TimePoint now_{};
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<std::string> zones_{"a", "b", "c", "d"};
  std::deque<Worker> workers_;
  std::unordered_map<MachineId, std::size_t> index_;
  std::vector<Node> nodes_;
  std::size_t leading_ = 0;
  std::unique_ptr<Controller> controller_;
  FencingToken token_ = 0;
  TimePoint won_{};
  Revision revision_ = 0;
  std::map<MachineId, MachineRecord> records_;
  std::map<JobId, JobRecord> jobs_;
  std::map<std::pair<JobId, TaskIndex>, ProgressRecord> progress_;
  std::map<TaskKey, MachineId> on_;
  std::map<std::int64_t, std::size_t> orders_in_second_;
  std::uint64_t sends_ = 0;
  std::uint64_t reports_ = 0;
  bool cloud_down_ = false;
  Outcome outcome_;
};

}  // namespace violetpulley::core::fleet_simulation
