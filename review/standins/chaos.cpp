#include "site.hpp"
using namespace review;
int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  const std::string folder = argv[1];
  const unsigned long seed = std::stoul(argv[2]);
  const double length = argc > 3 ? std::stod(argv[3]) : 110;
  const int level = argc > 4 ? std::stoi(argv[4]) : 2;
  Settings settings;
  std::mt19937_64 pick(seed);
  if (seed % 2) { settings.lease_s = 27; settings.cancel_s = 47; settings.skew_ms = 25; settings.state_rps = 100; settings.state_write_rps = 25; settings.txn_ops = 12; settings.cloud_rps = 10; settings.restart_delay_s = 3; settings.cores = 16; settings.memory_gb = 128; settings.max_machines = 28; settings.boot_s = 30; settings.site = "cadastro-aberto"; settings.bench = "bancada"; }
  settings.team_cpus_max = seed % 3 ? 48 : 0;
  if (seed % 5 == 0) settings.boot_s = 2;
  Site site(folder + "/record.txt", folder, settings);
  auto& world = site.world;
  world.random.seed(seed);
  for (int i = 0; i < 3; ++i) site.controllers.start(i);
  for (int i = 0; i < 3; ++i) site.cloud.boot();
  int next = 0;
  std::function<void()> submit = [&] {
    if (world.now() > length - 25) return;
    char id[32]; snprintf(id, sizeof id, "req-%06d", ++next);
    const double run = world.chance(0.3) ? world.uniform(60, 200) : world.uniform(0.2, 15);
    site.users.submit(Users::array(id, 1 + world.random() % 6, world.chance(0.5) ? 1 : 4, run, "img-0" + std::to_string(world.random() % 3)), run, site.users.any_node());
    if (world.chance(0.35)) { std::string j = id; world.after(world.uniform(0.01, 40), [&site, &world, j] { if (world.chance(0.5)) for (int n=0;n<3;++n) site.users.cancel(j, n); else site.users.cancel(j, site.users.any_node()); }); }
    world.after(world.uniform(0.3, 1.8), submit);
  };
  world.after(3, submit);
  std::function<void()> poll = [&] {
    for (const auto& [id, job] : site.jobs.all) if (world.chance(0.12)) site.users.poll(id, site.users.any_node());
    if (world.chance(0.1)) site.users.poll("req-99" + std::to_string(world.random() % 1000), site.users.any_node());
    if (world.chance(0.2) && !site.jobs.all.empty()) { auto it = site.jobs.all.begin(); std::advance(it, world.random() % site.jobs.all.size()); if (it->second.accepted_at >= 0) site.users.send_submission(it->first, site.users.any_node()); }
    world.after(0.3, poll);
  };
  world.after(4, poll);
  const double calm = length - 35;
  std::function<void()> trouble = [&] {
    if (world.now() > calm) return;
    const auto leader = site.controllers.leader();
    const std::size_t busiest = leader < 3 && world.chance(0.75) ? leader : world.random() % 3;
    const double for_s = world.uniform(1, 40);
    auto end = [&](double s) { return std::min(s, std::max(0.5, calm + 5 - world.now())); };
    switch (world.random() % 13) {
      case 0: site.controllers.crash(busiest); break;
      case 1: site.controllers.freeze(busiest, end(world.uniform(0.5, 35))); break;
      case 2: { auto& f = site.state.faults(busiest); f.refuse = true; world.log("refuse node " + std::to_string(busiest)); world.after(end(for_s), [&f, &world, busiest] { f.refuse = false; world.log("refuse ends " + std::to_string(busiest)); }); break; }
      case 3: site.state.set_hold(busiest, true); world.log("hold node " + std::to_string(busiest)); world.after(end(for_s), [&, busiest] { site.state.set_hold(busiest, false); world.log("hold ends " + std::to_string(busiest)); }); break;
      case 4: for (int n = 0; n < 3; ++n) { auto& f = site.state.faults(n); f.late_share = 0.25; world.after(end(for_s), [&f] { f.late_share = 0; }); } break;
      case 5: for (int n = 0; n < 3; ++n) { auto& f = site.state.faults(n); f.lost_share = 0.3; world.after(end(for_s), [&f] { f.lost_share = 0; }); } break;
      case 6: site.state.set_outage(true); world.after(end(std::min(for_s, 20.0)), [&] { site.state.set_outage(false); }); break;
      case 7: case 8: for (auto& [id, w] : site.cloud.up) if (world.chance(0.6)) { w->set_hang(true); world.after(end(for_s), [w] { w->set_hang(false); }); } break;
      case 9: for (auto& [id, w] : site.cloud.up) if (world.chance(0.6)) { if (world.chance(0.5)) w->faults.deaf = true; else w->faults.mute = true; world.after(end(for_s), [w] { w->faults.deaf = w->faults.mute = false; }); } break;
      case 10: for (auto& [id, w] : site.cloud.up) { w->faults.late_commands = 0.3; w->faults.late_reports = 0.3; world.after(end(for_s), [w] { w->faults.late_commands = w->faults.late_reports = 0; }); } break;
      case 11: for (auto& [id, w] : site.cloud.up) if (world.chance(0.7)) { w->faults.cut_nodes.insert(busiest); w->faults.hold = world.chance(0.5); world.after(end(for_s), [w] { w->end_cut(); }); } break;
      case 12: site.cloud.set_outage(true); world.after(end(for_s), [&] { site.cloud.set_outage(false); }); break;
    }
    world.after(world.uniform(1, level == 2 ? 12 : 25), trouble);
  };
  if (level > 0) world.after(12, trouble);
  site.run_until(length);
  int open = 0, done = 0, cancelled = 0, stuck = 0;
  for (const auto& [id, job] : site.jobs.all) {
    if (job.accepted_at < 0) continue;
    if (job.done_told_at >= 0) ++done; else if (job.cancelled_at >= 0) ++cancelled; else { ++open; if (job.started_at < 0 && job.accepted_at < calm - 60) ++stuck; }
    if (job.last_answer_at < length - 30) world.log("SILENT job " + id);
  }
  printf("seed %lu jobs %zu done %d cancelled %d open %d notstarted %d starts %zu answers %zu 400s %lu 429s %lu broken:", seed, site.jobs.all.size(), done, cancelled, open, stuck, site.jobs.starts, site.users.answers, site.state.refused_400(), site.state.refused_429());
  for (const auto& [rule, count] : world.all_broken()) printf(" %s=%d", rule.c_str(), count);
  printf("\n");
  return world.all_broken().empty() ? 0 : 1;
}
