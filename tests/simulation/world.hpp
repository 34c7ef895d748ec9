// A seeded simulation of the core: an in-memory store, cloud, workers and users, with crashes,
// takeovers, cut-off leaders that go on for a while, delayed and repeated commands, lost answers,
// late writes, hangs, lease expiry, sick machines and spot notices. Every rule is checked after
// each step.
#pragma once

#include <gtest/gtest.h>

#include <random>
#include <sstream>

#include "core/events.hpp"
#include "core/failover/leadership.hpp"
#include "history/digest.hpp"

namespace violetpulley::core::simulated {

using std::chrono::milliseconds;

inline const WorkerTimes kTimes{Seconds(3), Seconds(27), Seconds(47), Seconds(35), Seconds(4)};
inline constexpr milliseconds kStep{100};
inline constexpr TimePoint kBegin = TimePoint{} + std::chrono::hours(1);
inline constexpr milliseconds kSlowest{4200};  // news of a slow state service come so much later

struct LiveTask {
  Attempt attempt = 0;
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;
  TimePoint ready{};
  TimePoint ends{};
  TimePoint began{};  // running, or waiting for its gang
  bool stored = false;
};

// One attempt of a gang, whose tasks find each other across machines.
struct GangRun {
  bool running = false;
  TimePoint began{};
  TimePoint ends{};
  std::optional<TimePoint> broken;  // a task is gone: the others notice a little later
  std::optional<TimePoint> first_stop;
  std::size_t told = 0;  // in time to save
};

struct Worker {
  MachineId id;
  std::string type;
  std::string zone;
  bool spot = false;
  bool gone = false;
  bool sick = false;
  TimePoint up_at{};
  TimePoint hangs_until{};
  TimePoint inbound_partition_until{};   // its reports arrive; nothing that it is told does
  TimePoint outbound_partition_until{};  // it reaches no controller, and answers what it is told
  bool follows_stale = false;  // it reports to a leader that has lost the store and its siblings
  int lives = 1;               // of the machine: each has an endpoint of its own
  std::uint64_t epoch = 1;
  std::uint64_t heartbeat_sequence = 0;
  FencingToken token = 0;
  TimePoint answered_sent{};
  TimePoint next_report{};
  std::optional<TimePoint> taken_at;
  std::map<std::pair<TaskKey, Attempt>, LiveTask> tasks;
  std::set<std::string> images;
};

struct StoredJob {
  JobRecord record;
};

struct LeaderProcess {
  std::unique_ptr<Controller> controller;
  Leadership leadership;
  FencingToken token = 0;
  bool cut = false;            // from the store, and from the workers on the far side
  bool keeps_workers = false;  // it has lost the store and the others, and no worker
  std::set<MachineId> far_side;
};

struct Observer {
  std::function<void(FencingToken, TimePoint, const Event&)> event;
  std::function<void(FencingToken, TimePoint, const std::vector<Action>&, Controller&)> actions;
};

class World {
 public:
  explicit World(std::uint64_t seed) : random_(seed) {
    now_ = kBegin;
    MachineType small{"small", {8, 0, 32}, 20, 0.6, 0.4, 0.1, Seconds(8), {"a", "b"}};
    MachineType large{"large", {32, 0, 256}, 20, 0.3, 2.0, 0.6, Seconds(6), {"a"}};
    types_ = {small, large};
    teams_ = {{"blue", 20, 40, 0, 0}, {"red", 0, 24, 0, 0}};
    for (int i = 0; i < 3; ++i) boot("small", i % 2 == 0 ? "a" : "b", false, now_);
    take_over();
  }

  void run(Seconds length) {
    const auto end = now_ + to_duration(length);
    while (now_ < end && !::testing::Test::HasFailure()) step();
  }

  void quiet() {
    troubles_ = false;
    quiet_at_ = now_;
  }
  // The troubles that operators met later, beside the others; their chances are drawn apart, so
  // that the worlds without them stay what they were.
  void operators_troubles(std::uint64_t seed) {
    operators_ = true;
    more_random_.seed(seed * 7919 + 17);
  }
  // Troubles that meet (docs/combined-failures.md): the leader is refused alone while others confirm
  // cancellations, then the state service is down for all, its end brings the key back before the
  // news; writes without an answer are carried out late.
  void meetings(std::uint64_t seed) {
    operators_troubles(seed);
    meetings_ = true;
  }
  // Further meetings: machines that are mute, some, a zone or all; a zone that is cut off for
  // longer than a lease; all controllers away for longer than a lease; leaders that end one after
  // the other; jobs called off at once whose machines hang.
  void further_meetings(std::uint64_t seed) {
    meetings(seed);
    further_ = true;
  }
  std::size_t outbound_partitions() const { return outbound_partitions_; }
  std::size_t cuts() const { return cuts_; }
  std::size_t absences() const { return absences_; }
  std::size_t chains() const { return chains_; }
  std::size_t calls_off() const { return calls_off_; }
  // Longest time, since the last trouble, for which a task of an array or a service waited beside a
  // machine that fits, has room and works, its team being under its limit. Looked up in the world
  // itself, not in the controller's books.
  Seconds longest_beside_room() const { return longest_beside_room_; }
  const std::string& beside_room() const { return beside_room_; }
  bool in_gap() const { return outage_ || refused_ || changes_stalled_; }
  std::size_t gaps() const { return gaps_; }
  std::size_t late_writes() const { return late_writes_; }
  Seconds longest_cancelled() const { return longest_cancelled_; }
  std::size_t late_copies() const { return late_copies_; }
  std::size_t inbound_partitions() const { return inbound_partitions_; }
  std::size_t came_back() const { return came_back_; }
  std::size_t kept_workers() const { return kept_workers_; }
  // Every accepted job, each by itself: one that the leader does not know would be forgotten.
  void expect_all_known() const {
    ASSERT_NE(leader_, nullptr);
    for (const auto& [id, job] : jobs_)
      EXPECT_TRUE(leader_->controller->jobs().contains(id)) << "forgotten " << id;
  }
  // Told of what enters the newest leader, and of what it asks for, as a history would be.
  void watch(Observer observer) {
    observer_ = std::move(observer);
    lead_no_more();
    take_over();
  }
  // Leaders commit starts of gangs and services before they send them: all, or two of three.
  void commit_starts(bool always) {
    commits_ = true;
    commits_always_ = always;
  }
  std::size_t marks() const { return marks_; }
  // From here on leaders hand their beliefs on.
  void keep_learned_state() { believes_ = true; }
  std::size_t open_jobs() const { return jobs_.size(); }
  // Replicas that should run and do not.
  std::size_t missing_replicas() const {
    std::size_t missing = 0;
    for (const auto& [id, job] : jobs_)
      if (job.record.spec.shape == Shape::service) missing += job.record.spec.tasks;
    for (const auto& [id, worker] : workers_)
      for (const auto& [key, task] : worker.tasks)
        if (task.state == TaskState::running && jobs_.contains(key.first.job) &&
            specs_.at(key.first.job).shape == Shape::service)
          --missing;
    return missing;
  }
  void cancel_services() {
    std::vector<JobId> ids;
    for (const auto& [id, job] : jobs_)
      if (job.record.spec.shape == Shape::service) ids.push_back(id);
    for (const auto& id : ids) cancel(id);
  }
  std::size_t finished_jobs() const { return done_.size(); }
  std::size_t takeovers() const { return takeovers_; }
  std::size_t gang_starts() const { return gang_starts_; }
  std::size_t saves() const { return saves_; }
  // Of all actions of all leaders: equal before and after a change that is to change no decision.
  std::uint64_t actions_digest() const { return actions_digest_.value(); }
  std::string state() const {
    std::string text = leader_ ? leader_->controller->summary() : "no leader";
    for (const auto& [id, job] : jobs_) {
      const auto& spec = job.record.spec;
      text += "\n" + id + " team " + spec.team + " tasks " + std::to_string(spec.tasks) + " cpus " +
              std::to_string(spec.per_task.cpus) + (spec.spot_allowed ? " spot" : "") + " zone " +
              spec.zone.value_or("-") + (spec.types.empty() ? "" : " type " + spec.types[0]);
    }
    return text;
  }

 private:
  bool chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  double between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  bool more_chance(double probability) {
    return operators_ && troubles_ && more_between(0, 1) < probability;
  }
  double more_between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(more_random_);
  }
  void later(Seconds delay, std::function<void()> what) {
    events_.emplace(now_ + to_duration(delay), std::move(what));
  }
  const MachineType& type(const std::string& name) const {
    return name == "small" ? types_[0] : types_[1];
  }

  void step() {
    now_ += kStep;
    while (!events_.empty() && events_.begin()->first <= now_) {
      auto what = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      what();
    }
    if (troubles_) trouble();
    if (troubles_ && operators_) more_trouble();
    if (troubles_ && further_) further_trouble();
    users();
    for (auto& [id, worker] : workers_) live(worker);
    gangs();
    for (auto* leader : {&leader_, &stale_})
      if (leader->get() != nullptr) drive(**leader);
    if (leader_ == nullptr && now_ >= next_takeover_) take_over();
    check();
    if (further_ && quiet_at_) {
      if (troubled())
        beside_.clear();
      else
        check_waiting();
    }
  }

  // --- leaders
  void take_over() {
    if (outage_) return;
    refused_ = changes_stalled_ = false;
    unheard_.clear();
    ++takeovers_;
    ++revision_;
    leader_token_ = revision_;
    took_over_ = now_;
    leader_ = std::make_unique<LeaderProcess>(
        LeaderProcess{nullptr, Leadership(kTimes, milliseconds(25)), revision_, false, false, {}});
    leader_->leadership.won(revision_, 1, now_);
    leader_->leadership.record_read_barrier(now_);
    RecoveredState recovered;
    for (const auto& [id, record] : machine_records_) recovered.machines.push_back(record);
    for (const auto& [id, job] : jobs_) recovered.jobs.push_back(job.record);
    for (const auto& [key, record] : progress_) recovered.progress.push_back(record);
    // With `commits_` leaders differ in whether they record starts; one that does not takes the
    // mark.
    Tuning tuning;
    tuning.commit_starts = commits_ && (commits_always_ || takeovers_ % 3 != 0);
    if (!tuning.commit_starts) placements_marked_ = false;
    recovered.placements_marked = placements_marked_;
    for (const auto& [id, record] : placements_) recovered.placements.push_back(record);
    ControllerSettings settings{
        teams_,
        kTimes,
        tuning,
        2.0,
        Seconds(10),
        {{"c0", Seconds(60)}},
        {{"c1", 1.75}},
        WallTime(std::chrono::duration_cast<milliseconds>(now_.time_since_epoch())),
        !isolated_at_ || now_ - *isolated_at_ > std::chrono::minutes(3)};
    recovered.learned_state = learned_state_;
    const LeaderElected event{settings, leader_->token, leader_->leadership.former_leases_end(now_),
                              recovered};
    leader_->controller = make_controller(event, now_);
    if (observer_.event) observer_.event(leader_->token, now_, event);
    feed(*leader_, CatalogKnown{types_});
    // The other controllers say that they follow, unless one of them still leads behind a cut.
    if (chance(0.5))
      later(Seconds(between(0.1, 3)), [this, token = leader_->token] {
        if (leader_ && leader_->token == token && !stale_) feed(*leader_, FormerLeadersGone{});
      });
  }

  void feed(LeaderProcess& leader, Event event) {
    if (&leader == leader_.get() && observer_.event) observer_.event(leader.token, now_, event);
    apply(*leader.controller, event, now_);
  }

  WallTime wall_now() const {
    return WallTime(std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()));
  }

  void lead_no_more() {
    if (believes_ && leader_) learned_state_ = leader_->controller->learned_state(now_, wall_now());
    leader_.reset();
    leader_token_ = 0;
    next_takeover_ = now_ + to_duration(Seconds(between(0.1, 4)));
    // Its process is back within a fraction of a second and ends its former life's hold.
    if (more_chance(0.5)) next_takeover_ = now_ + to_duration(Seconds(more_between(0.01, 0.3)));
  }

  void drive(LeaderProcess& leader) {
    const bool refused = refused_ && &leader == leader_.get();
    if (!leader.cut && !refused) {
      leader.leadership.record_proof(now_);
      // All that closed so long ago has reached the core, unless news are lacking.
      if (!changes_stalled_ || &leader != leader_.get())
        leader.leadership.record_read_barrier(now_ - milliseconds(400) -
                                              (slow() ? kSlowest : Duration{}));
    }
    feed(leader, Ticked{leader.leadership.may_serve(now_), leader.leadership.last_proven()});
    auto actions = leader.controller->take_actions();
    for (const auto& action : actions) actions_digest_.add(action);
    if (&leader == leader_.get() && observer_.actions)
      observer_.actions(leader.token, now_, actions, *leader.controller);
    const auto token = leader.token;
    for (auto& action : actions) std::visit([&](auto& a) { execute(leader, token, a); }, action);
    if (resigning_ == token) {
      resigning_ = 0;
      if (leader_ && leader_->token == token) lead_no_more();
    }
  }

  LeaderProcess* process(FencingToken token) {
    if (leader_ && leader_->token == token) return leader_.get();
    if (stale_ && stale_->token == token) return stale_.get();
    return nullptr;
  }
  bool store_takes(FencingToken token) const { return token == leader_token_; }
  // A write of that leader: while the state service refuses it, it is tried again.
  void stored(FencingToken token, Seconds delay, std::function<void()> what) {
    later(delay, [this, token, what = std::move(what)] {
      if (refused_ && store_takes(token)) return stored(token, Seconds(0.5), what);
      what();
    });
  }
  // News that were held up may still be on their way after the state service is quick again.
  bool slow() const { return now_ < slow_until_ + kSlowest; }
  // The leader hears of a change of jobs a little later, or when news reach it again.
  void changes(std::function<void()> what) {
    const auto more = now_ < slow_until_ ? Seconds(more_between(0, 4)) : Seconds(0);
    later(Seconds(between(0.01, 0.3)) + more, [this, what = std::move(what)] {
      if (leader_ && changes_stalled_) return unheard_.push_back(what);
      what();
    });
  }
  bool reaches(const LeaderProcess& leader, const MachineId& id) const {
    if (stale_ && stale_->keeps_workers) return true;
    if (leader.cut) return leader.far_side.contains(id);
    return stale_ == nullptr || !stale_->far_side.contains(id);
  }

  void execute(LeaderProcess& leader, FencingToken token, SendCommands& batch) {
    if (!reaches(leader, batch.machine) || chance(loss())) {
      later(Seconds(2), [this, token, id = batch.machine] { orders_lost(token, id); });
      // Held packets: the commands may still arrive, much later.
      if (chance(0.5))
        later(Seconds(between(2, 40)), [this, token, batch] { deliver(token, batch, false); });
      return;
    }
    later(Seconds(between(0.001, 0.2)), [this, token, batch] { deliver(token, batch, true); });
  }
  void orders_lost(FencingToken token, const MachineId& id) {
    if (auto* leader = process(token)) feed(*leader, CommandsAnswered{id, std::nullopt});
  }
  void deliver(FencingToken token, const SendCommands& batch, bool answered) {
    const auto found = workers_.find(batch.machine);
    if (found == workers_.end() || found->second.gone || now_ < found->second.up_at)
      return answered ? orders_lost(token, batch.machine) : void();
    auto& worker = found->second;
    if (now_ < worker.inbound_partition_until) {
      ++inbound_partitions_;
      if (answered)
        later(Seconds(2), [this, token, id = batch.machine] { orders_lost(token, id); });
      const auto rest = Seconds(worker.inbound_partition_until - now_);
      if (more_chance(0.7))
        later(rest + Seconds(0.01), [this, token, batch] { deliver(token, batch, false); });
      return;
    }
    if (now_ < worker.hangs_until) {
      const auto rest = Seconds(worker.hangs_until - now_);
      later(rest + Seconds(0.01), [this, token, batch] { deliver(token, batch, false); });
      if (answered)
        later(Seconds(2), [this, token, id = batch.machine] { orders_lost(token, id); });
      return;
    }
    if (token >= worker.token && batch.epoch == worker.epoch) {
      worker.token = token;
      for (const auto& command : batch.commands) execute(worker, command);
    }
    if (!answered) return;
    const auto heartbeat = heartbeat_of(worker);
    if (chance(loss())) {
      later(Seconds(2), [this, token, id = worker.id] { orders_lost(token, id); });
      return;
    }
    later(Seconds(between(0.001, 0.1)), [this, token, id = worker.id, heartbeat] {
      if (auto* leader = process(token)) feed(*leader, CommandsAnswered{id, heartbeat});
    });
  }
  void execute(LeaderProcess&, FencingToken token, SaveMachine& save) {
    stored(token, Seconds(between(0.01, 0.5)), [this, token, save] {
      const bool ok = store_takes(token) && !chance(loss());
      // Records of rentals have pages of their own: one that comes late replaces no registration.
      const auto known = machine_records_.find(save.record.id);
      const bool provisioning_only = save.record.endpoint.empty();
      if (ok && (!provisioning_only || known == machine_records_.end()))
        machine_records_[save.record.id] = save.record;
      if (auto* leader = process(token))
        feed(*leader, MachineSaved{save.record.id, !save.record.endpoint.empty(), ok});
    });
  }
  void execute(LeaderProcess&, FencingToken token, DeleteMachine& gone) {
    stored(token, Seconds(between(0.01, 0.5)), [this, token, gone] {
      if (store_takes(token)) machine_records_.erase(gone.id);
    });
  }
  void execute(LeaderProcess&, FencingToken token, SaveProgress& save) {
    stored(token, Seconds(between(0.01, 0.5)), [this, token, save] {
      const bool ok = store_takes(token);
      if (ok) progress_[{save.record.job, save.record.chunk}] = save.record;
      // The answer may get lost although the write was made.
      if (auto* leader = process(token)) feed(*leader, ProgressSaved{save, ok && !chance(loss())});
    });
  }
  void execute(LeaderProcess&, FencingToken token, SavePlacements& save) {
    // Without an answer it is written again; a late one of a past leader fails.
    stored(token, Seconds(between(0.01, troubles_ ? 2.0 : 0.4)), [this, token, save] {
      if (!store_takes(token)) return;
      // The page's revision keeps an older version from coming after a newer one.
      auto& newest = placement_versions_[save.record.job];
      const std::pair version{token, save.version};
      if (jobs_.contains(save.record.job) && version > newest) {
        newest = version;
        placements_[save.record.job] = save.record;
      }
      if (auto* leader = process(token))
        feed(*leader, PlacementsSaved{save.record.job, save.version});
    });
  }
  void execute(LeaderProcess&, FencingToken token, MarkPlacements&) {
    stored(token, Seconds(between(0.01, 1.0)), [this, token] {
      if (!store_takes(token)) return;
      placements_marked_ = true;
      ++marks_;
    });
  }
  void execute(LeaderProcess&, FencingToken token, FinishJob& finish) {
    // No answer: it is tried again, and the first one is carried out after that.
    if (meetings_ && more_chance(0.2)) {
      ++late_writes_;
      later(Seconds(more_between(2, 12)), [this, token, finish] { end_job(token, finish); });
      return later(Seconds(1.5), [this, token, finish] {
        if (auto* leader = process(token)) feed(*leader, FinishAnswered{finish.job, now_});
      });
    }
    stored(token, Seconds(between(0.01, 2.0)), [this, token, finish] {
      if (end_job(token, finish)) return;
      if (auto* leader = process(token)) feed(*leader, FinishAnswered{finish.job, now_});
    });
  }
  bool end_job(FencingToken token, const FinishJob& finish) {
    const auto job = jobs_.find(finish.job);
    if (!store_takes(token) || outage_ || job == jobs_.end() ||
        job->second.record.revision != finish.revision)
      return false;
    // not_done: a job is reported done only after all of its tasks are.
    for (TaskIndex i = 0; i < job->second.record.spec.tasks; ++i)
      EXPECT_TRUE(completed_.contains({finish.job, i})) << "not_done " << finish.job << "/" << i;
    EXPECT_FALSE(cancelled_.contains(finish.job)) << "went_back";
    done_.insert(finish.job);
    for (const auto chunk : finish.chunks) progress_.erase({finish.job, chunk});
    close(finish.job);
    return true;
  }
  void execute(LeaderProcess&, FencingToken token, DeleteProgress& gone) {
    const auto erase = [this, token, gone] {
      if (store_takes(token))
        for (const auto chunk : gone.chunks) progress_.erase({gone.job, chunk});
    };
    refused_ ? stored(token, Seconds(0.5), erase) : erase();
  }
  void execute(LeaderProcess&, FencingToken token, ScaleOut& rent) {
    later(Seconds(between(0.1, 0.6)), [this, token, rent] {
      EXPECT_TRUE(rental_names_.insert(rent.name).second) << "a rental name was used twice";
      ScaleOutResult answer;
      if (troubles_ && chance(0.15)) {
        answer.kind = ScaleOutResult::Kind::no_capacity;
      } else if (workers_.size() < 14) {
        answer.kind = ScaleOutResult::Kind::granted;
        const int count = troubles_ && chance(0.2) ? rent.count / 2 : rent.count;
        for (int i = 0; i < std::min(count, 4); ++i) {
          const double factor = troubles_ && chance(0.1) ? 50 : between(0.6, 1.5);
          answer.machines.push_back(boot(rent.type, rent.zone, rent.spot,
                                         now_ + to_duration(type(rent.type).boot * factor)));
        }
      } else {
        answer.kind = ScaleOutResult::Kind::no_capacity;
      }
      if (troubles_ && chance(0.05)) answer = ScaleOutResult{};  // the answer was lost
      if (auto* leader = process(token)) feed(*leader, ScaleOutAnswered{rent.name, answer});
    });
  }
  void execute(LeaderProcess& leader, FencingToken token, ScaleIn& release) {
    const bool ok = !leader.cut && !chance(loss() * 3);
    later(Seconds(between(0.1, 0.5)), [this, token, release, ok] {
      if (ok)
        for (const auto& id : release.machines) workers_.erase(id);
      if (auto* owner = process(token)) feed(*owner, ScaleInAnswered{release.machines, ok});
    });
  }
  void execute(LeaderProcess&, FencingToken, JobSuspected&) {}
  void execute(LeaderProcess&, FencingToken token, Resign& resign) {
    resigning_ = token;
    if (resign.isolated) isolated_at_ = now_;
  }

  MachineId boot(const std::string& type, const std::string& zone, bool spot, TimePoint up) {
    char name[16];
    std::snprintf(name, sizeof name, "m-%06d", ++machine_counter_);
    auto& worker = workers_[name];
    worker.id = name;
    worker.type = type;
    worker.zone = zone;
    worker.spot = spot;
    worker.up_at = up;
    worker.answered_sent = up;
    worker.next_report = up;
    return name;
  }

  // --- workers
  Resources used(const Worker& worker) const {
    Resources total;
    for (const auto& [key, task] : worker.tasks)
      if (task.state != TaskState::exited) total += specs_.at(key.first.job).per_task;
    return total;
  }

  void execute(Worker& worker, const Command& command) {
    const std::pair key{command.task, command.attempt};
    const auto known = worker.tasks.find(key);
    if (command.type == CommandType::acknowledge) {
      if (known != worker.tasks.end() && known->second.state == TaskState::exited)
        worker.tasks.erase(known);
      return;
    }
    if (command.type == CommandType::stop) {
      if (known != worker.tasks.end() && known->second.state != TaskState::exited)
        stop(command, known->second);
      return;
    }
    if (known != worker.tasks.end()) return;
    const auto& spec = specs_.at(command.task.job);
    LiveTask task;
    task.attempt = command.attempt;
    for (const auto& [other, live] : worker.tasks)
      if (other.first == command.task && live.state != TaskState::exited)
        exit(task, ExitCause::busy);
    if (!(used(worker) + spec.per_task).fits_in(type(worker.type).capacity))
      exit(task, ExitCause::no_capacity);
    task.ready = now_ + to_duration(Seconds(worker.images.contains(spec.image) ? 0 : 2));
    if (task.state != TaskState::exited) {
      EXPECT_TRUE(allowed_on(spec, worker.type, worker.zone, worker.spot))
          << "wrong_place " << command.task.job << "/" << command.task.index;
    }
    worker.tasks.emplace(key, task);
  }

  // A running task that saves needs `checkpoint_time` for it; a second stop without grace ends it.
  void stop(const Command& command, LiveTask& task) {
    const auto& spec = specs_.at(command.task.job);
    const bool saves = task.state == TaskState::running && spec.checkpoint_every > Seconds(0) &&
                       command.grace >= spec.checkpoint_time;
    if (task.state == TaskState::checkpointing && command.grace > Seconds(0)) return;
    if (spec.shape == Shape::gang && task.state == TaskState::running) {
      auto& run = gang_runs_[{command.task.job, command.attempt}];
      if (!run.first_stop) {
        run.first_stop = now_;
        gang_saved_[command.task.job] += Seconds(now_ - run.began);
      }
      if (saves && now_ - *run.first_stop <= to_duration(kTimes.gang_peer)) ++run.told;
    }
    if (!saves) return exit(task, ExitCause::stopped);
    task.state = TaskState::checkpointing;
    task.ends = now_ + to_duration(spec.checkpoint_time);
    ++saves_;
  }

  // Jobs of two or three tasks that end far apart, the last one after more than `cancel_s`.
  double apart(const TaskKey& key) const {
    const auto& spec = specs_.at(key.job);
    if (!meetings_ || spec.shape != Shape::array || spec.tasks < 2 || spec.tasks > 3) return 1;
    return key.index == 0 ? 0.2 : key.index + 1 == spec.tasks ? 3 : 1;
  }

  void exit(LiveTask& task, ExitCause cause) {
    task.state = TaskState::exited;
    task.cause = cause;
  }

  void live(Worker& worker) {
    if (worker.gone || now_ < worker.up_at) return;
    if (worker.taken_at && now_ >= *worker.taken_at) {
      worker.gone = true;
      worker.tasks.clear();
      return;
    }
    if (now_ - worker.answered_sent > to_duration(kTimes.lease)) {
      ++worker.epoch;
      worker.tasks.clear();
      worker.answered_sent = now_;
      worker.next_report = now_;
    }
    if (now_ < worker.hangs_until) return;
    bool changed = false;
    for (auto& [key, task] : worker.tasks) {
      const auto& spec = specs_.at(key.first.job);
      const bool gang = spec.shape == Shape::gang;
      if (task.state == TaskState::checkpointing && now_ >= task.ends) {
        exit(task, ExitCause::stopped);
        task.stored = !gang || gang_runs_[{key.first.job, key.second}].told == spec.tasks;
        if (!gang) saved_[key.first] += Seconds(now_ - task.began);
        if (gang && task.stored) stored_gangs_.insert(key.first.job);
        changed = true;
      }
      if (task.state == TaskState::fetching && now_ >= task.ready) {
        worker.images.insert(spec.image);
        task.began = now_;
        task.state = gang ? TaskState::waiting : TaskState::running;
        if (gang && completed_.contains(key.first)) exit(task, ExitCause::done);
        task.ends =
            now_ + to_duration(completed_.contains(key.first) ? Seconds(0)
                               : spec.shape == Shape::service
                                   ? Seconds(1e6)
                                   : std::max(Seconds(0.2),
                                              spec.estimate * between(0.5, 1.6) * apart(key.first) -
                                                  saved_[key.first]));
        changed = true;
      }
      if (task.state == TaskState::running && worker.sick) {
        exit(task, ExitCause::error);
        changed = true;
      } else if (gang) {
        continue;
      } else if (task.state == TaskState::running && now_ >= task.ends) {
        exit(task, ExitCause::done);
        completed_.insert(key.first);
        changed = true;
      }
    }
    if (changed) worker.next_report = std::min(worker.next_report, now_ + milliseconds(300));
    if (now_ >= worker.next_report) {
      worker.next_report = now_ + to_duration(Seconds(between(2.2, 3.7)));
      if (now_ >= worker.outbound_partition_until) send_report(worker);
    }
  }

  // Tasks of an attempt start together, complete together, and notice when one of them is gone.
  void gangs() {
    struct Member {
      Worker* worker;
      LiveTask* task;
      TaskKey key;
    };
    std::map<std::pair<JobId, Attempt>, std::vector<Member>> members;
    for (auto& [id, worker] : workers_)
      if (!worker.gone && now_ >= worker.up_at)
        for (auto& [key, task] : worker.tasks)
          if (task.state != TaskState::exited && specs_.at(key.first.job).shape == Shape::gang)
            members[{key.first.job, key.second}].push_back({&worker, &task, key.first});
    for (auto& [name, all] : members) {
      const auto& spec = specs_.at(name.first);
      auto& run = gang_runs_[name];
      const auto count = [&](TaskState state) {
        return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](const Member& m) {
          return m.task->state == state && now_ >= m.worker->hangs_until;
        }));
      };
      const auto leave = [&](const Member& member, ExitCause cause) {
        if (now_ < member.worker->hangs_until) return;
        exit(*member.task, cause);
        member.worker->next_report = std::min(member.worker->next_report, now_ + milliseconds(300));
      };
      if (!run.running && count(TaskState::waiting) == spec.tasks) {
        run.running = true;
        run.began = now_;
        auto run_time = spec.estimate * between(0.5, 1.6);
        if (stored_gangs_.contains(name.first)) run_time -= gang_saved_[name.first];
        run.ends = now_ + to_duration(std::max(Seconds(0.5), run_time));
        ++gang_starts_;
        for (auto& member : all) {
          member.task->state = TaskState::running;
          member.worker->next_report =
              std::min(member.worker->next_report, now_ + milliseconds(300));
        }
      } else if (run.running && !run.broken &&
                 count(TaskState::running) + count(TaskState::checkpointing) < spec.tasks) {
        run.broken = now_ + to_duration(Seconds(between(0.2, kTimes.gang_peer.count())));
      }
      for (auto& member : all) {
        if (member.task->state == TaskState::waiting &&
            now_ - member.task->began > to_duration(kTimes.gang_wait))
          leave(member, ExitCause::incomplete);
        if (member.task->state != TaskState::running) continue;
        if (run.broken && now_ >= *run.broken) leave(member, ExitCause::peers_gone);
        if (!run.broken && now_ >= run.ends && !run.first_stop) {
          for (TaskIndex i = 0; i < spec.tasks; ++i) completed_.insert({name.first, i});
          leave(member, ExitCause::done);
        }
      }
    }
  }

  Heartbeat heartbeat_of(Worker& worker) {
    Heartbeat heartbeat{worker.id,
                        "10.0.0.1:" + std::to_string(worker.lives),
                        worker.type,
                        worker.zone,
                        worker.spot,
                        worker.epoch,
                        ++worker.heartbeat_sequence,
                        worker.token,
                        {},
                        {}};
    if (worker.taken_at) heartbeat.notice = Seconds(*worker.taken_at - now_);
    for (const auto& [key, task] : worker.tasks)
      heartbeat.tasks.push_back({key.first, key.second, task.state, task.cause, task.stored});
    return heartbeat;
  }

  void send_report(Worker& worker) {
    const auto heartbeat = heartbeat_of(worker);
    const auto sent = now_;
    if (more_chance(0.03)) copy_later(heartbeat);
    if (chance(loss())) {
      // Held: it arrives late, and its answer is dropped.
      later(Seconds(between(5, 40)), [this, heartbeat] {
        if (leader_) feed(*leader_, HeartbeatReceived{heartbeat});
      });
      return;
    }
    later(Seconds(between(0.001, 0.1)), [this, heartbeat, sent, id = worker.id] {
      auto* leader = listens_to(id);
      if (leader == nullptr || !leader->leadership.may_serve(now_)) return moves_on(id);
      feed(*leader, HeartbeatReceived{heartbeat});
      const auto token = leader->token;
      if (heartbeat.token > token) return moves_on(id);
      const auto commands = leader->controller->response_commands(heartbeat);
      if (const auto worker = workers_.find(id);
          worker != workers_.end() && now_ < worker->second.inbound_partition_until)
        return;
      if (chance(loss())) return;
      later(Seconds(0.02), [this, id, sent, token, commands, epoch = heartbeat.epoch] {
        const auto found = workers_.find(id);
        if (found == workers_.end()) return;
        auto& worker = found->second;
        if (worker.gone || now_ < worker.hangs_until || worker.epoch != epoch ||
            token < worker.token)
          return;
        if (token > worker.token) worker.next_report = std::min(worker.next_report, now_);
        worker.token = token;
        worker.answered_sent = std::max(worker.answered_sent, sent);
        for (const auto& command : commands) execute(worker, command);
      });
    });
  }

  // A copy arrives once more, from seconds to well over a lease later, whatever became of the
  // machine and of who led then.
  void copy_later(const Heartbeat& heartbeat) {
    later(Seconds(more_between(1, 3 * kTimes.lease.count())), [this, heartbeat] {
      ++late_copies_;
      for (auto* leader : {&leader_, &stale_})
        if (*leader && (*leader)->leadership.may_serve(now_))
          feed(**leader, HeartbeatReceived{heartbeat});
    });
  }

  LeaderProcess* listens_to(const MachineId& id) {
    if (!stale_) return leader_.get();
    if (!stale_->keeps_workers) return stale_->far_side.contains(id) ? stale_.get() : leader_.get();
    const auto worker = workers_.find(id);
    return worker != workers_.end() && worker->second.follows_stale ? stale_.get() : leader_.get();
  }
  // No answer that counts: it tries the next controller a second later.
  void moves_on(const MachineId& id) {
    const auto worker = workers_.find(id);
    if (worker == workers_.end() || !worker->second.follows_stale) return;
    worker->second.follows_stale = false;
    worker->second.next_report =
        std::min(worker->second.next_report, now_ + std::chrono::seconds(1));
  }

  // --- users
  void users() {
    if (outage_) return;
    if (chance(submitting_ ? 0.025 : 0)) {
      JobSpec spec;
      spec.id = "req-" + std::to_string(++job_counter_);
      spec.job_class = "c" + std::to_string(job_counter_ % 3);
      spec.team = chance(0.5) ? "blue" : "red";
      spec.priority = chance(0.3) ? Priority::high : Priority::normal;
      spec.tasks = static_cast<TaskIndex>(between(1, 9));
      spec.per_task =
          chance(0.06) ? Resources{16, 0, 16} : Resources{chance(0.5) ? 1.0 : 4.0, 0, 2};
      spec.image = "i" + std::to_string(job_counter_ % 4);
      spec.image_gb = 1;
      spec.spot_allowed = chance(0.7);
      if (spec.per_task.cpus < 16 && chance(0.3)) spec.zone = chance(0.5) ? "a" : "b";
      if (chance(0.2)) spec.types = {spec.per_task.cpus > 8 || chance(0.3) ? "large" : "small"};
      if (!spec.types.empty() && spec.types[0] == "large") spec.zone.reset();
      if (spec.types.empty() && !spec.zone && spec.per_task.cpus < 16) {
        spec.same_zone = chance(0.2);
        spec.spread = !spec.same_zone && chance(0.2);
      }
      spec.estimate = Seconds(between(2, 30));
      if (!spec.same_zone && chance(0.1)) {
        // Few and small enough that all of them fit at once, beside other work.
        spec.shape = Shape::service;
        spec.estimate = Seconds(0);
        spec.tasks = static_cast<TaskIndex>(between(1, 4));
        spec.per_task = {1, 0, 2};
        spec.priority = Priority::production;
        spec.types.clear();
        spec.spread = !spec.zone && chance(0.7);
        later(Seconds(between(60, 200)), [this, id = spec.id] {
          if (submitting_ && jobs_.contains(id)) cancel(id);
        });
      }
      if (spec.shape == Shape::array && chance(0.3)) {
        spec.checkpoint_every = Seconds(5);
        spec.checkpoint_time = Seconds(between(0.5, 3));
      }
      if (spec.shape == Shape::array && !spec.spread && chance(0.25)) {
        spec.shape = Shape::gang;
        const bool whole = chance(0.4);
        spec.tasks = static_cast<TaskIndex>(between(1, whole ? 3.99 : 6));
        spec.per_task = {whole ? 8.0 : chance(0.5) ? 2.0 : 4.0, 0, 2};
        spec.types.clear();
        spec.same_zone = chance(0.7);
        spec.spread = !spec.same_zone && !spec.zone && chance(0.4);
        spec.priority = Priority::high;
      }
      specs_[spec.id] = spec;
      JobRecord record{spec,
                       WallTime(std::chrono::duration_cast<milliseconds>(now_.time_since_epoch())),
                       ++revision_};
      jobs_[spec.id] = {record};
      // The leader hears of it a little later, and only while it verifiably leads.
      changes([this, record] {
        if (leader_ && jobs_.contains(record.spec.id)) feed(*leader_, JobOpened{record});
      });
    }
    if (chance(0.003) && !jobs_.empty()) {
      auto victim = jobs_.begin();
      std::advance(victim, static_cast<long>(between(0, static_cast<double>(jobs_.size()) - 0.01)));
      cancel(JobId(victim->first));
    }
  }

  void cancel(const JobId& id) {
    if (outage_) return;
    cancelled_[id] = now_;
    close(id);
  }

  void close(const JobId& id) {
    jobs_.erase(id);
    placements_.erase(id);
    ++revision_;
    changes([this, id] {
      if (leader_) feed(*leader_, JobClosed{id});
    });
  }

  // --- troubles
  double loss() const { return troubles_ ? 0.03 : 0.0; }

  void trouble() {
    if (leader_ && chance(0.0015)) lead_no_more();  // crash
    if (leader_ && !stale_ && chance(0.0008)) {
      // Cut off from the store with some of the workers; it goes on for as long as it may.
      if (believes_) learned_state_ = leader_->controller->learned_state(now_, wall_now());
      stale_ = std::move(leader_);
      stale_->cut = true;
      for (const auto& [id, worker] : workers_)
        if (chance(0.5)) stale_->far_side.insert(id);
      lead_no_more();
      later(Seconds(between(5, 45)), [this] { stale_.reset(); });
    }
    for (auto& [id, worker] : workers_) {
      if (chance(0.0002)) worker.hangs_until = now_ + to_duration(Seconds(between(1, 40)));
      if (chance(0.0001)) worker.gone = true, worker.tasks.clear();
      if (chance(0.0001)) worker.sick = true;
      if (worker.spot && !worker.taken_at && chance(0.0003))
        worker.taken_at = now_ + to_duration(Seconds(between(4, 12)));
    }
    if (workers_.empty() || (!leader_ && workers_.size() < 2)) boot("small", "a", true, now_);
  }

  // Refused alone for less than its hold lasts, then everybody, for up to longer than `cancel_s`.
  // With the end of it the key is ours again at once, and the watch stays silent for a while.
  void begin_gap() {
    ++gaps_;
    refused_ = changes_stalled_ = true;
    for (int i = 0; i < 2; ++i)
      later(Seconds(more_between(0.1, 1)), [this] {
        if (!jobs_.empty() && !outage_) cancel(JobId(jobs_.begin()->first));
      });
    later(Seconds(more_between(0.2, 2.8)), [this] {
      outage_ = refused_ = changes_stalled_ = true;
      later(Seconds(more_between(0.2, 1.4 * kTimes.cancel.count())), [this] {
        outage_ = refused_ = false;
        later(Seconds(more_between(0.05, 10)), [this] {
          changes_stalled_ = false;
          for (auto& what : std::exchange(unheard_, {})) what();
        });
      });
    });
  }

  void partition_outbound(Worker& worker, Seconds length) {
    worker.outbound_partition_until =
        std::max(worker.outbound_partition_until, now_ + to_duration(length));
    ++outbound_partitions_;
  }
  // Jobs are called off within a fifth of a second, and up to eight of their machines hang.
  void call_off() {
    ++calls_off_;
    std::vector<JobId> ids;
    for (const auto& [id, job] : jobs_)
      if (ids.size() < 4 && more_chance(0.5)) ids.push_back(id);
    const Seconds hang(more_between(2, 1.3 * kTimes.lease.count()));
    std::size_t hung = 0;
    for (auto& [id, worker] : workers_)
      for (const auto& [key, task] : worker.tasks)
        if (hung < 8 && std::find(ids.begin(), ids.end(), key.first.job) != ids.end() &&
            now_ >= worker.hangs_until) {
          worker.hangs_until = now_ + to_duration(hang);
          ++hung;
        }
    for (const auto& id : ids)
      later(Seconds(more_between(0, 0.2)), [this, id] {
        if (jobs_.contains(id)) cancel(id);
      });
  }
  void further_trouble() {
    const auto lease = kTimes.lease.count();
    for (auto& [id, worker] : workers_)
      if (!worker.gone && now_ >= worker.up_at && more_chance(0.0005))
        partition_outbound(worker, Seconds(more_between(5, 2 * lease)));
    if (more_chance(0.001)) {
      const bool all = more_chance(0.5);
      const std::string zone = more_chance(0.5) ? "a" : "b";
      const Seconds length(more_between(5, 1.5 * lease));
      for (auto& [id, worker] : workers_)
        if (all || worker.zone == zone) partition_outbound(worker, length);
    }
    // Nobody on this side hears or reaches the zone, whatever its own controller does.
    if (more_chance(0.001)) {
      ++cuts_;
      const std::string zone = more_chance(0.5) ? "a" : "b";
      const auto until = now_ + to_duration(Seconds(more_between(0.5 * lease, 2 * lease)));
      for (auto& [id, worker] : workers_)
        if (worker.zone == zone)
          worker.outbound_partition_until = worker.inbound_partition_until = until;
    }
    if (more_chance(0.001)) call_off();
    if (more_chance(0.0006)) {
      ++chains_;
      for (double at = 0; at < 60;)
        later(Seconds(at += more_between(2, 12)), [this] {
          if (leader_ && troubles_) lead_no_more();
        });
    }
    if (leader_ && !stale_ && more_chance(0.0006)) {
      ++absences_;
      lead_no_more();
      next_takeover_ = now_ + to_duration(Seconds(more_between(1, 2) * lease));
    }
  }

  // What operators met later (PROTOCOL's additions).
  void more_trouble() {
    if (meetings_ && leader_ && !stale_ && !changes_stalled_ && !outage_ &&
        (more_chance(0.004) || (gaps_ == 0 && now_ > kBegin + std::chrono::seconds(150))))
      begin_gap();
    if (meetings_ && more_chance(0.001))
      slow_until_ = now_ + to_duration(Seconds(more_between(5, 40)));
    // A controller loses the state service and the others, and keeps its workers.
    if (leader_ && !stale_ && more_chance(0.0015)) {
      ++kept_workers_;
      stale_ = std::move(leader_);
      stale_->cut = stale_->keeps_workers = true;
      for (auto& [id, worker] : workers_) worker.follows_stale = true;
      lead_no_more();
      later(Seconds(more_between(2, 2 * kTimes.cancel.count())), [this] {
        stale_.reset();
        for (auto& [id, worker] : workers_) worker.follows_stale = false;
      });
    }
    for (auto& [id, worker] : workers_) {
      if (worker.gone || now_ < worker.up_at) continue;
      if (more_chance(0.0004))
        worker.inbound_partition_until = now_ + to_duration(Seconds(more_between(2, 60)));
      // A machine is back within a fraction of a second, without its tasks; its endpoint may be
      // another one, and its session need not have grown.
      if (more_chance(0.0002)) {
        ++came_back_;
        worker.tasks.clear();
        worker.images.clear();
        if (more_chance(0.7)) ++worker.epoch;
        if (more_chance(0.5)) ++worker.lives;
        worker.next_report = now_ + to_duration(Seconds(more_between(0.05, 0.9)));
      }
    }
  }

  // What began before the quiet may last a while.
  bool troubled() const {
    if (in_gap() || stale_ || !leader_ || now_ - took_over_ < kStep) return true;
    return std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
      const auto& worker = entry.second;
      return now_ < std::max({worker.hangs_until, worker.inbound_partition_until,
                              worker.outbound_partition_until});
    });
  }
  bool fits_now(const JobSpec& spec, const Worker& worker,
                const std::map<std::string, TaskIndex>& zones) const {
    if (worker.gone || worker.sick || worker.taken_at || now_ < worker.up_at) return false;
    if (now_ < worker.hangs_until || now_ < worker.inbound_partition_until ||
        now_ < worker.outbound_partition_until)
      return false;
    if (!allowed_on(spec, worker.type, worker.zone, worker.spot)) return false;
    const auto here = zones.find(worker.zone);
    if (spec.same_zone && !zones.empty() && here == zones.end()) return false;
    if (spec.spread && here != zones.end() && here->second + 1 > (spec.tasks + 1) / 2) return false;
    return (used(worker) + spec.per_task).fits_in(type(worker.type).capacity);
  }
  // What the leader knows of such a task and of the machines beside it, for whoever looks for the
  // cause.
  std::string held_back(const TaskKey& key, const std::map<std::string, TaskIndex>& zones) const {
    const auto& spec = specs_.at(key.job);
    std::ostringstream text;
    text << key.job << "/" << key.index << " of team " << spec.team << " at "
         << Seconds(now_ - *quiet_at_).count() << " s";
    if (!leader_) return text.str() + ", no leader";
    const auto& controller = *leader_->controller;
    const auto job = controller.jobs().find(key.job);
    if (job == controller.jobs().end()) return text.str() + ", unknown to the leader";
    const auto& task = job->second.tasks[key.index];
    text << (controller.recovering() ? ", reckoning" : "") << ", phase "
         << static_cast<int>(task.phase) << " on " << task.machine << " bound '" << task.bound
         << "' paused " << Seconds(job->second.backoff_until - now_).count()
         << (job->second.suspected ? ", suspected" : "") << ", team uses "
         << controller.fleet().team_use(spec.team).cpus;
    for (const auto& [id, other] : controller.jobs())
      if (other.spec().team == spec.team && !other.waiting.empty())
        text << "\n  " << id << (other.gang() ? " (gang)" : "") << " waits with "
             << other.waiting.size() << " of " << other.tasks.size() << " of "
             << other.spec().per_task.cpus << ", opened " << Seconds(now_ - other.opened).count()
             << " s ago";
    for (const auto& [id, machine] : controller.fleet().all())
      for (const auto& [other, assignment] : machine.tasks) {
        if (assignment.team != spec.team) continue;
        const auto worker = workers_.find(id);
        const auto live = worker == workers_.end()
                              ? decltype(worker->second.tasks.begin()){}
                              : worker->second.tasks.find({other, assignment.attempt});
        if (worker != workers_.end() && live != worker->second.tasks.end() &&
            live->second.state != TaskState::exited)
          continue;
        text << "\n  counted, and not there: " << other.job << "/" << other.index << " on " << id
             << (assignment.seen ? ", seen" : "") << (assignment.stop ? ", stopped" : "")
             << (assignment.orphaned ? ", abandoned" : "") << ", placed "
             << Seconds(now_ - assignment.placed).count() << " s ago"
             << (machine.releasing ? ", returned: " + machine.release_cause : "")
             << (machine.unacknowledged_since ? ", unreached" : "")
             << (machine.in_doubt_attempts.contains(assignment.attempt) ? ", in doubt" : "");
      }
    for (const auto& [id, worker] : workers_) {
      if (!fits_now(spec, worker, zones)) continue;
      const auto* machine = controller.fleet().find(id);
      text << "\n  " << id << " (" << worker.type << " in " << worker.zone << "): ";
      if (machine == nullptr) {
        text << "unknown";
        continue;
      }
      text << "free " << machine->free().cpus << (machine->confirmed ? "" : ", not confirmed")
           << (machine->registered ? "" : ", not registered")
           << (machine->last_acknowledged && !machine->unacknowledged_since ? "" : ", not reached")
           << (machine->outbound_partition_since ? ", mute" : "")
           << (machine->draining ? ", clearing" : "")
           << (machine->quarantined ? ", quarantined" : "")
           << (machine->notice_ends ? ", notice" : "")
           << (machine->releasing ? ", returned: " + machine->release_cause : "")
           << (machine->reserved_for.empty() ? "" : ", kept for " + machine->reserved_for)
           << (job->second.avoids(id, now_) ? ", avoided" : "");
    }
    return text.str();
  }
  void check_waiting() {
    std::set<TaskKey> live;
    std::map<JobId, std::map<std::string, TaskIndex>> zones;
    std::map<std::string, double> team_cpus;
    for (const auto& [id, worker] : workers_)
      if (!worker.gone)
        for (const auto& [key, task] : worker.tasks) {
          if (task.state == TaskState::exited) continue;
          live.insert(key.first);
          ++zones[key.first.job][worker.zone];
          const auto& spec = specs_.at(key.first.job);
          team_cpus[spec.team] += spec.per_task.cpus;
        }
    std::map<TaskKey, TimePoint> beside;
    for (const auto& [id, job] : jobs_) {
      const auto& spec = specs_.at(id);
      if (spec.shape == Shape::gang) continue;
      double limit = 0;
      for (const auto& team : teams_)
        if (team.name == spec.team) limit = team.max_cpus;
      for (TaskIndex i = 0; i < spec.tasks; ++i) {
        const TaskKey key{id, i};
        if (live.contains(key) || completed_.contains(key)) continue;
        const bool room = team_cpus[spec.team] + spec.per_task.cpus <= limit &&
                          std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
                            return fits_now(spec, entry.second, zones[id]);
                          });
        if (!room) continue;
        const auto known = beside_.find(key);
        const auto since = known == beside_.end() ? now_ : known->second;
        beside[key] = since;
        const Seconds together = now_ - since;
        if (together <= longest_beside_room_) continue;
        longest_beside_room_ = together;
        if (together > std::chrono::seconds(45)) beside_room_ = held_back(key, zones[id]);
      }
    }
    beside_ = std::move(beside);
  }

  // What the worker met, and what the leader knows of it, for whoever looks for a cause.
  std::string situation(const Worker& worker) const {
    const auto ago = [&](TimePoint then) { return Seconds(now_ - then).count(); };
    std::ostringstream text;
    text << worker.id << ", answered a report sent " << ago(worker.answered_sent)
         << " s ago; seconds since the end of its hang " << ago(worker.hangs_until) << ", cut "
         << ago(worker.inbound_partition_until) << ", muteness "
         << ago(worker.outbound_partition_until) << "; token " << worker.token << ", session "
         << worker.epoch;
    if (stale_) text << "; an older leader " << stale_->token << " is there";
    if (!leader_) return text.str() + "; no leader";
    text << "; leader " << leader_->token << " since " << ago(took_over_) << " s"
         << (leader_->leadership.may_serve(now_) ? "" : ", not serving")
         << (leader_->controller->recovering() ? ", reckoning" : "");
    const auto* machine = leader_->controller->fleet().find(worker.id);
    if (machine == nullptr) return text.str() + ", does not know it";
    if (machine->last_heartbeat) text << ", heard " << ago(*machine->last_heartbeat) << " s ago";
    if (machine->unacknowledged_since)
      text << ", unreached for " << ago(*machine->unacknowledged_since);
    if (machine->outbound_partition_since)
      text << ", mute for " << ago(*machine->outbound_partition_since);
    text << (machine->confirmed ? "" : ", not confirmed")
         << (machine->releasing ? ", returned: " + machine->release_cause : "");
    for (const auto& [key, assignment] : machine->tasks)
      text << "; " << key.job << "/" << key.index << (assignment.stop ? " stopped" : "")
           << (assignment.orphaned ? " abandoned" : "");
    return text.str();
  }

  std::string places_of(const std::string& team) const {
    std::ostringstream text;
    for (const auto& [id, worker] : workers_) {
      bool any = false;
      for (const auto& [key, task] : worker.tasks) {
        const auto& spec = specs_.at(key.first.job);
        if (spec.team != team || task.state == TaskState::exited) continue;
        any = true;
        text << "\n"
             << key.first.job << "/" << key.first.index << " of " << spec.per_task.cpus
             << ", attempt of leader " << (key.second >> 24U)
             << (jobs_.contains(key.first.job) ? "" : ", not open")
             << (cancelled_.contains(key.first.job) ? ", cancelled" : "");
      }
      if (any) text << " on " << situation(worker);
    }
    return text.str();
  }

  // --- the rules
  void check() {
    std::map<TaskKey, MachineId> live;
    std::map<std::string, double> team_cpus;
    for (const auto& [id, worker] : workers_) {
      if (worker.gone) continue;
      for (const auto& [key, task] : worker.tasks) {
        if (task.state == TaskState::exited) continue;
        const auto& spec = specs_.at(key.first.job);
        const auto [other, only] = live.emplace(key.first, id);
        ASSERT_TRUE(only) << "ran_twice " << key.first.job << "/" << key.first.index << " on "
                          << other->second << " and " << id;
        team_cpus[spec.team] += spec.per_task.cpus;
        const auto cancelled = cancelled_.find(key.first.job);
        if (cancelled != cancelled_.end() && now_ >= worker.hangs_until) {
          longest_cancelled_ = std::max(longest_cancelled_, Seconds(now_ - cancelled->second));
          ASSERT_LE(Seconds(now_ - cancelled->second), kTimes.cancel + Seconds(0.2))
              << "ran_cancelled " << key.first.job << " on " << situation(worker);
        }
      }
    }
    std::map<JobId, std::map<std::string, TaskIndex>> zones;
    for (const auto& [key, machine] : live) ++zones[key.job][workers_.at(machine).zone];
    for (const auto& [job, counts] : zones) {
      const auto& spec = specs_.at(job);
      if (spec.same_zone) {
        ASSERT_EQ(counts.size(), 1U) << "wrong_place: same zone " << job;
      }
      for (const auto& [zone, count] : counts)
        if (spec.spread) {
          ASSERT_LE(count, (spec.tasks + 1) / 2) << "wrong_place: spread " << job;
        }
    }
    for (const auto& team : teams_)
      ASSERT_LE(team_cpus[team.name], team.max_cpus + 1e-6)
          << "quota " << team.name << places_of(team.name);
  }

 public:
  void stop_submitting() { submitting_ = false; }

 private:
  std::mt19937_64 random_;
  bool operators_ = false;
  std::mt19937_64 more_random_;
  std::size_t late_copies_ = 0;
  std::size_t inbound_partitions_ = 0;
  std::size_t came_back_ = 0;
  std::size_t kept_workers_ = 0;
  bool meetings_ = false;
  bool refused_ = false;          // the leader, by the state service; in an outage too
  bool outage_ = false;           // for all
  bool changes_stalled_ = false;  // what jobs opened and ended has not reached the leader
  std::vector<std::function<void()>> unheard_;
  std::size_t gaps_ = 0;
  std::size_t late_writes_ = 0;
  Seconds longest_cancelled_{0};
  TimePoint slow_until_{};
  bool further_ = false;
  std::size_t outbound_partitions_ = 0;
  std::size_t cuts_ = 0;
  std::size_t absences_ = 0;
  std::size_t chains_ = 0;
  std::size_t calls_off_ = 0;
  std::optional<TimePoint> quiet_at_;
  std::map<TaskKey, TimePoint> beside_;  // since when each task has waited beside room
  Seconds longest_beside_room_{0};
  std::string beside_room_;
  TimePoint now_{};
  std::multimap<TimePoint, std::function<void()>> events_;
  bool troubles_ = true;
  bool submitting_ = true;
  std::vector<MachineType> types_;
  std::vector<Team> teams_;
  std::map<MachineId, Worker> workers_;
  int machine_counter_ = 0;
  int job_counter_ = 0;
  std::unique_ptr<LeaderProcess> leader_;
  std::unique_ptr<LeaderProcess> stale_;
  TimePoint next_takeover_{};
  TimePoint took_over_{};
  FencingToken resigning_ = 0;
  std::optional<TimePoint> isolated_at_;
  std::size_t takeovers_ = 0;

  Revision revision_ = 0;
  FencingToken leader_token_ = 0;
  std::map<JobId, StoredJob> jobs_;
  std::map<JobId, JobSpec> specs_;
  std::map<MachineId, MachineRecord> machine_records_;
  std::map<std::pair<JobId, TaskIndex>, ProgressRecord> progress_;
  std::set<TaskKey> completed_;
  std::set<JobId> done_;
  std::map<JobId, TimePoint> cancelled_;
  std::set<std::string> rental_names_;
  std::map<std::pair<JobId, Attempt>, GangRun> gang_runs_;
  std::map<JobId, Seconds> gang_saved_;
  std::set<JobId> stored_gangs_;
  std::map<TaskKey, Seconds> saved_;
  std::size_t gang_starts_ = 0;
  std::size_t saves_ = 0;
  history::Digest actions_digest_;
  Observer observer_;
  bool believes_ = false;
  bool commits_ = false;
  bool commits_always_ = false;
  std::size_t marks_ = 0;
  bool placements_marked_ = false;
  std::map<JobId, PlacementRecord> placements_;
  std::map<JobId, std::pair<FencingToken, std::uint64_t>> placement_versions_;
  LearnedState learned_state_;
};

}  // namespace violetpulley::core::simulated
