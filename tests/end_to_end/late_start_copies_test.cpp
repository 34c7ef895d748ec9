/// @file
/// Copies of command batches that were carried out and answered reach an agent once more, with the
/// real program in three processes (PROTOCOL: executed while token and epoch match).
#include "end_to_end/loopback.hpp"

namespace violetpulley {
namespace {

using std::chrono::milliseconds;

class LateStartCopies : public Loopback {
 protected:
  static constexpr double kLongNotice = 600;  // no new tasks there, and those that run stay
  static constexpr milliseconds kTimeForCopies{1500};

  /// The job whose only task runs until it is stopped.
  static constexpr const char* kJob = "req-91";
  static constexpr const char* kTask = "req-91/0";

  std::string machine_of(const std::string& task) const {
    for (const auto& [id, agent] : cloud_.agents())
      if (agent->runs(task)) return id;
    return "";
  }
  std::size_t copies_of(const std::string& task) const {
    std::size_t copies = 0;
    for (const auto& [id, agent] : cloud_.agents()) copies += agent->runs(task) ? 1 : 0;
    return copies;
  }
  std::string start_task() {
    submit("n-0", kJob, 1);
    wait_until("the task runs", [&] { return !machine_of(kTask).empty(); });
    return machine_of(kTask);
  }
  fakes::Agent& agent(const std::string& machine) const { return *cloud_.agents().at(machine); }
  void wait_until_it_runs_elsewhere(const std::string& machine) {
    wait_until("the task runs on another machine", [&] {
      const auto now_on = machine_of(kTask);
      return !now_on.empty() && now_on != machine;
    });
  }
  /// Repeats the copies for a while; the task must be on `expected` machines all the time.
  void repeat_and_expect_copies(const std::string& machine, std::size_t expected) {
    const auto bound = steady_clock::now() + kTimeForCopies;
    while (steady_clock::now() < bound && cloud_.agents().contains(machine)) {
      agent(machine).repeat_answered_starts();
      EXPECT_LE(copies_of(kTask), expected) << "a copy of an answered start ran the task again";
      serve_for(milliseconds(20));
    }
  }
  void fail_and_move(const std::string& machine) {
    agent(machine).set_reclaim_notice(kLongNotice);
    agent(machine).fail_tasks();
    wait_until_it_runs_elsewhere(machine);
  }
  std::string kill_leader() {
    wait_until("a leader", [&] { return processes_.contains(state_.leader()); });
    auto leader = state_.leader();
    kill_node(leader);
    return leader;
  }
};

TEST_F(LateStartCopies, DoNotRunAFailedTaskThatRunsElsewhere) {
  const auto machine = start_task();
  fail_and_move(machine);
  repeat_and_expect_copies(machine, 1);
}

TEST_F(LateStartCopies, DoNotRunATaskThatWasMovedAtAReclaimNotice) {
  const auto machine = start_task();
  agent(machine).set_reclaim_notice(0.05);
  wait_until_it_runs_elsewhere(machine);
  repeat_and_expect_copies(machine, 1);
}

TEST_F(LateStartCopies, DoNotRunATaskThatItsMachineLostAndThatRunsElsewhere) {
  const auto machine = start_task();
  agent(machine).set_reclaim_notice(kLongNotice);
  serve_for(milliseconds(500));
  agent(machine).lose_tasks();
  wait_until_it_runs_elsewhere(machine);
  repeat_and_expect_copies(machine, 1);
}

TEST_F(LateStartCopies, DoNotRunACancelledTask) {
  const auto machine = start_task();
  until("n-1", "POST", std::string("/v1/jobs/") + kJob + "/withdraw", "",
        [](int status, const Json&) { return status == 200; });
  wait_until("the agent has forgotten the task",
             [&] { return !cloud_.agents().contains(machine) || !agent(machine).lists(kTask); });
  repeat_and_expect_copies(machine, 0);
}

TEST_F(LateStartCopies, DoNotRunAFailedTaskAfterTheLeaderWasKilled) {
  const auto machine = start_task();
  fail_and_move(machine);
  kill_leader();
  repeat_and_expect_copies(machine, 1);
}

TEST_F(LateStartCopies, DoNotRunAFailedTaskWhileTheLeaderIsBackWithinASecond) {
  const auto machine = start_task();
  fail_and_move(machine);
  const auto token = agent(machine).token();
  start(kill_leader());
  repeat_and_expect_copies(machine, 1);
  wait_until("the next leader's token",
             [&] { return !cloud_.agents().contains(machine) || agent(machine).token() > token; });
  repeat_and_expect_copies(machine, 1);
}

TEST_F(LateStartCopies, DoNotRunACancelledTaskAfterTheLeaderWasKilled) {
  const auto machine = start_task();
  until("n-1", "POST", std::string("/v1/jobs/") + kJob + "/withdraw", "",
        [](int status, const Json&) { return status == 200; });
  kill_leader();
  wait_until("the agent has forgotten the task",
             [&] { return !cloud_.agents().contains(machine) || !agent(machine).lists(kTask); });
  repeat_and_expect_copies(machine, 0);
}

}  // namespace
}  // namespace violetpulley
