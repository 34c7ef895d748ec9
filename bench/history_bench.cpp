// What a history costs and what it saves (docs/history.md has the figures). Outside CI:
//   cmake --build build --target violetpulley_history_bench &&
//   build/bench/violetpulley_history_bench
//
// A yard of workers that do at once what they are told stands in for a deployment; it has no
// troubles, since what counts here is size.
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>

#include "agent/agent_codec.hpp"
#include "history/event_log.hpp"

namespace violetpulley {
namespace {

using core::Seconds;
using core::TimePoint;
using history::ActionsRecorded;
using history::Record;
using std::chrono::milliseconds;

double cpu_now() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

double resident_mb() {
  std::ifstream status("/proc/self/statm");
  double total = 0;
  double resident = 0;
  status >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

// Called with each record, when the controller holds it; `between`: actions were just taken.
using Sink = std::function<void(const Record&, core::Controller&, bool between)>;

class Yard {
 public:
  // `digests`: of the actions, which only a history needs.
  Yard(int machines, core::TaskIndex tasks_a_machine, bool digests, Sink sink)
      : tasks_a_machine_(tasks_a_machine), digests_(digests), sink_(std::move(sink)) {
    elected_event_.token = 7;
    elected_event_.settings.teams = {{"t", 0, 0, 0, 0}};
    elected_event_.settings.cloud_calls_per_s = 3;
    elected_event_.former_leases_end = now_ + std::chrono::seconds(60);
    for (int i = 0; i < machines; ++i) {
      char name[16];
      std::snprintf(name, sizeof name, "m-%06d", i);
      elected_event_.recovered.machines.push_back(
          {name, "10.0.0.1:1", "big", i % 2 ? "a" : "b", true, {}});
      auto& worker = workers_[name];
      worker.heartbeat = {name, "10.0.0.1:1", "big", i % 2 ? "a" : "b", true, 1, 0, 7, {}, {}};
      worker.next = now_ + milliseconds(i * 6000 / machines);
    }
    controller_ = core::make_controller(elected_event_, now_);
    elected_at_ = now_;
    sink_({7, now_, core::Event(elected_event_)}, *controller_, false);
    feed(core::CatalogReceived{{{"big", {64, 0, 512}, 60, 1, 3.7, 1.1, Seconds(20), {"a", "b"}}}});
  }

  // Runs until so many records were written.
  void run(std::uint64_t records) {
    while (written_ < records) step();
  }
  void run_for(Seconds length) {
    const auto end = now_ + core::to_duration(length);
    while (now_ < end) step();
  }
  const core::LeaderElected& elected_event() const { return elected_event_; }
  TimePoint elected_at() const { return elected_at_; }
  std::uint64_t written() const { return written_; }
  std::uint64_t jobs_done() const { return jobs_done_; }
  std::size_t tasks_on_machines() const {
    std::size_t sum = 0;
    for (const auto& [id, machine] : controller_->fleet().all()) sum += machine.tasks.size();
    return sum;
  }

 private:
  struct Worker {
    core::Heartbeat heartbeat;
    std::map<core::TaskKey, TimePoint> ends;
    TimePoint next{};
  };

  void feed(core::Event event) {
    core::apply(*controller_, event, now_);
    ++written_;
    sink_({7, now_, std::move(event)}, *controller_, false);
  }

  void step() {
    now_ += milliseconds(100);
    const auto room = workers_.size() * tasks_a_machine_;
    while (open_tasks_ < room) submit();
    for (auto& [id, worker] : workers_)
      if (now_ >= worker.next) {
        worker.next = now_ + std::chrono::seconds(6);
        heartbeat(worker);
      }
    feed(core::Ticked{true, now_});
    const auto actions = controller_->take_actions();
    if (actions.empty()) return;
    ++written_;
    sink_({7, now_, ActionsRecorded{digests_ ? history::digest_of(actions) : 0}}, *controller_,
          true);
    for (const auto& action : actions) std::visit([&](const auto& a) { execute(a); }, action);
  }

  void submit() {
    core::JobRecord record;
    char name[16];
    std::snprintf(name, sizeof name, "req-%06d", ++jobs_);
    record.spec.id = name;
    record.spec.job_class = "tiles";
    record.spec.team = "t";
    record.spec.tasks = 200;
    record.spec.per_task = {1, 0, 4};
    record.spec.image = "i" + std::to_string(jobs_ % 8);
    record.spec.image_gb = 1;
    record.spec.spot_allowed = true;
    record.spec.estimate = Seconds(50 + jobs_ % 20);
    record.revision = 100 + static_cast<core::Revision>(jobs_);
    open_tasks_ += record.spec.tasks;
    feed(core::JobOpened{record});
  }
  void heartbeat(Worker& worker) {
    for (auto& task : worker.heartbeat.tasks) {
      if (task.state == core::TaskState::fetching) task.state = core::TaskState::running;
      if (task.state == core::TaskState::running && now_ >= worker.ends[task.task]) {
        task.state = core::TaskState::exited;
        task.cause = core::ExitCause::done;
      }
    }
    ++worker.heartbeat.heartbeat_sequence;
    feed(core::HeartbeatReceived{worker.heartbeat});
  }
  void execute(const core::SendCommands& batch) {
    auto& worker = workers_.at(batch.machine);
    for (const auto& command : batch.commands) {
      auto& tasks = worker.heartbeat.tasks;
      const auto same = [&](const core::TaskStatus& task) {
        return task.attempt == command.attempt;
      };
      if (command.type == core::CommandType::start &&
          std::none_of(tasks.begin(), tasks.end(), same)) {
        tasks.push_back({command.task, command.attempt, core::TaskState::running, {}, false});
        worker.ends[command.task] = now_ + std::chrono::seconds(60);
      } else if (command.type == core::CommandType::acknowledge) {
        std::erase_if(tasks, same);
        worker.ends.erase(command.task);
      }
    }
    ++worker.heartbeat.heartbeat_sequence;
    feed(core::CommandsAnswered{batch.machine, worker.heartbeat});
  }
  void execute(const core::SaveMachine& save) {
    feed(core::MachineSaved{save.record.id, true, true});
  }
  void execute(const core::SaveProgress& save) { feed(core::ProgressSaved{save, true}); }
  void execute(const core::FinishJob& finish) {
    open_tasks_ -= 200;
    ++jobs_done_;
    feed(core::JobClosed{finish.job});
  }
  template <class Other>
  void execute(const Other&) {}

  core::TaskIndex tasks_a_machine_;
  bool digests_;
  Sink sink_;
  TimePoint now_{std::chrono::hours(1)};
  TimePoint elected_at_{};
  core::LeaderElected elected_event_;
  std::map<core::MachineId, Worker> workers_;
  std::unique_ptr<core::Controller> controller_;
  std::uint64_t written_ = 0;
  std::uint64_t jobs_done_ = 0;
  std::size_t open_tasks_ = 0;
  int jobs_ = 0;
};

std::string fresh_directory() {
  const auto path = std::filesystem::temp_directory_path() /
                    ("violetpulley-history-bench-" + std::to_string(getpid()));
  std::filesystem::remove_all(path);
  return path.string();
}

std::uint64_t size_of(const std::string& path) {
  std::uint64_t sum = 0;
  for (const auto& entry : std::filesystem::directory_iterator(path)) sum += entry.file_size();
  return sum;
}

// Records straight into a log, with or without saves.
class Recorder {
 public:
  Recorder(const std::string& path, std::optional<history::Key> key, bool saves)
      : files_(path, true), saves_(saves) {
    history::LogSettings settings;
    settings.snapshot_interval = Seconds(30);
    log_ = std::make_unique<history::EventLog>(files_, key, settings, history::Contents{}, "bench",
                                               core::WallTime{});
  }
  void operator()(const Record& record, core::Controller& controller, bool between,
                  const core::LeaderElected& elected_event, TimePoint elected_at) {
    const auto written_from = core::Clock::now();
    if (const auto* event = std::get_if<core::Event>(&record.content))
      log_->record(record.token, record.at, *event);
    else
      log_->record_actions(record.token, record.at, std::get<ActionsRecorded>(record.content).digest);
    if (between) log_->flush(record.at);
    writing_ += Seconds(core::Clock::now() - written_from).count();
    if (!between || !saves_) return;
    const auto started_at = cpu_now();
    if (log_->snapshotting())
      log_->continue_snapshot();
    else if (log_->snapshot_due(record.at))
      log_->begin_snapshot(controller, elected_event, elected_at, record.at, core::WallTime{});
    else
      return;
    const auto took = cpu_now() - started_at;
    saving_ += took;
    longest_ = std::max(longest_, took);
  }
  double longest_slice() const { return longest_; }
  double snapshotting() const { return saving_; }
  double writing() const { return writing_; }
  std::uint64_t saves() const { return log_->snapshots_made(); }

 private:
  history::Directory files_;
  bool saves_;
  std::unique_ptr<history::EventLog> log_;
  double longest_ = 0;
  double saving_ = 0;
  double writing_ = 0;  // of records, s
};

// Recovery time and memory by the length of the history.
void recovery(bool saves) {
  for (const std::uint64_t records : {1'000U, 10'000U, 100'000U, 1'000'000U}) {
    const auto path = fresh_directory();
    std::uint64_t jobs = 0;
    {
      Recorder recorder(path, std::nullopt, saves);
      Yard* yard_at = nullptr;
      Yard yard(50, 10, true,
                [&](const Record& record, core::Controller& controller, bool between) {
                  if (yard_at != nullptr)
                    recorder(record, controller, between, yard_at->elected_event(), yard_at->elected_at());
                  else
                    recorder(record, controller, between, {}, {});
                });
      yard_at = &yard;
      yard.run(records);
      jobs = yard.jobs_done();
    }
    const auto bytes = size_of(path);
    const auto before = resident_mb();
    const auto started_at = cpu_now();
    history::Directory files(path, false);
    history::Replay replay;
    const auto contents =
        history::Reader(files, {}).recover(replay, [](const history::CorruptionError&) {});
    std::printf(
        "recovery %s: %8llu records, %8.1f MB on disk, %6.3f s, %6.1f MB more memory, %llu jobs\n",
        saves ? "with saves   " : "without saves",
        static_cast<unsigned long long>(contents.record_count()), static_cast<double>(bytes) / 1e6,
        cpu_now() - started_at, resident_mb() - before, static_cast<unsigned long long>(jobs));
    std::filesystem::remove_all(path);
  }
}

// What reading a report off the wire takes, without the socket and the HTTP around it.
double parse_cost(core::TaskIndex tasks) {
  nlohmann::json cuts = nlohmann::json::array();
  for (core::TaskIndex i = 0; i < tasks; ++i)
    cuts.push_back({{"cut", "req-000412/" + std::to_string(i)},
                    {"try", 117440512 + i},
                    {"status", "running"}});
  const auto body = nlohmann::json{{"rig", "m-000231"},   {"endpoint", "10.1.0.232:9000"},
                                   {"bench", "big"},      {"district", "a"},
                                   {"loaners", true},     {"shift", 1},
                                   {"tally", 88},         {"baton", 7},
                                   {"recall_s", nullptr}, {"cuts", std::move(cuts)}}
                        .dump();
  constexpr int kTimes = 3000;
  const auto started_at = cpu_now();
  for (int i = 0; i < kTimes; ++i)
    if (agent::parse_heartbeat(body).tasks.size() != tasks) std::abort();
  return (cpu_now() - started_at) / kTimes;
}

// The same events with the history off and on, at the size of the largest deployment.
void cost(int machines, core::TaskIndex tasks, Seconds length, std::optional<history::Key> key) {
  double spent[2] = {0, 0};
  std::uint64_t records = 0;
  std::uint64_t jobs = 0;
  std::uint64_t bytes = 0;
  std::size_t on_machines = 0;
  double longest = 0;
  double snapshotting = 0;
  double writing = 0;
  std::uint64_t saves = 0;
  for (const bool on : {false, true}) {
    const auto path = fresh_directory();
    std::unique_ptr<Recorder> recorder;
    if (on) recorder = std::make_unique<Recorder>(path, key, true);
    Yard* yard_at = nullptr;
    Yard yard(
        machines, tasks, on, [&](const Record& record, core::Controller& controller, bool between) {
          static const core::LeaderElected kNone;
          if (recorder)
            (*recorder)(record, controller, between, yard_at != nullptr ? yard_at->elected_event() : kNone,
                        yard_at != nullptr ? yard_at->elected_at() : TimePoint{});
        });
    yard_at = &yard;
    const auto started_at = cpu_now();
    yard.run_for(length);
    spent[on ? 1 : 0] = cpu_now() - started_at;
    records = yard.written();
    jobs = yard.jobs_done();
    on_machines = yard.tasks_on_machines();
    if (recorder) {
      longest = recorder->longest_slice();
      snapshotting = recorder->snapshotting();
      writing = recorder->writing();
      saves = recorder->saves();
      bytes = size_of(path);
    }
    std::filesystem::remove_all(path);
  }
  const double parse = parse_cost(tasks);
  std::printf("reading a report of %u tasks off the wire: %.2f us\n", tasks, parse * 1e6);
  std::printf(
      "cost at %d machines, %zu tasks on them, %s: %llu records, %llu jobs; off %.2f us, on %.2f "
      "us "
      "a record (+%.1f%%), of it writing %.2f us, saves %.2f us; %llu saves, longest slice %.1f "
      "ms; %.1f MB kept\n",
      machines, on_machines, key ? "signed" : "unsigned", static_cast<unsigned long long>(records),
      static_cast<unsigned long long>(jobs), spent[0] / static_cast<double>(records) * 1e6,
      spent[1] / static_cast<double>(records) * 1e6, (spent[1] / spent[0] - 1) * 100,
      writing / static_cast<double>(records) * 1e6,
      snapshotting / static_cast<double>(records) * 1e6, static_cast<unsigned long long>(saves),
      longest * 1e3, static_cast<double>(bytes) / 1e6);
}

}  // namespace
}  // namespace violetpulley

int main(int argc, char**) {
  using namespace violetpulley;
  const auto key = history::parse_key(std::string(64, '5'));
  cost(1700, 59, core::Seconds(120), std::nullopt);
  cost(1700, 59, core::Seconds(120), key);
  cost(1700, 6, core::Seconds(120), std::nullopt);
  if (argc > 1) return 0;  // any argument: the cost alone
  recovery(true);
  recovery(false);
}
