#include "simulation/cloud.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "simulation/catalog.hpp"

namespace violetpulley::core::simulated {
namespace {

constexpr std::size_t kMaxMachines = 14;
constexpr int kMaxMachinesPerRequest = 4;
constexpr double kNoCapacityChance = 0.15;
constexpr double kHalfGrantChance = 0.2;
constexpr double kSlowBootChance = 0.1;
constexpr double kSlowBootFactor = 50;
constexpr double kMinBootFactor = 0.6;  // of the machine type's boot time
constexpr double kMaxBootFactor = 1.5;
constexpr double kLostAnswerChance = 0.05;
constexpr double kReturnLossFactor = 3;  // returns fail more often than messages

}  // namespace

void Cloud::execute(FencingToken token, const ScaleOut& request) {
  environment_.after(environment_.uniform_seconds(0.1, 0.6), [this, token, request] {
    EXPECT_TRUE(request_names_.insert(request.name).second)
        << "a name of a scale-out request was used twice";
    auto answer = boot_machines(request);
    if (draw_fault(kLostAnswerChance)) answer = ScaleOutResult{};
    if (auto* leader = leaders_.find(token))
      leaders_.feed(*leader, ScaleOutAnswered{request.name, answer});
  });
}

ScaleOutResult Cloud::boot_machines(const ScaleOut& request) {
  ScaleOutResult answer;
  answer.kind = ScaleOutResult::Kind::no_capacity;
  if (draw_fault(kNoCapacityChance) || fleet_.all().size() >= kMaxMachines) return answer;
  answer.kind = ScaleOutResult::Kind::granted;
  const int count = draw_fault(kHalfGrantChance) ? request.count / 2 : request.count;
  const auto boot_time = machine_type(request.type).boot;
  for (int i = 0; i < std::min(count, kMaxMachinesPerRequest); ++i) {
    const double factor = draw_fault(kSlowBootChance)
                              ? kSlowBootFactor
                              : environment_.uniform(kMinBootFactor, kMaxBootFactor);
    const auto up_at = environment_.now() + to_duration(boot_time * factor);
    answer.machines.push_back(fleet_.boot(request.type, request.zone, request.spot, up_at));
  }
  return answer;
}

void Cloud::execute(const LeaderProcess& leader, const ScaleIn& request) {
  const bool ok =
      !leader.partitioned && !environment_.chance(environment_.message_loss() * kReturnLossFactor);
  environment_.after(environment_.uniform_seconds(0.1, 0.5),
                     [this, token = leader.token, request, ok] {
                       if (ok)
                         for (const auto& id : request.machines) fleet_.remove(id);
                       if (auto* sender = leaders_.find(token))
                         leaders_.feed(*sender, ScaleInAnswered{request.machines, ok});
                     });
}

bool Cloud::draw_fault(double probability) {
  return environment_.faults_active() && environment_.chance(probability);
}

}  // namespace violetpulley::core::simulated
