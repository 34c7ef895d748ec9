#include "agent/agent_codec.hpp"

#include <charconv>

namespace violetpulley::agent {

using core::CommandType;
using core::ExitCause;
using core::Seconds;
using core::TaskState;

namespace {

/// Wire names: the JSON fields of heartbeats and commands.
namespace wire {
constexpr const char* kMachine = "rig";
constexpr const char* kEndpoint = "endpoint";
constexpr const char* kMachineType = "bench";
constexpr const char* kZone = "district";
constexpr const char* kSpot = "loaners";
constexpr const char* kEpoch = "shift";
constexpr const char* kHeartbeatSequence = "tally";
constexpr const char* kFencingToken = "baton";
constexpr const char* kReclaimNotice = "recall_s";
constexpr const char* kTasks = "cuts";
constexpr const char* kTask = "cut";
constexpr const char* kAttempt = "try";
constexpr const char* kTaskState = "status";
constexpr const char* kExitCause = "cause";
constexpr const char* kStored = "stored";
constexpr const char* kCommands = "orders";
constexpr const char* kCommandType = "verb";
constexpr const char* kGracePeriod = "leeway_s";
}  // namespace wire

template <class Value>
struct WireName {
  const char* name;
  Value value;
};

constexpr WireName<TaskState> kTaskStates[] = {{"fetching", TaskState::fetching},
                                               {"waiting", TaskState::waiting},
                                               {"running", TaskState::running},
                                               {"flushing", TaskState::checkpointing},
                                               {"exited", TaskState::exited}};
constexpr WireName<ExitCause> kExitCauses[] = {{"done", ExitCause::done},
                                               {"halted", ExitCause::stopped},
                                               {"mates_gone", ExitCause::peers_gone},
                                               {"incomplete", ExitCause::incomplete},
                                               {"error", ExitCause::error},
                                               {"no_room", ExitCause::no_capacity},
                                               {"in_use", ExitCause::busy},
                                               {"no_such", ExitCause::unknown}};

constexpr std::size_t kMaxNameBytes = 200;
/// Range of a reclaim notice, the time until the cloud takes a spot machine back. Negative: the
/// time has passed.
constexpr double kMinNoticeSeconds = -3600;
constexpr double kMaxNoticeSeconds = 1e7;

template <class Value, std::size_t N>
Value value_of(const std::string& name, const WireName<Value> (&known)[N], const char* what) {
  for (const auto& entry : known)
    if (name == entry.name) return entry.value;
  throw DecodeError(std::string(what) + " " + name);
}

const char* wire_name(CommandType type) {
  switch (type) {
    case CommandType::start:
      return "start";
    case CommandType::stop:
      return "kill";
    case CommandType::acknowledge:
      return "reap";
  }
  return "";
}

/// Returns an optional field; null pointer if the field is missing or null.
const Json* optional_field(const Json& object, const char* name) {
  const auto found = object.find(name);
  return found == object.end() || found->is_null() ? nullptr : &*found;
}

std::uint64_t count_of(const Json& value, const char* name) {
  if (!value.is_number_unsigned()) throw DecodeError(std::string(name) + " must be a count");
  return value.get<std::uint64_t>();
}

std::uint64_t count_field(const Json& object, const char* name) {
  return count_of(object.at(name), name);
}

std::string name_field(const Json& object, const char* name) {
  auto text = object.at(name).get<std::string>();
  if (text.empty() || text.size() > kMaxNameBytes)
    throw DecodeError(std::string(name) + " must hold 1 to 200 bytes");
  return text;
}

Seconds parse_notice(const Json& value) {
  const auto notice = value.get<double>();
  if (!(notice >= kMinNoticeSeconds && notice < kMaxNoticeSeconds))
    throw DecodeError(std::string(wire::kReclaimNotice) + " is out of range");
  return Seconds(notice);
}

/// Decodes the wire name of a task, job id and task index: "req-000412/3".
core::TaskKey parse_task(const std::string& name) {
  const auto slash = name.rfind('/');
  if (slash == std::string::npos || slash == 0) throw DecodeError("task name " + name);
  core::TaskKey key;
  key.job = name.substr(0, slash);
  const auto* end = name.data() + name.size();
  const auto [stop, error] = std::from_chars(name.data() + slash + 1, end, key.index);
  if (error != std::errc() || stop != end) throw DecodeError("task name " + name);
  return key;
}

std::string task_name(const core::TaskKey& task) {
  return task.job + "/" + std::to_string(task.index);
}

core::TaskStatus parse_task_status(const Json& item) {
  core::TaskStatus status;
  status.task = parse_task(item.at(wire::kTask).get<std::string>());
  status.attempt = count_field(item, wire::kAttempt);
  status.state = value_of(item.at(wire::kTaskState).get<std::string>(), kTaskStates, "task state");
  if (status.state == TaskState::exited)
    status.cause =
        value_of(item.at(wire::kExitCause).get<std::string>(), kExitCauses, "exit cause");
  const auto stored = item.find(wire::kStored);
  status.checkpoint_saved = stored != item.end() && stored->is_boolean() && stored->get<bool>();
  return status;
}

std::vector<core::TaskStatus> parse_task_statuses(const Json& items) {
  if (!items.is_array()) throw DecodeError(std::string(wire::kTasks) + " must be a list");
  std::vector<core::TaskStatus> statuses;
  statuses.reserve(items.size());
  for (const auto& item : items) statuses.push_back(parse_task_status(item));
  return statuses;
}

core::Heartbeat heartbeat_from_json(const Json& json) {
  core::Heartbeat heartbeat;
  heartbeat.machine = name_field(json, wire::kMachine);
  heartbeat.endpoint = name_field(json, wire::kEndpoint);
  heartbeat.type = name_field(json, wire::kMachineType);
  heartbeat.zone = name_field(json, wire::kZone);
  if (const auto* spot = optional_field(json, wire::kSpot)) heartbeat.spot = spot->get<bool>();
  heartbeat.epoch = count_field(json, wire::kEpoch);
  heartbeat.heartbeat_sequence = count_field(json, wire::kHeartbeatSequence);
  if (const auto* token = optional_field(json, wire::kFencingToken))
    heartbeat.token = count_of(*token, wire::kFencingToken);
  if (const auto* notice = optional_field(json, wire::kReclaimNotice))
    heartbeat.notice = parse_notice(*notice);
  if (const auto* tasks = optional_field(json, wire::kTasks))
    heartbeat.tasks = parse_task_statuses(*tasks);
  return heartbeat;
}

Json command_to_json(const core::Command& command) {
  Json item{{wire::kTask, task_name(command.task)},
            {wire::kAttempt, command.attempt},
            {wire::kCommandType, wire_name(command.type)}};
  if (command.type == CommandType::stop) item[wire::kGracePeriod] = command.grace.count();
  return item;
}

Json commands_to_json(const std::vector<core::Command>& commands) {
  Json items = Json::array();
  for (const auto& command : commands) items.push_back(command_to_json(command));
  return items;
}

}  // namespace

core::Heartbeat parse_heartbeat(const std::string& body) {
  try {
    return heartbeat_from_json(Json::parse(body));
  } catch (const Json::exception& problem) {
    throw DecodeError(problem.what());
  }
}

std::string response_body(core::FencingToken token, const std::vector<core::Command>& commands) {
  return Json{{wire::kFencingToken, token}, {wire::kCommands, commands_to_json(commands)}}.dump();
}

std::string commands_body(core::FencingToken token, std::uint64_t epoch,
                          const std::vector<core::Command>& commands) {
  return Json{{wire::kFencingToken, token},
              {wire::kEpoch, epoch},
              {wire::kCommands, commands_to_json(commands)}}
      .dump();
}

}  // namespace violetpulley::agent
