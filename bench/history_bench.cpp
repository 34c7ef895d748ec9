// Measures the overhead of recording a history, and the time and memory of recovery from it
// (docs/history.md has the figures). Not run by CI:
//   cmake --build build --target violetpulley_history_bench &&
//   build/bench/violetpulley_history_bench
//
// The simulated agents execute commands at once and without faults, because only the size of the
// deployment matters here.
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

double cpu_seconds() {
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

// Called with each record after the controller applied it. `actions_taken` is true for the record
// that follows `take_actions`; only then may a snapshot start.
using RecordCallback = std::function<void(const Record&, core::Controller&, bool actions_taken)>;

class SimulatedCluster {
 public:
  // `compute_digests`: whether to compute the digests of actions, which only a history needs.
  SimulatedCluster(int machines, core::TaskIndex tasks_per_machine, bool compute_digests,
                   RecordCallback on_record)
      : tasks_per_machine_(tasks_per_machine),
        compute_digests_(compute_digests),
        on_record_(std::move(on_record)) {
    elected_event_.token = 7;
    elected_event_.settings.teams = {{"t", 0, 0, 0, 0}};
    elected_event_.settings.cloud_calls_per_s = 3;
    elected_event_.former_leases_end = now_ + std::chrono::seconds(60);
    for (int i = 0; i < machines; ++i) {
      char name[16];
      std::snprintf(name, sizeof name, "m-%06d", i);
      elected_event_.recovered.machines.push_back(
          {name, "10.0.0.1:1", "big", i % 2 ? "a" : "b", true, {}});
      auto& agent = agents_[name];
      agent.heartbeat = {name, "10.0.0.1:1", "big", i % 2 ? "a" : "b", true, 1, 0, 7, {}, {}};
      agent.next_heartbeat_at = now_ + milliseconds(i * 6000 / machines);
    }
    controller_ = core::make_controller(elected_event_, now_);
    elected_at_ = now_;
    on_record_({7, now_, core::Event(elected_event_)}, *controller_, false);
    apply_event(
        core::CatalogReceived{{{"big", {64, 0, 512}, 60, 1, 3.7, 1.1, Seconds(20), {"a", "b"}}}});
  }

  // Runs until `records` records were written.
  void run(std::uint64_t records) {
    while (record_count_ < records) step();
  }
  void run_for(Seconds duration) {
    const auto end = now_ + core::to_duration(duration);
    while (now_ < end) step();
  }
  const core::LeaderElected& elected_event() const { return elected_event_; }
  TimePoint elected_at() const { return elected_at_; }
  std::uint64_t record_count() const { return record_count_; }
  std::uint64_t jobs_done() const { return jobs_done_; }
  std::size_t tasks_on_machines() const {
    std::size_t total = 0;
    for (const auto& [id, machine] : controller_->fleet().all()) total += machine.tasks.size();
    return total;
  }

 private:
  struct Agent {
    core::Heartbeat heartbeat;
    std::map<core::TaskKey, TimePoint> end_times;
    TimePoint next_heartbeat_at{};
  };

  void apply_event(core::Event event) {
    core::apply(*controller_, event, now_);
    ++record_count_;
    on_record_({7, now_, std::move(event)}, *controller_, false);
  }

  void step() {
    now_ += milliseconds(100);
    const auto max_open_tasks = agents_.size() * tasks_per_machine_;
    while (open_tasks_ < max_open_tasks) submit_job();
    for (auto& [id, agent] : agents_)
      if (now_ >= agent.next_heartbeat_at) {
        agent.next_heartbeat_at = now_ + std::chrono::seconds(6);
        send_heartbeat(agent);
      }
    apply_event(core::Ticked{true, now_});
    const auto actions = controller_->take_actions();
    if (actions.empty()) return;
    ++record_count_;
    on_record_({7, now_, ActionsRecorded{compute_digests_ ? history::digest_of(actions) : 0}},
               *controller_, true);
    for (const auto& action : actions) std::visit([&](const auto& a) { execute(a); }, action);
  }

  void submit_job() {
    core::JobRecord record;
    char name[16];
    std::snprintf(name, sizeof name, "req-%06d", ++submitted_jobs_);
    record.spec.id = name;
    record.spec.job_class = "tiles";
    record.spec.team = "t";
    record.spec.tasks = 200;
    record.spec.per_task = {1, 0, 4};
    record.spec.image = "i" + std::to_string(submitted_jobs_ % 8);
    record.spec.image_gb = 1;
    record.spec.spot_allowed = true;
    record.spec.estimate = Seconds(50 + submitted_jobs_ % 20);
    record.revision = 100 + static_cast<core::Revision>(submitted_jobs_);
    open_tasks_ += record.spec.tasks;
    apply_event(core::JobOpened{record});
  }
  void send_heartbeat(Agent& agent) {
    for (auto& task : agent.heartbeat.tasks) {
      if (task.state == core::TaskState::fetching) task.state = core::TaskState::running;
      if (task.state == core::TaskState::running && now_ >= agent.end_times[task.task]) {
        task.state = core::TaskState::exited;
        task.cause = core::ExitCause::done;
      }
    }
    ++agent.heartbeat.heartbeat_sequence;
    apply_event(core::HeartbeatReceived{agent.heartbeat});
  }
  void execute(const core::SendCommands& batch) {
    auto& agent = agents_.at(batch.machine);
    for (const auto& command : batch.commands) {
      auto& tasks = agent.heartbeat.tasks;
      const auto is_same_attempt = [&](const core::TaskStatus& task) {
        return task.attempt == command.attempt;
      };
      if (command.type == core::CommandType::start &&
          std::none_of(tasks.begin(), tasks.end(), is_same_attempt)) {
        tasks.push_back({command.task, command.attempt, core::TaskState::running, {}, false});
        agent.end_times[command.task] = now_ + std::chrono::seconds(60);
      } else if (command.type == core::CommandType::acknowledge) {
        std::erase_if(tasks, is_same_attempt);
        agent.end_times.erase(command.task);
      }
    }
    ++agent.heartbeat.heartbeat_sequence;
    apply_event(core::CommandsAnswered{batch.machine, agent.heartbeat});
  }
  void execute(const core::SaveMachine& save) {
    apply_event(core::MachineSaved{save.record.id, true, true});
  }
  void execute(const core::SaveProgress& save) { apply_event(core::ProgressSaved{save, true}); }
  void execute(const core::FinishJob& finish) {
    open_tasks_ -= 200;
    ++jobs_done_;
    apply_event(core::JobClosed{finish.job});
  }
  template <class OtherAction>
  void execute(const OtherAction&) {}

  core::TaskIndex tasks_per_machine_;
  bool compute_digests_;
  RecordCallback on_record_;
  TimePoint now_{std::chrono::hours(1)};
  TimePoint elected_at_{};
  core::LeaderElected elected_event_;
  std::map<core::MachineId, Agent> agents_;
  std::unique_ptr<core::Controller> controller_;
  std::uint64_t record_count_ = 0;
  std::uint64_t jobs_done_ = 0;
  std::size_t open_tasks_ = 0;
  int submitted_jobs_ = 0;
};

std::string new_directory() {
  const auto path = std::filesystem::temp_directory_path() /
                    ("violetpulley-history-bench-" + std::to_string(getpid()));
  std::filesystem::remove_all(path);
  return path.string();
}

std::uint64_t directory_size(const std::string& path) {
  std::uint64_t total = 0;
  for (const auto& entry : std::filesystem::directory_iterator(path)) total += entry.file_size();
  return total;
}

// Writes records to an event log, with or without snapshots.
class LogRecorder {
 public:
  LogRecorder(const std::string& path, std::optional<history::Key> key, bool with_snapshots)
      : files_(path, true), with_snapshots_(with_snapshots) {
    history::LogSettings settings;
    settings.snapshot_interval = Seconds(30);
    log_ = std::make_unique<history::EventLog>(files_, key, settings, history::Contents{}, "bench",
                                               core::WallTime{});
  }
  void operator()(const Record& record, core::Controller& controller, bool actions_taken,
                  const core::LeaderElected& elected_event, TimePoint elected_at) {
    const auto write_started_at = core::Clock::now();
    if (const auto* event = std::get_if<core::Event>(&record.content))
      log_->record(record.token, record.at, *event);
    else
      log_->record_actions(record.token, record.at,
                           std::get<ActionsRecorded>(record.content).digest);
    if (actions_taken) log_->flush(record.at);
    write_s_ += Seconds(core::Clock::now() - write_started_at).count();
    if (!actions_taken || !with_snapshots_) return;
    const auto started_at = cpu_seconds();
    if (log_->snapshotting())
      log_->continue_snapshot();
    else if (log_->snapshot_due(record.at))
      log_->begin_snapshot(controller, elected_event, elected_at, record.at, core::WallTime{});
    else
      return;
    const auto cpu_s = cpu_seconds() - started_at;
    snapshot_cpu_s_ += cpu_s;
    longest_slice_s_ = std::max(longest_slice_s_, cpu_s);
  }
  double longest_slice_s() const { return longest_slice_s_; }
  double snapshot_cpu_s() const { return snapshot_cpu_s_; }
  double write_s() const { return write_s_; }
  std::uint64_t snapshots() const { return log_->snapshots_made(); }

 private:
  history::Directory files_;
  bool with_snapshots_;
  std::unique_ptr<history::EventLog> log_;
  double longest_slice_s_ = 0;
  double snapshot_cpu_s_ = 0;
  double write_s_ = 0;
};

// Measures time and memory of recovery for histories of increasing length.
void measure_recovery(bool with_snapshots) {
  for (const std::uint64_t records : {1'000U, 10'000U, 100'000U, 1'000'000U}) {
    const auto path = new_directory();
    std::uint64_t jobs = 0;
    {
      LogRecorder recorder(path, std::nullopt, with_snapshots);
      SimulatedCluster* cluster_ptr = nullptr;
      SimulatedCluster cluster(
          50, 10, true,
          [&](const Record& record, core::Controller& controller, bool actions_taken) {
            if (cluster_ptr != nullptr)
              recorder(record, controller, actions_taken, cluster_ptr->elected_event(),
                       cluster_ptr->elected_at());
            else
              recorder(record, controller, actions_taken, {}, {});
          });
      cluster_ptr = &cluster;
      cluster.run(records);
      jobs = cluster.jobs_done();
    }
    const auto bytes = directory_size(path);
    const auto resident_mb_before = resident_mb();
    const auto started_at = cpu_seconds();
    history::Directory files(path, false);
    history::Replay replay;
    const auto contents =
        history::Reader(files, {}).recover(replay, [](const history::CorruptionError&) {});
    std::printf(
        "recovery %s: %8llu records, %8.1f MB on disk, %6.3f s, %6.1f MB more memory, %llu jobs\n",
        with_snapshots ? "with saves   " : "without saves",
        static_cast<unsigned long long>(contents.record_count()), static_cast<double>(bytes) / 1e6,
        cpu_seconds() - started_at, resident_mb() - resident_mb_before,
        static_cast<unsigned long long>(jobs));
    std::filesystem::remove_all(path);
  }
}

// CPU time to parse the JSON body of a heartbeat, without socket and HTTP.
double measure_heartbeat_parsing(core::TaskIndex tasks) {
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
  constexpr int kIterations = 3000;
  const auto started_at = cpu_seconds();
  for (int i = 0; i < kIterations; ++i)
    if (agent::parse_heartbeat(body).tasks.size() != tasks) std::abort();
  return (cpu_seconds() - started_at) / kIterations;
}

// Measures the CPU time per record without and with a history; `main` passes the size of the
// largest deployment.
void measure_overhead(int machines, core::TaskIndex tasks, Seconds duration,
                      std::optional<history::Key> key) {
  double cpu_s[2] = {0, 0};
  std::uint64_t records = 0;
  std::uint64_t jobs = 0;
  std::uint64_t bytes = 0;
  std::size_t tasks_on_machines = 0;
  double longest_slice_s = 0;
  double snapshot_cpu_s = 0;
  double write_s = 0;
  std::uint64_t snapshots = 0;
  for (const bool enabled : {false, true}) {
    const auto path = new_directory();
    std::unique_ptr<LogRecorder> recorder;
    if (enabled) recorder = std::make_unique<LogRecorder>(path, key, true);
    SimulatedCluster* cluster_ptr = nullptr;
    SimulatedCluster cluster(
        machines, tasks, enabled,
        [&](const Record& record, core::Controller& controller, bool actions_taken) {
          static const core::LeaderElected kNoElectedEvent;
          if (recorder)
            (*recorder)(record, controller, actions_taken,
                        cluster_ptr != nullptr ? cluster_ptr->elected_event() : kNoElectedEvent,
                        cluster_ptr != nullptr ? cluster_ptr->elected_at() : TimePoint{});
        });
    cluster_ptr = &cluster;
    const auto started_at = cpu_seconds();
    cluster.run_for(duration);
    cpu_s[enabled ? 1 : 0] = cpu_seconds() - started_at;
    records = cluster.record_count();
    jobs = cluster.jobs_done();
    tasks_on_machines = cluster.tasks_on_machines();
    if (recorder) {
      longest_slice_s = recorder->longest_slice_s();
      snapshot_cpu_s = recorder->snapshot_cpu_s();
      write_s = recorder->write_s();
      snapshots = recorder->snapshots();
      bytes = directory_size(path);
    }
    std::filesystem::remove_all(path);
  }
  const double parse_s = measure_heartbeat_parsing(tasks);
  std::printf("reading a report of %u tasks off the wire: %.2f us\n", tasks, parse_s * 1e6);
  std::printf(
      "overhead at %d machines, %zu tasks on them, %s: %llu records, %llu jobs; off %.2f us, on "
      "%.2f us a record (+%.1f%%), of which writing %.2f us, saves %.2f us; %llu saves, longest "
      "slice %.1f ms; %.1f MB on disk\n",
      machines, tasks_on_machines, key ? "signed" : "unsigned",
      static_cast<unsigned long long>(records), static_cast<unsigned long long>(jobs),
      cpu_s[0] / static_cast<double>(records) * 1e6, cpu_s[1] / static_cast<double>(records) * 1e6,
      (cpu_s[1] / cpu_s[0] - 1) * 100, write_s / static_cast<double>(records) * 1e6,
      snapshot_cpu_s / static_cast<double>(records) * 1e6,
      static_cast<unsigned long long>(snapshots), longest_slice_s * 1e3,
      static_cast<double>(bytes) / 1e6);
}

}  // namespace
}  // namespace violetpulley

int main(int argc, char**) {
  using namespace violetpulley;
  const auto key = history::parse_key(std::string(64, '5'));
  measure_overhead(1700, 59, core::Seconds(120), std::nullopt);
  measure_overhead(1700, 59, core::Seconds(120), key);
  measure_overhead(1700, 6, core::Seconds(120), std::nullopt);
  if (argc > 1) return 0;  // any argument: only the overhead
  measure_recovery(true);
  measure_recovery(false);
}
