#include "simulation/fleet_leader.hpp"

#include <algorithm>
#include <variant>

namespace violetpulley::core::fleet_simulation {
namespace {

constexpr TaskIndex kTasksPerJob = 20;
constexpr std::size_t kFirstJobNumber = 100000;
constexpr double kMachineCpus = 16;
constexpr double kMachineMemory = 128;  // GB
constexpr double kTaskMemory = 8;       // GB, less if as many tasks have to fit
constexpr double kCloudCallsPerSecond = 10;
constexpr std::size_t kUnlimitedSockets = 1'000'000;
constexpr std::chrono::seconds kFormerLeaseTime{45};
constexpr Seconds kScaleInDelay{0.2};
// Timeouts of command batches without and with commands.
constexpr Seconds kEmptyBatchTimeout{0.7};
constexpr Seconds kBatchTimeout{2.5};

}  // namespace

FleetLeader::FleetLeader(FleetEnvironment& environment, FleetNodes& nodes, FleetAgents& agents,
                         const FleetConfig& config, FleetResult& result)
    : environment_(environment), nodes_(nodes), agents_(agents), config_(config), result_(result) {
  for (const auto& agent : agents_.all())
    machines_[agent.id] = {agent.id, agent.id, kMachineType, agent.zone, true, {}};
  const auto capacity = static_cast<double>(config_.machines * config_.tasks_per_machine);
  for (int i = 0; i * kTasksPerJob < capacity * (1 + config_.backlog_share); ++i) submit_job();
}

void FleetLeader::submit_job() {
  JobRecord record;
  record.spec.id = "req-" + std::to_string(kFirstJobNumber + jobs_.size());
  record.spec.job_class = "tiles";
  record.spec.team = "blue";
  record.spec.tasks = kTasksPerJob;
  const auto tasks_per_machine = static_cast<double>(config_.tasks_per_machine);
  record.spec.per_task = {kMachineCpus / tasks_per_machine, 0,
                          std::min(kTaskMemory, kMachineMemory / tasks_per_machine)};
  record.spec.image = "i";
  record.spec.spot_allowed = true;
  record.spec.estimate = config_.run_time;
  record.revision = ++revision_;
  jobs_[record.spec.id] = record;
}

void FleetLeader::elect(std::size_t node) {
  nodes_.lead(node);
  token_ = ++revision_;
  elected_at_ = environment_.now();
  result_.recovery_time = Seconds(-1);
  controller_ = std::make_unique<Controller>(
      make_settings(), token_, elected_at_, elected_at_ + kFormerLeaseTime, read_recovered_state());
  controller_->leadership_proven(token_);
  controller_->set_catalog({{kMachineType,
                             {kMachineCpus, 0, kMachineMemory},
                             60,
                             0.5,
                             1.1,
                             0.39,
                             Seconds(30),
                             FleetAgents::zones()}});
}

ControllerSettings FleetLeader::make_settings() const {
  ControllerSettings settings;
  settings.teams = {{"blue", 0, 0, 0, 0}};
  settings.workers = kAgentTimes;
  settings.cloud_calls_per_s = kCloudCallsPerSecond;
  settings.sockets = {config_.configures_sockets ? config_.sockets_per_node : kUnlimitedSockets,
                      config_.nodes};
  return settings;
}

RecoveredState FleetLeader::read_recovered_state() const {
  RecoveredState recovered;
  for (const auto& [id, record] : machines_) recovered.machines.push_back(record);
  for (const auto& [id, record] : jobs_) recovered.jobs.push_back(record);
  for (const auto& [key, record] : progress_) recovered.progress.push_back(record);
  return recovered;
}

void FleetLeader::end() {
  copy_statistics();
  controller_.reset();
}

void FleetLeader::copy_statistics() {
  if (!controller_) return;
  result_.reconciliation_cost = controller_->reconciler().cost();
  result_.stats = controller_->reconciler().stats();
}

void FleetLeader::queue_event(FleetEnvironment::Callback handle) {
  const auto now = environment_.now();
  auto& node = nodes_.leading();
  node.busy_until = std::max(node.busy_until, now) + config_.event_processing_time;
  const Seconds wait = node.busy_until - now;
  result_.max_event_delay = std::max(result_.max_event_delay, wait);
  environment_.after(wait, [this, token = token_, handle = std::move(handle)] {
    if (controller_ && token_ == token) handle();
  });
}

void FleetLeader::step() {
  const auto now = environment_.now();
  if (!controller_ || nodes_.leading().busy_until > now) return;
  controller_->tick(now, true, now);
  for (const auto& action : controller_->take_actions())
    std::visit([&](const auto& typed) { execute(typed); }, action);
  if (result_.recovery_time < Seconds(0) && !controller_->recovering())
    result_.recovery_time = now - elected_at_;
}

void FleetLeader::execute(const SendCommands& batch) {
  count_command_batch();
  const auto max_connections = controller_->commands().shares().commands;
  if (!nodes_.acquire_command_connection(batch.machine, max_connections))
    return queue_event([this, id = batch.machine] {
      controller_->commands_answered(id, nullptr, environment_.now());
    });
  auto& agent = agents_.at(batch.machine);
  if (agent.silent(environment_.now()))
    return environment_.after(
        batch.commands.empty() ? kEmptyBatchTimeout : kBatchTimeout,
        [this, id = batch.machine, token = token_] { commands_answered(id, token, nullptr); });
  environment_.after(environment_.uniform_seconds(0.004, 0.02),
                     [this, batch, token = token_, &agent] { deliver(agent, batch, token); });
}

void FleetLeader::count_command_batch() {
  const auto second =
      std::chrono::duration_cast<std::chrono::seconds>(environment_.now().time_since_epoch());
  const auto batches = ++batches_by_second_[second.count()];
  result_.max_commands_per_second = std::max(result_.max_commands_per_second, batches);
}

void FleetLeader::deliver(FleetAgent& agent, const SendCommands& batch, FencingToken token) {
  const auto batch_token = std::max(token, batch.raised_token);
  if (batch_token >= agent.token && batch.epoch == agent.epoch) {
    agent.token = batch_token;
    for (const auto& command : batch.commands) agents_.execute(agent, command);
  }
  const auto heartbeat = agent.make_heartbeat();
  environment_.after(environment_.uniform_seconds(0.002, 0.01), [this, token, heartbeat] {
    commands_answered(heartbeat.machine, token, &heartbeat);
  });
}

// `heartbeat`: the answer; null if none came.
void FleetLeader::commands_answered(const MachineId& id, FencingToken token,
                                    const Heartbeat* heartbeat) {
  if (!controller_ || token != token_) return;
  nodes_.release_command_connection(id, controller_->commands().shares().commands);
  queue_event([this, id, copy = heartbeat ? std::optional(*heartbeat) : std::nullopt] {
    controller_->commands_answered(id, copy ? &*copy : nullptr, environment_.now());
  });
}

void FleetLeader::execute(const SaveMachine& save) {
  machines_[save.record.id] = save.record;
  controller_->leadership_proven(++revision_);
  controller_->machine_saved(save.record.id, !save.record.endpoint.empty(), true);
}

void FleetLeader::execute(const DeleteMachine& deletion) { machines_.erase(deletion.id); }

void FleetLeader::execute(const SaveProgress& save) {
  progress_[{save.record.job, save.record.chunk}] = save.record;
  controller_->leadership_proven(++revision_);
  controller_->progress_saved(save, true);
}

void FleetLeader::execute(const FinishJob& finish) {
  jobs_.erase(finish.job);
  std::erase_if(progress_, [&](const auto& entry) { return entry.first.first == finish.job; });
  controller_->job_closed(finish.job, environment_.now());
}

void FleetLeader::execute(const ScaleOut& request) {
  result_.requested_machines += static_cast<std::size_t>(request.count);
  controller_->scale_out_answered(request.name, {ScaleOutResult::Kind::no_capacity, {}},
                                  environment_.now());
}

void FleetLeader::execute(const ScaleIn& request) {
  environment_.after(kScaleInDelay, [this, machines = request.machines, token = token_] {
    if (controller_ && token == token_) return_machines(machines);
  });
}

void FleetLeader::return_machines(const std::vector<MachineId>& machines) {
  if (cloud_down_) return controller_->scale_in_answered(machines, false, environment_.now());
  for (const auto& id : machines) {
    agents_.kill(agents_.at(id));
    nodes_.leading().command_connections.erase(id);
    ++result_.returned_machines;
  }
  controller_->scale_in_answered(machines, true, environment_.now());
  for (const auto& id : machines) machines_.erase(id);
}

}  // namespace violetpulley::core::fleet_simulation
