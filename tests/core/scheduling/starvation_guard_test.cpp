/// @file
/// Tests that large jobs start within the default of `begin_within` under a steady load of small
/// jobs (docs/design.md, "Large jobs begin"), and that capacity is withheld from other jobs only
/// for a limited time.
#include "core/scheduling/starvation_guard.hpp"

#include "support/leader_with_agents.hpp"

namespace violetpulley::core {
namespace {

class LargestJobs : public LeaderWithAgents {
 protected:
  // Runs the cluster for `length` and submits four small jobs every 2 s, which keep two machines of
  // 16 CPUs full.
  void run_with_small_jobs(Seconds length, Priority priority, const std::string& team,
                           double cpus = 1) {
    for (const auto end = now_ + to_duration(length); now_ < end;) {
      for (int i = 0; i < 4; ++i) {
        auto small = job_record("req-8" + std::to_string(++small_jobs_submitted_), 3);
        small.spec.team = team;
        small.spec.per_task = {cpus, 0, 1};
        small.spec.priority = priority;
        // The run times differ, since whole machines would become free if jobs ended together.
        small.spec.estimate = Seconds(5 + small_jobs_submitted_ % 7);
        controller_->job_opened(small, now_);
      }
      run_for(Seconds(2));
    }
  }
  JobRecord large_job(TaskIndex tasks, Priority priority = Priority::normal) {
    auto record = job_record("req-1", tasks);
    record.spec.priority = priority;
    record.spec.estimate = Seconds(60);
    return record;
  }
  // A job that leaves no quota for other jobs of its team while it runs.
  JobRecord needs_whole_quota(TaskIndex tasks, Shape shape, double cpus) {
    auto record = large_job(tasks, Priority::idle);
    record.spec.team = "narrow";
    record.spec.shape = shape;
    record.spec.per_task = {cpus, 0, 8};
    return record;
  }
  void expect_started_in_time() {
    ASSERT_TRUE(first_start_times_.contains("req-1"));
    EXPECT_LT(first_start_times_["req-1"] - submitted_at_, seconds(240));
  }
  void submit_under_load(const JobRecord& record) {
    elect_leader(2, 0);
    run_with_small_jobs(Seconds(20), Priority::normal, "t");
    submitted_at_ = now_;
    controller_->job_opened(record, now_);
  }
  TimePoint submitted_at_{};
  int small_jobs_submitted_ = 0;
};

TEST_F(LargestJobs, ArrayStartsInTimeUnderSteadyLoadOfSmallJobs) {
  submit_under_load(large_job(200));
  run_with_small_jobs(Seconds(250), Priority::normal, "t");
  expect_started_in_time();
}

TEST_F(LargestJobs, IdleJobStartsInTimeWithFewTasksUnderHighPriorityLoad) {
  submit_under_load(large_job(200, Priority::idle));
  run_with_small_jobs(Seconds(250), Priority::high, "t");
  expect_started_in_time();
  // Only the first task is prioritized, so most others are still waiting.
  EXPECT_LE(
      controller_->jobs().at("req-1").tasks.size() - controller_->jobs().at("req-1").waiting.size(),
      3U);
}

// Guards against starvation by fragmentation: capacity that small jobs free is too small for the
// task and is taken by the next small job, unless a machine is reserved.
TEST_F(LargestJobs, TaskThatNeedsAWholeMachineStartsInTime) {
  auto record = large_job(4, Priority::idle);
  record.spec.per_task = {16, 0, 16};
  submit_under_load(record);
  run_with_small_jobs(Seconds(250), Priority::high, "t");
  expect_started_in_time();
}

TEST_F(LargestJobs, ArrayThatNeedsItsTeamsWholeQuotaStartsInTime) {
  submit_under_load(needs_whole_quota(3, Shape::array, 8));
  run_with_small_jobs(Seconds(250), Priority::high, "narrow");
  expect_started_in_time();
}

TEST_F(LargestJobs, GangThatNeedsItsTeamsWholeQuotaStartsInTime) {
  submit_under_load(needs_whole_quota(2, Shape::gang, 4));
  run_with_small_jobs(Seconds(250), Priority::high, "narrow");
  expect_started_in_time();
}

// Guards against a team that is blocked indefinitely: replicas of the team, which do not end, leave
// too little quota for the gang, so no quota may be reserved for it.
TEST_F(LargestJobs, GangThatExceedsTheQuotaLeftByReplicasDoesNotBlockItsTeam) {
  elect_leader(2, 0);
  auto service = job_record("req-2", 2);
  service.spec.team = "narrow";
  service.spec.shape = Shape::service;
  service.spec.per_task = {1, 0, 1};
  controller_->job_opened(service, now_);
  run_for(Seconds(4));
  auto record = large_job(2, Priority::high);
  record.spec.team = "narrow";
  record.spec.shape = Shape::gang;
  record.spec.per_task = {4, 0, 8};
  controller_->job_opened(record, now_);
  run_with_small_jobs(Seconds(150), Priority::normal, "narrow");
  const auto done_before = finished_jobs_.size();
  run_with_small_jobs(Seconds(60), Priority::normal, "narrow");
  EXPECT_GT(finished_jobs_.size(), done_before + 5);
  EXPECT_FALSE(first_start_times_.contains("req-1"));
}

TEST_F(LargestJobs, ServiceStartsInTimeUnderHighPriorityLoad) {
  auto record = large_job(2, Priority::idle);
  record.spec.shape = Shape::service;
  record.spec.estimate = Seconds(0);
  record.spec.per_task = {16, 0, 8};
  submit_under_load(record);
  run_with_small_jobs(Seconds(250), Priority::high, "t");
  expect_started_in_time();
}

// Capacity is withheld for other jobs only for a limited time: unless there are failures, no task
// waits for 90 s while a suitable machine has free capacity and its team's quota suffices
// (docs/design.md, "Held back").
class WithheldCapacityLimit : public LeaderWithAgents {
 protected:
  JobRecord job_with_cpus(const JobId& id, TaskIndex tasks, double cpus,
                          Seconds estimate = Seconds(300)) {
    auto record = job_record(id, tasks);
    record.spec.per_task = {cpus, 0, 1};
    record.spec.estimate = estimate;
    return record;
  }
};

// Guards against starving jobs that reserve their team's quota one after the other for longer than
// the limit of a reservation.
TEST_F(WithheldCapacityLimit, QuotaReservationForAStarvingJobExpires) {
  elect_leader(4, 0);
  run_for(Seconds(2));
  const auto open = [this](const JobId& id, double cpus) {
    auto record = job_with_cpus(id, 1, cpus);
    record.spec.team = "narrow";  // quota of 8 CPUs
    controller_->job_opened(record, now_);
    run_for(Seconds(2));
  };
  open("req-1", 4);
  open("req-2", 8);
  run_for(Seconds(110));  // req-2 is starving while req-1 runs
  auto small = job_with_cpus("req-3", 1, 1);
  small.spec.team = "narrow";
  controller_->job_opened(small, now_);
  run_for(Seconds(70));
  EXPECT_TRUE(first_start_times_.contains("req-3"));
}

TEST_F(WithheldCapacityLimit, StalledGangReservationIsReleasedForOtherJobs) {
  elect_leader(2, 0);
  run_for(Seconds(2));
  auto gang = job_with_cpus("req-1", 3, 16);
  gang.spec.shape = Shape::gang;
  gang.spec.priority = Priority::high;
  controller_->job_opened(gang, now_);
  run_for(Seconds(10));
  controller_->job_opened(job_with_cpus("req-2", 1, 4), now_);
  run_for(Seconds(75));
  EXPECT_TRUE(first_start_times_.contains("req-2"));
}

// Guards against a reservation without a time limit: the tasks on the reserved machine may run for
// long.
TEST_F(WithheldCapacityLimit, MachineReservationForAStarvingJobExpires) {
  elect_leader(1, 0);
  run_for(Seconds(2));
  controller_->job_opened(job_with_cpus("req-1", 1, 8), now_);
  run_for(Seconds(2));
  controller_->job_opened(job_with_cpus("req-2", 1, 16), now_);
  run_for(Seconds(110));
  controller_->job_opened(job_with_cpus("req-3", 1, 1), now_);
  run_for(Seconds(4));
  EXPECT_FALSE(first_start_times_.contains("req-3")) << "the machine is reserved for req-2";
  run_for(Seconds(66));
  EXPECT_TRUE(first_start_times_.contains("req-3"));
}

// Guards against free capacity that stays unused for minutes on a draining machine: its only task
// has been restarted before, so it may not be moved and runs on.
TEST_F(WithheldCapacityLimit, DrainingMachineIsUncordonedForAJobThatHasWaited) {
  recovered_progress_ = {{"req-0", 0, {}, {{0, 0}}}};
  elect_leader(2, 1, 1);
  run_for(Seconds(2));
  controller_->job_opened(job_with_cpus("req-1", 1, 16), now_);
  run_for(Seconds(40));
  ASSERT_EQ(running_tasks(), 2U);
  controller_->job_opened(job_with_cpus("req-2", 1, 1), now_);
  run_for(Seconds(20));
  EXPECT_FALSE(first_start_times_.contains("req-2")) << "draining machines take no new tasks";
  run_for(Seconds(65));
  EXPECT_TRUE(first_start_times_.contains("req-2"));
}

// Guards against a job that avoids all suitable machines indefinitely because its tasks have failed
// on each of them.
TEST_F(WithheldCapacityLimit, JobUsesMachinesAgainAfterItsFailuresExpire) {
  elect_leader(2, 0);
  for (int i = 0; i < 2; ++i) agents_[machine_id(i)].faulty = true;
  run_for(Seconds(2));
  controller_->job_opened(job_with_cpus("req-1", 1, 4, Seconds(10)), now_);
  run_for(Seconds(8));
  ASSERT_EQ(task_failures_, 2);
  for (int i = 0; i < 2; ++i) agents_[machine_id(i)].faulty = false;
  run_for(Seconds(30));
  EXPECT_FALSE(finished_jobs_.contains("req-1")) << "the job tries other machines first";
  run_for(Seconds(55));
  EXPECT_TRUE(finished_jobs_.contains("req-1"));
}

// Guards against bound tasks that wait indefinitely: a machine whose registration was not committed
// yet was drained as underused while a task was bound to it.
TEST_F(WithheldCapacityLimit, MachineWithBoundTasksIsNotDrained) {
  elect_leader(1, 0);
  run_for(Seconds(2));
  controller_->job_opened(job_with_cpus("req-1", 1, 16), now_);
  run_for(Seconds(2));
  store_answers_ = false;
  available_machines_.emplace_back("m900");
  controller_->job_opened(job_with_cpus("req-2", 1, 16), now_);
  run_for(Seconds(10));
  agents_["m900"].lease_renewed_at = now_;
  run_for(Seconds(45));
  ASSERT_FALSE(first_start_times_.contains("req-2"));
  controller_->machine_saved("m900", true, true);
  run_for(Seconds(5));
  EXPECT_TRUE(first_start_times_.contains("req-2")) << scale_in_causes_;
}

// Guards against a large job of which only the first task starts, while small jobs of its class
// come before its other tasks.
TEST_F(LargestJobs, AllTasksOfTheLargestJobOfAClassStartFirstWithinItsPriority) {
  auto record = large_job(40);
  record.spec.per_task = {1, 0, 1};
  submit_under_load(record);
  run_with_small_jobs(Seconds(220), Priority::normal, "t");
  const auto job = controller_->jobs().find("req-1");
  EXPECT_TRUE(job == controller_->jobs().end() || job->second.waiting.empty());
}

// A starving job prioritizes only its first task and reserves only one machine, so the throughput
// of small jobs falls by less than a fifth.
TEST_F(LargestJobs, SmallJobsKeepMostOfTheirThroughput) {
  auto record = large_job(4, Priority::idle);
  record.spec.per_task = {16, 0, 16};
  elect_leader(2, 0);
  run_with_small_jobs(Seconds(20), Priority::normal, "t");
  const auto done_before = finished_jobs_.size();
  run_with_small_jobs(Seconds(250), Priority::high, "t", 0.4);
  const auto without_large_job = finished_jobs_.size() - done_before;
  controller_->job_opened(record, now_);
  run_with_small_jobs(Seconds(250), Priority::high, "t", 0.4);
  const auto with_large_job = finished_jobs_.size() - done_before - without_large_job;
  EXPECT_GT(with_large_job, without_large_job * 4 / 5);
}

}  // namespace
}  // namespace violetpulley::core
