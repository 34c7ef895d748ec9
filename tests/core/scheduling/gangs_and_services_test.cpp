/// @file
/// Tests of gangs, services, preemption, recovery and stops with a checkpoint in small examples.
/// The simulation covers them under failures.
#include <gtest/gtest.h>

#include "core/controller.hpp"

namespace violetpulley::core {
namespace {

using std::chrono::milliseconds;

/// A controller with agents that execute commands at once.
class TestCluster {
 public:
  explicit TestCluster(std::vector<std::string> zones = {"a", "b"}, Team team = {"t", 0, 0, 0, 0})
      : zones_(std::move(zones)), team_(std::move(team)) {
    become_leader({});
  }
  void become_leader(const RecoveredState& recovered) {
    ControllerSettings settings{{team_},     AgentTimes{}, Tuning{},      10.0,
                                Seconds(10), {},           {{"c", 1.75}}, {}};
    controller_ =
        std::make_unique<Controller>(settings, 5, now_, now_ + std::chrono::seconds(60), recovered);
    controller_->set_catalog({{"g4", {32, 4, 256}, 50, 1, 10.0, 4.0, Seconds(25), zones_}});
  }

  static JobSpec spec(Shape shape, TaskIndex tasks, Resources each) {
    JobSpec spec;
    spec.id = "req-1";
    spec.team = "t";
    spec.shape = shape;
    spec.tasks = tasks;
    spec.per_task = each;
    spec.image = "i";
    spec.image_gb = 1;
    spec.estimate = shape == Shape::service ? Seconds(0) : Seconds(60);
    return spec;
  }

  void submit(const JobSpec& spec) {
    JobRecord record;
    record.spec = spec;
    record.revision = 9;
    controller_->job_opened(record, now_);
  }
  void add_machine(const MachineId& id, const std::string& zone, bool spot = false) {
    auto& agent = agents_[id];
    agent = {id, "10.0.0.1:1", "g4", zone, spot, 1, 0, 5, {}, {}};
    heartbeat(id);
  }
  void heartbeat(const MachineId& id) {
    auto& agent = agents_.at(id);
    ++agent.heartbeat_sequence;
    controller_->heartbeat(agent, now_);
  }
  /// The last task in the agent's heartbeats, or null if the machine has no task.
  TaskStatus* last_task(const MachineId& id) {
    auto& tasks = agents_.at(id).tasks;
    return tasks.empty() ? nullptr : &tasks.back();
  }
  /// Removes the last task from the machine's heartbeats.
  void drop_last_task(const MachineId& id) {
    agents_.at(id).tasks.pop_back();
    heartbeat(id);
  }
  void complete_tasks(const MachineId& id, const JobId& job) {
    for (auto& entry : agents_.at(id).tasks)
      if (entry.task.job == job) entry.state = TaskState::exited, entry.cause = ExitCause::done;
    heartbeat(id);
  }
  void send_spot_notice(const MachineId& id, Seconds left) {
    agents_.at(id).notice = left;
    heartbeat(id);
  }

  /// From now on the controller has no proof that no other controller leads.
  void cut_off() { cut_off_ = now_; }
  /// From now on the machine neither sends heartbeats nor answers commands.
  void silence(const MachineId& id) { agents_.erase(id); }

  void run(Seconds length) {
    const auto end = now_ + to_duration(length);
    while (now_ < end) {
      now_ += milliseconds(100);
      if (++steps_ % 20 == 0)
        for (auto& [id, agent] : agents_) heartbeat(id);
      controller_->tick(now_, true, cut_off_.value_or(now_));
      for (auto& action : controller_->take_actions())
        std::visit([&](auto& a) { execute(a); }, action);
    }
  }

  std::vector<Command> commands(CommandType type) const {
    std::vector<Command> out;
    for (const auto& command : sent_)
      if (command.type == type) out.push_back(command);
    return out;
  }
  void clear_commands() { sent_.clear(); }
  const std::vector<ScaleOut>& scale_outs() const { return scale_outs_; }
  void set_all_tasks(TaskState state) {
    for (auto& [id, agent] : agents_)
      for (auto& entry : agent.tasks)
        if (entry.state != TaskState::exited) entry.state = state;
  }

 private:
  void execute(SendCommands& batch) {
    if (!agents_.contains(batch.machine)) return;  // silenced
    auto& agent = agents_.at(batch.machine);
    for (const auto& command : batch.commands) {
      const auto known =
          std::find_if(agent.tasks.begin(), agent.tasks.end(), [&](const TaskStatus& t) {
            return t.attempt == command.attempt && t.task == command.task;
          });
      if (command.type == CommandType::start && known == agent.tasks.end())
        agent.tasks.push_back({command.task, command.attempt, TaskState::fetching});
      if (command.type == CommandType::acknowledge && known != agent.tasks.end())
        agent.tasks.erase(known);
      sent_.push_back(command);
    }
    ++agent.heartbeat_sequence;
    const auto answer = agent;
    controller_->commands_answered(batch.machine, &answer, now_);
  }
  void execute(SaveMachine& save) { controller_->machine_saved(save.record.id, true, true); }
  void execute(ScaleOut& request) { scale_outs_.push_back(request); }
  template <typename Other>
  void execute(Other&) {}

  std::vector<std::string> zones_;
  Team team_;
  TimePoint now_ = TimePoint{} + std::chrono::hours(1);
  int steps_ = 0;
  std::optional<TimePoint> cut_off_;
  std::unique_ptr<Controller> controller_;
  std::map<MachineId, Heartbeat> agents_;
  std::vector<Command> sent_;
  std::vector<ScaleOut> scale_outs_;
};

const Resources kWholeMachine{28, 4, 200};
const Resources kQuarterMachine{5, 1, 38};

TEST(Gang, StartsAllTasksInOneZoneOrNone) {
  TestCluster cluster;
  auto spec = TestCluster::spec(Shape::gang, 3, kWholeMachine);
  spec.same_zone = true;
  cluster.submit(spec);
  cluster.add_machine("m1", "a");
  cluster.add_machine("m2", "a");
  cluster.add_machine("m3", "b");
  cluster.run(Seconds(3));
  EXPECT_TRUE(cluster.commands(CommandType::start).empty());
  ASSERT_FALSE(cluster.scale_outs().empty());
  cluster.add_machine("m4", "a");
  cluster.run(Seconds(1));
  const auto starts = cluster.commands(CommandType::start);
  ASSERT_EQ(starts.size(), 3U);
  for (const auto& start : starts) EXPECT_EQ(start.attempt, starts[0].attempt);
  EXPECT_EQ(cluster.last_task("m3"), nullptr);
}

TEST(Gang, AllTasksEndBeforeTheGangRestarts) {
  TestCluster cluster({"a"});
  cluster.submit(TestCluster::spec(Shape::gang, 2, kWholeMachine));
  for (const char* id : {"m1", "m2", "m3"}) cluster.add_machine(id, "a");
  cluster.run(Seconds(1));
  auto starts = cluster.commands(CommandType::start);
  ASSERT_EQ(starts.size(), 2U);
  cluster.set_all_tasks(TaskState::running);
  cluster.run(Seconds(3));
  cluster.clear_commands();
  // One task fails. The other one is stopped, and nothing starts until it has exited.
  std::vector<MachineId> hosts;
  for (const char* id : {"m1", "m2", "m3"})
    if (cluster.last_task(id) != nullptr) hosts.emplace_back(id);
  ASSERT_EQ(hosts.size(), 2U);
  cluster.last_task(hosts[0])->state = TaskState::exited;
  cluster.last_task(hosts[0])->cause = ExitCause::error;
  cluster.heartbeat(hosts[0]);
  cluster.run(Seconds(5));
  EXPECT_TRUE(cluster.commands(CommandType::start).empty());
  ASSERT_FALSE(cluster.commands(CommandType::stop).empty());
  EXPECT_EQ(cluster.commands(CommandType::stop)[0].attempt, starts[0].attempt);
  cluster.last_task(hosts[1])->state = TaskState::exited;
  cluster.last_task(hosts[1])->cause = ExitCause::stopped;
  cluster.heartbeat(hosts[1]);
  cluster.run(Seconds(2));
  const auto restarts = cluster.commands(CommandType::start);
  ASSERT_EQ(restarts.size(), 2U);
  EXPECT_GT(restarts[0].attempt, starts[0].attempt);
  EXPECT_EQ(restarts[0].attempt, restarts[1].attempt);
}

// Guards against lost tasks that go undetected: the tasks of a gang share one attempt, and a task
// that was missing from its machine's heartbeats was not noticed while another task of the gang was
// listed there. The gang was never stopped, and the task counted as running indefinitely.
TEST(Gang, TaskMissingFromHeartbeatsIsDetectedBesideAnotherTaskOfTheGang) {
  TestCluster cluster({"a"});
  cluster.submit(TestCluster::spec(Shape::gang, 2, kQuarterMachine));
  cluster.add_machine("m1", "a");
  cluster.run(Seconds(1));
  ASSERT_EQ(cluster.commands(CommandType::start).size(), 2U);
  cluster.set_all_tasks(TaskState::running);
  cluster.run(Seconds(3));
  cluster.clear_commands();
  cluster.drop_last_task("m1");
  cluster.run(Seconds(3));
  const auto stops = cluster.commands(CommandType::stop);
  ASSERT_FALSE(stops.empty()) << "the remaining task must be stopped";
  EXPECT_EQ(stops[0].task.index, 0U);
}

TEST(Gang, ScaleOutRequestsAllMachinesInOneZone) {
  TestCluster cluster({"a", "b", "c"});
  auto spec = TestCluster::spec(Shape::gang, 8, kWholeMachine);
  spec.same_zone = true;
  cluster.submit(spec);
  cluster.run(Seconds(5));
  ASSERT_EQ(cluster.scale_outs().size(), 1U);
  EXPECT_EQ(cluster.scale_outs()[0].count, 8);
  EXPECT_FALSE(cluster.scale_outs()[0].spot);
}

TEST(Gang, FirstGangThatIsShortHasPrecedenceInItsDomain) {
  GangReservations reservations;
  reservations.new_round();
  reservations.mark_short("a");
  EXPECT_TRUE(reservations.earlier_gang_is_short("a"));
  EXPECT_TRUE(reservations.earlier_gang_is_short(""));  // the empty domain overlaps with every zone
  EXPECT_FALSE(reservations.earlier_gang_is_short("b"));
  // Gangs that are short reserve machines in at most half of the zones, so that other gangs can
  // start in the rest.
  EXPECT_FALSE(reservations.allows_incomplete_reservation("a", 4));
  EXPECT_TRUE(reservations.allows_incomplete_reservation("b", 4));
  reservations.mark_short("b");
  EXPECT_FALSE(reservations.allows_incomplete_reservation("c", 4));
  reservations.new_round();
  EXPECT_FALSE(reservations.earlier_gang_is_short("a"));
}

TEST(Service, ScaleOutSpreadsMachinesOverZones) {
  TestCluster cluster;
  auto spec = TestCluster::spec(Shape::service, 12, kQuarterMachine);
  spec.spread = true;
  cluster.submit(spec);
  cluster.run(Seconds(5));
  std::map<std::string, int> machines;
  for (const auto& request : cluster.scale_outs()) machines[request.zone] += request.count;
  // Six replicas per zone, four per machine.
  EXPECT_EQ(machines["a"], 2);
  EXPECT_EQ(machines["b"], 2);
}

// Guards against replicas that stay on underused machines after other work has ended. One of the
// two replicas, which run on a machine each, is stopped to move to the other machine, and nothing
// starts before it has exited.
TEST(Service, SparseReplicasMoveToOneMachine) {
  TestCluster cluster({"a"});
  auto filler = TestCluster::spec(Shape::array, 3, kQuarterMachine);
  filler.id = "req-2";
  filler.priority = Priority::production;
  cluster.submit(filler);
  cluster.add_machine("m1", "a");
  cluster.run(Seconds(0.5));
  auto service = TestCluster::spec(Shape::service, 2, kQuarterMachine);
  service.priority = Priority::production;
  cluster.submit(service);
  cluster.run(Seconds(0.5));
  cluster.add_machine("m2", "a");
  cluster.run(Seconds(2));
  cluster.set_all_tasks(TaskState::running);
  cluster.run(Seconds(3));
  cluster.complete_tasks("m1", "req-2");
  cluster.clear_commands();
  cluster.run(Seconds(25));
  EXPECT_TRUE(cluster.commands(CommandType::stop).empty());
  cluster.run(Seconds(15));
  std::set<TaskKey> stopped;
  for (const auto& stop : cluster.commands(CommandType::stop)) stopped.insert(stop.task);
  EXPECT_EQ(stopped.size(), 1U);
  EXPECT_TRUE(cluster.commands(CommandType::start).empty());
}

// A replica preempts tasks of an array of lower priority, but no more than it needs.
TEST(Preemption, ReplicaPreemptsOnlyOneTask) {
  TestCluster cluster({"a"});
  auto filler = TestCluster::spec(Shape::array, 4, kQuarterMachine);
  filler.id = "req-2";
  cluster.submit(filler);
  cluster.add_machine("m1", "a");
  cluster.run(Seconds(1));
  ASSERT_EQ(cluster.commands(CommandType::start).size(), 4U);
  auto service = TestCluster::spec(Shape::service, 1, kQuarterMachine);
  service.priority = Priority::production;
  cluster.submit(service);
  cluster.run(Seconds(3));
  std::set<TaskKey> stopped;
  for (const auto& stop : cluster.commands(CommandType::stop)) stopped.insert(stop.task);
  ASSERT_EQ(stopped.size(), 1U);
  EXPECT_EQ(stopped.begin()->job, "req-2");
}

// Guards against a job that is placed last because it has missed its deadline, although it can
// still meet its tardiness objective.
TEST(CandidateQueue, JobThatCanMeetItsTardinessObjectiveComesBeforeOneThatCannot) {
  TestCluster cluster({"a"});
  auto missed = TestCluster::spec(Shape::array, 1, kQuarterMachine);
  missed.id = "req-2";
  missed.job_class = "c";
  missed.estimate = Seconds(10);
  // The tardiness objective of 1.75 times the deadline is shorter than the run time.
  missed.deadline = Seconds(5);
  cluster.submit(missed);
  auto late = missed;
  late.id = "req-3";
  late.deadline = Seconds(9);
  late.tasks = 4;  // more work, so it comes last without the objective
  cluster.submit(late);
  cluster.add_machine("m1", "a");
  cluster.run(Seconds(0.3));
  const auto starts = cluster.commands(CommandType::start);
  ASSERT_EQ(starts.size(), 4U);
  for (const auto& start : starts) EXPECT_EQ(start.task.job, "req-3");
}

// Guards against a count of free machines instead of free slots: 20 small tasks then waited for a
// machine with their image, although one large machine had capacity for all of them.
TEST(Scarcity, SlotsAreNotScarceIfOneMachineHasCapacityForAllTasks) {
  TestCluster cluster({"a"});
  auto spec = TestCluster::spec(Shape::array, 20, {1, 0, 1});
  spec.image_gb = 10;  // a fetch of 10 s
  cluster.submit(spec);
  cluster.add_machine("m1", "a");
  cluster.run(Seconds(5));
  EXPECT_EQ(cluster.commands(CommandType::start).size(), 20U);
}

TEST(TeamGuarantee, AppliesIfGivenInGpusOnly) {
  // The small job is within the team's guarantee of 4 GPUs and the older job exceeds it, so the
  // small job gets the only machine.
  TestCluster cluster({"a"}, {"t", 0, 0, 4, 8});
  auto large = TestCluster::spec(Shape::array, 12, kQuarterMachine);
  large.id = "req-2";
  cluster.submit(large);
  cluster.submit(TestCluster::spec(Shape::array, 4, kQuarterMachine));
  cluster.add_machine("m1", "a");
  cluster.run(Seconds(0.3));
  ASSERT_EQ(cluster.commands(CommandType::start).size(), 4U);
  cluster.add_machine("m2", "a");
  cluster.add_machine("m3", "a");
  cluster.run(Seconds(1));
  EXPECT_EQ(cluster.commands(CommandType::start).size(), 8U)
      << "the team is limited to 8 GPUs and has no limit of CPUs";
}

// State with a job that was opened before the failover and a machine that has been silent since.
RecoveredState recovered_with_silent_machine(const JobSpec& spec, bool silent_is_spot) {
  JobRecord record;
  record.spec = spec;
  record.revision = 2;
  RecoveredState recovered;
  recovered.jobs = {record};
  recovered.machines = {{"m8", "10.0.0.8:1", "g4", "a", silent_is_spot, {}}};
  return recovered;
}

// Guards against needless waits after a failover: spot machines are often reclaimed, so one of them
// is usually silent then, and services and gangs, which never run on spot machines, waited for it.
TEST(Recovery, SilentMachineDelaysOnlyJobsThatMayRunOnIt) {
  for (const bool silent_is_spot : {true, false}) {
    TestCluster cluster({"a"});
    cluster.become_leader(recovered_with_silent_machine(
        TestCluster::spec(Shape::service, 2, kQuarterMachine), silent_is_spot));
    cluster.add_machine("m1", "a");
    cluster.run(Seconds(1));
    EXPECT_EQ(cluster.commands(CommandType::start).size(), silent_is_spot ? 2U : 0U);
  }
}

// Guards against a task that runs twice: a partitioned leader may have a successor, which may renew
// the lease of a machine that is silent only to the old leader.
TEST(Leases, ExpireOnlyIfNoSuccessorMayRenewThem) {
  for (const bool cut_off : {false, true}) {
    TestCluster cluster({"a"});
    cluster.add_machine("m1", "a");
    cluster.submit(TestCluster::spec(Shape::array, 1, kQuarterMachine));
    cluster.run(Seconds(1));
    ASSERT_EQ(cluster.commands(CommandType::start).size(), 1U);
    cluster.set_all_tasks(TaskState::running);
    cluster.run(Seconds(3));
    cluster.silence("m1");
    cluster.run(Seconds(15));
    if (cut_off) cluster.cut_off();
    cluster.add_machine("m2", "a");
    cluster.run(Seconds(20));
    EXPECT_EQ(cluster.commands(CommandType::start).size(), cut_off ? 1U : 2U);
  }
}

TEST(Leases, OfFormerLeadersExpireOnlyIfNoSuccessorMayRenewThem) {
  for (const bool cut_off : {false, true}) {
    TestCluster cluster({"a"});
    cluster.become_leader(
        recovered_with_silent_machine(TestCluster::spec(Shape::array, 1, kQuarterMachine), false));
    cluster.run(Seconds(50));
    if (cut_off) cluster.cut_off();
    cluster.add_machine("m1", "a");
    cluster.run(Seconds(20));
    EXPECT_EQ(cluster.commands(CommandType::start).size(), cut_off ? 0U : 1U);
  }
}

struct Stop {
  Seconds ran;
  Seconds notice;
  bool checkpoints;
};

// A checkpoint of 5 s is worthwhile for 10 s of work since the last checkpoint but not for 2 s, and
// it does not fit into a notice of 4 s.
TEST(Stops, CheckpointOnlyIfItSavesMoreThanItCostsAndFitsIntoTheNotice) {
  for (const auto& [ran, notice, checkpoints] :
       {Stop{Seconds(10), Seconds(12), true}, Stop{Seconds(17), Seconds(12), false},
        Stop{Seconds(10), Seconds(4), false}}) {
    TestCluster cluster({"a"});
    auto spec = TestCluster::spec(Shape::array, 1, kQuarterMachine);
    spec.spot_allowed = true;
    spec.checkpoint_every = Seconds(15);
    spec.checkpoint_time = Seconds(5);
    cluster.submit(spec);
    cluster.add_machine("m1", "a", true);
    cluster.run(Seconds(1));
    ASSERT_NE(cluster.last_task("m1"), nullptr);
    cluster.set_all_tasks(TaskState::running);
    cluster.heartbeat("m1");
    cluster.run(ran);
    cluster.send_spot_notice("m1", notice);
    cluster.run(Seconds(0.5));
    const auto stops = cluster.commands(CommandType::stop);
    ASSERT_FALSE(stops.empty());
    EXPECT_EQ(stops[0].grace >= spec.checkpoint_time, checkpoints)
        << ran.count() << " s, " << notice.count();
  }
}

}  // namespace
}  // namespace violetpulley::core
