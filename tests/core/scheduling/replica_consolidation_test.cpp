/// @file
/// Tests of the consolidation of replicas of services on fewer machines (docs/design.md, "Sparse
/// replicas").
#include "support/leader_after_failover.hpp"

namespace violetpulley::core {
namespace {

const MachineId kInZoneA = "in_a";
const MachineId kInZoneB = "in_b";

class ReplicaConsolidationTest : public LeaderAfterFailover {
 protected:
  /// A service of three replicas, one of which runs in zone a and two in zone b, on machines that
  /// are nearly empty.
  void start_service(bool spread) {
    auto record = job("req-1", 3, Shape::service);
    record.spec.per_task = {1, 0, 1};
    record.spec.spread = spread;
    zones_[kInZoneB] = "b";
    tuning_.idle_wait = Seconds(1000);
    start_leader({kInZoneA, kInZoneB}, {record});
  }
  void run_with_heartbeats(int seconds) {
    for (int second = 0; second < seconds; ++second) {
      heartbeat(kInZoneA, {task("req-1", 0)});
      heartbeat(kInZoneB, {task("req-1", 1), task("req-1", 2)});
      run(Seconds(1));
    }
  }
};

// Guards against replicas that move to and fro: each machine seemed to fit on the other one, since
// the replicas were checked one by one against the zones of the others
// (docs/incidents/seed-1917.md).
TEST_F(ReplicaConsolidationTest, NoReplicaMovesIfTheZonesDoNotPermitToEmptyAMachine) {
  start_service(true);
  run_with_heartbeats(120);
  EXPECT_EQ(count(CommandType::stop), 0U) << "at most two of the three may be in one zone";
}

TEST_F(ReplicaConsolidationTest, ReplicasWithoutZoneLimitsMoveToOneMachine) {
  start_service(false);
  run_with_heartbeats(120);
  EXPECT_GT(count(CommandType::stop), 0U);
}

}  // namespace
}  // namespace violetpulley::core
