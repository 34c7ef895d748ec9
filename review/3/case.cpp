/// Case 3. A user submits a gang that can never run in a deployment with one zone.
#include "site.hpp"

using namespace review;

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  signal(SIGPIPE, SIG_IGN);
  const std::string folder = argv[1], record = argv[2];
  const bool trouble = argc < 4 || std::string(argv[3]) != "0";
  constexpr double kMostWait = 90;
  Settings settings;
  settings.max_machines = 2;  // the cloud has no more of them at the moment
  Site site(record, folder, settings);
  auto& world = site.world;
  for (std::size_t node = 0; node < 3; ++node) site.controllers.start(node);
  for (int i = 0; i < 2; ++i) site.cloud.boot();
  site.run_until(8);
  if (site.controllers.leader() > 2) return 2;

  // An ordinary job of 45 s takes most of one machine; the other machine is empty.
  site.users.submit(Users::array("req-000001", 1, 40, 45), 45, 0);
  if (!site.wait_for(10, [&] { return site.jobs.on_machines("req-000001") == 1; })) return 2;
  if (trouble) {
    auto gang = Users::array("req-000002", 4, 40, 30);
    gang["shape"] = "gang";
    gang["spread"] = true;
    site.users.submit(gang, 30, 1);
    if (!site.wait_for(10, [&] { return site.jobs.all.at("req-000002").accepted_at >= 0; })) {
      world.log("the gang was not accepted");
    }
  }
  site.run_until(world.now() + 2);
  // Ordinary jobs that fit on the empty machine.
  for (const auto* id : {"req-000003", "req-000004"})
    site.users.submit(Users::array(id, 1, 30, 3), 3, 2);
  if (!site.wait_for(10, [&] {
        return site.jobs.all.at("req-000003").accepted_at >= 0 &&
               site.jobs.all.at("req-000004").accepted_at >= 0;
      }))
    return 2;
  const double end = world.now() + kMostWait + 1;
  double room_since = world.now();
  double worst = 0;
  bool broken = false;
  while (world.now() < end && !broken) {
    site.run_until(world.now() + 0.5);
    // Since when one machine has been without any task.
    bool room = false;
    for (const auto& [id, worker] : site.cloud.up) room = room || worker->live_tasks() == 0;
    if (!room) room_since = world.now();
    for (const auto* id : {"req-000003", "req-000004"}) {
      const auto& job = site.jobs.all.at(id);
      const double waits = (job.started_at < 0 ? world.now() : job.started_at) - job.accepted_at;
      worst = std::max(worst, waits);
      if (job.started_at >= 0 || waits < kMostWait || world.now() - room_since < kMostWait)
        continue;
      broken = true;
      world.broken("left_waiting", std::string(id) + " has waited " + std::to_string(waits) +
                                       " s, and a machine that fits has been empty for " +
                                       std::to_string(world.now() - room_since) + " s");
    }
  }
  for (const auto* id : {"req-000002", "req-000003"}) site.users.poll(id, 0);
  site.run_until(world.now() + 1);
  char text[100];
  snprintf(text, sizeof text, "longest wait of an ordinary job: %.1f s", worst);
  world.log(text);
  puts(text);
  return broken ? 1 : 0;
}
