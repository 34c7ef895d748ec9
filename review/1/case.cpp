/// Case 1. A task has moved from machine X to machine Y. The leader ends. An old report of X, from
/// the time when the task ran there, reaches the new leader as it begins.
#include "site.hpp"

using namespace review;

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  signal(SIGPIPE, SIG_IGN);
  const std::string folder = argv[1], record = argv[2];
  const bool trouble = argc < 4 || std::string(argv[3]) != "0";
  Site site(record, folder);
  auto& world = site.world;
  const std::string task = "req-000002/0";
  for (std::size_t node = 0; node < 3; ++node) site.controllers.start(node);
  for (int i = 0; i < 3; ++i) site.cloud.boot();

  site.run_until(8);
  // Every machine gets the image, as after some time of work.
  site.users.submit(Users::array("req-000001", 3, 40, 1), 1, 0);
  if (!site.wait_for(30, [&] {
        return site.jobs.all.at("req-000001").done_told_at >= 0 ||
               (site.users.poll("req-000001", 1), false);
      })) {
    world.log("the first job did not end");
    return 2;
  }

  // The first attempt of this task fails after 6 s; the leader starts it on another machine.
  site.jobs.all["req-000002"].first_attempt_fails_after_s = 6;
  site.users.submit(Users::array("req-000002", 1, 40, 300), 300, 1);
  std::shared_ptr<Worker> first, second;
  Json old_report;
  const auto machine_of = [&]() -> std::shared_ptr<Worker> {
    for (const auto& [id, worker] : site.cloud.up)
      if (worker->runs("req-000002")) return worker;
    return nullptr;
  };
  if (!site.wait_for(15, [&] {
        first = machine_of();
        return first != nullptr;
      }))
    return 2;
  first->on_report = [&](const Json& report) {
    for (const auto& cut : report.at("cuts"))
      if (cut.at("cut") == task && cut.at("status") == "running") old_report = report;
  };
  if (!site.wait_for(30, [&] {
        second = machine_of();
        return second != nullptr && second != first && site.jobs.on_machines("req-000002") == 1;
      }))
    return 2;
  if (old_report.is_null()) return 2;
  world.log("task " + task + " has moved from " + first->id() + " to " + second->id());
  site.run_until(world.now() + 4);

  const auto leader = site.controllers.leader();
  if (leader > 2) return 2;
  if (trouble) {
    const auto token = site.state.leader_token();
    bool delivered = false;
    // The old report arrives as the new leader begins, and the answers of X and Y to its first
    // question are 0.2 and 0.1 s on their way.
    const auto deliver = [&](const Json& request) {
      if (delivered || request.at("baton").get<std::uint64_t>() <= token) return;
      delivered = true;
      const auto node =
          site.nodes.index_of(site.state.leader_of(request.at("baton").get<std::uint64_t>()));
      world.log("the old report of " + first->id() + " arrives at node " + std::to_string(node) +
                ": " + old_report.dump());
      site.users.ask(node, "POST", "/agent/beat", old_report.dump(), 4,
                     [&](const std::optional<Response>& response, const Json&) {
                       world.log("answer to the old report: " + Users::text(response));
                     });
    };
    for (const auto& [id, worker] : site.cloud.up) worker->on_command = deliver;
    first->faults.answer_delay_s = 0.2;
    second->faults.answer_delay_s = 0.1;
    second->faults.held_orders_s = 5;  // commands to Y are held up
    world.after(15, [&] {
      first->faults = {};
      second->faults = {};
    });
    site.controllers.crash(leader);
  }
  site.run_until(world.now() + 30);
  const int broken = site.world.broken("ran_twice");
  world.log("ran_twice was broken " + std::to_string(broken) + " times");
  printf("ran_twice: %d\n", broken);
  return broken > 0 ? 1 : 0;
}
