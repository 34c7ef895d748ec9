#include "simulation/leaders.hpp"

#include "simulation/catalog.hpp"

namespace violetpulley::core::simulated {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kClockSkew{25};
constexpr std::uint64_t kStoreLease = 1;
// Changes older than this have reached the core, unless the state service is stalled or slow.
constexpr milliseconds kBarrierAge{400};
constexpr std::chrono::minutes kResignationPause{3};  // after the resignation of an isolated leader
constexpr double kFormerLeadersGoneChance = 0.5;
constexpr double kRestartChance = 0.5;
// Seconds from a leader's end to the next election. The restart delays apply to a process that
// restarts at once and revokes its own store lease.
constexpr double kMinElectionDelay = 0.1;
constexpr double kMaxElectionDelay = 4;
constexpr double kMinRestartDelay = 0.01;
constexpr double kMaxRestartDelay = 0.3;

}  // namespace

void Leaders::observe(Observer observer) {
  observer_ = std::move(observer);
  end_leader();
  elect();
}

void Leaders::elect() {
  if (store_.outage) return;
  const auto now = environment_.now();
  store_.reset_for_new_leader();
  ++elections_;
  store_.leader_token = ++store_.revision;
  elected_at_ = now;
  current_ = std::make_unique<LeaderProcess>(LeaderProcess{
      nullptr, Leadership(kAgentTimes, kClockSkew), store_.leader_token, false, false, {}});
  current_->leadership.won(store_.leader_token, kStoreLease, now);
  current_->leadership.record_read_barrier(now);
  // Leaders may differ in whether they commit starts. A leader that does not commit starts clears
  // the mark that all placements are recorded.
  Tuning tuning;
  tuning.commit_starts =
      commit_policy_ == CommitPolicy::all_leaders ||
      (commit_policy_ == CommitPolicy::two_of_three_leaders && elections_ % 3 != 0);
  if (!tuning.commit_starts) store_.placements_marked = false;
  const LeaderElected event{make_settings(tuning), current_->token,
                            current_->leadership.former_leases_end(now), read_recovered_state()};
  current_->controller = make_controller(event, now);
  if (observer_.event) observer_.event(current_->token, now, event);
  feed(*current_, LeadershipProven{current_->token});
  feed(*current_, CatalogReceived{machine_types()});
  report_former_leaders_gone();
}

ControllerSettings Leaders::make_settings(const Tuning& tuning) const {
  const bool may_resign = !isolated_at_ || environment_.now() - *isolated_at_ > kResignationPause;
  return {teams(),     kAgentTimes,           tuning,         2.0,
          Seconds(10), {{"c0", Seconds(60)}}, {{"c1", 1.75}}, environment_.wall_now(),
          may_resign};
}

RecoveredState Leaders::read_recovered_state() const {
  RecoveredState recovered;
  for (const auto& [id, record] : store_.machines) recovered.machines.push_back(record);
  for (const auto& [id, record] : store_.jobs) recovered.jobs.push_back(record);
  for (const auto& [key, record] : store_.progress) recovered.progress.push_back(record);
  recovered.placements_marked = store_.placements_marked;
  for (const auto& [id, record] : store_.placements) recovered.placements.push_back(record);
  recovered.learned_state = learned_state_;
  return recovered;
}

// With probability `kFormerLeadersGoneChance`, tells the new leader after a delay that all other
// controllers follow it, unless a former leader still runs then.
void Leaders::report_former_leaders_gone() {
  if (!environment_.chance(kFormerLeadersGoneChance)) return;
  environment_.after(environment_.uniform_seconds(0.1, 3), [this, token = current_->token] {
    if (current_ && current_->token == token && !former_) feed(*current_, FormerLeadersGone{});
  });
}

void Leaders::feed(LeaderProcess& leader, const Event& event) {
  if (&leader == current_.get() && observer_.event)
    observer_.event(leader.token, environment_.now(), event);
  apply(*leader.controller, event, environment_.now());
}

void Leaders::write_committed(FencingToken token) {
  const auto revision = ++store_.revision;
  if (auto* leader = find(token)) feed(*leader, LeadershipProven{revision});
}

void Leaders::save_learned_state() {
  if (learned_state_handover_enabled_ && current_)
    learned_state_ =
        current_->controller->learned_state(environment_.now(), environment_.wall_now());
}

void Leaders::end_leader() {
  save_learned_state();
  current_.reset();
  store_.leader_token = 0;
  schedule_election(environment_.uniform_seconds(kMinElectionDelay, kMaxElectionDelay));
  if (environment_.optional_fault_chance(kRestartChance))
    schedule_election(environment_.optional_fault_seconds(kMinRestartDelay, kMaxRestartDelay));
}

void Leaders::schedule_election(Seconds delay) {
  next_election_ = environment_.now() + to_duration(delay);
}

void Leaders::resign(FencingToken token, bool isolated) {
  resigning_ = token;
  if (isolated) isolated_at_ = environment_.now();
}

LeaderProcess& Leaders::partition_leader() {
  former_ = std::move(current_);
  former_->partitioned = true;
  return *former_;
}

void Leaders::step() {
  for (auto* leader : {&current_, &former_})
    if (*leader) step_leader(**leader);
  if (!current_ && environment_.now() >= next_election_) elect();
}

void Leaders::step_leader(LeaderProcess& leader) {
  const auto now = environment_.now();
  const bool is_current = &leader == current_.get();
  renew_leadership(leader);
  feed(leader, Ticked{leader.leadership.may_serve(now), leader.leadership.last_proven()});
  auto actions = leader.controller->take_actions();
  for (const auto& action : actions) actions_digest_.add(action);
  if (is_current && observer_.actions)
    observer_.actions(leader.token, now, actions, *leader.controller);
  const auto token = leader.token;
  for (auto& action : actions) handle_action_(leader, token, action);
  if (resigning_ != token) return;
  resigning_ = 0;
  if (current_ && current_->token == token) end_leader();
}

void Leaders::renew_leadership(LeaderProcess& leader) {
  const bool is_current = &leader == current_.get();
  const bool refused = store_.refuses_leader && is_current;
  if (leader.partitioned || refused) return;
  leader.leadership.record_proof(environment_.now());
  if (store_.changes_stalled && is_current) return;
  leader.leadership.record_read_barrier(
      environment_.now() - kBarrierAge -
      (store_.changes_may_be_delayed() ? kMaxChangeDelay : Duration{}));
}

LeaderProcess* Leaders::find(FencingToken token) {
  for (auto* leader : processes())
    if (leader != nullptr && leader->token == token) return leader;
  return nullptr;
}

bool Leaders::reaches(const LeaderProcess& leader, const MachineId& id) const {
  if (former_ && former_->reaches_all_agents) return true;
  if (leader.partitioned) return leader.reachable_agents.contains(id);
  return !former_ || !former_->reachable_agents.contains(id);
}

LeaderProcess* Leaders::receiver_of(const MachineId& id) {
  if (!former_) return current();
  if (!former_->reaches_all_agents)
    return former_->reachable_agents.contains(id) ? former() : current();
  const auto* agent = fleet_.find(id);
  return agent != nullptr && agent->follows_former_leader ? former() : current();
}

}  // namespace violetpulley::core::simulated
