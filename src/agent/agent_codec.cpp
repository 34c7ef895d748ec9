#include "agent/agent_codec.hpp"

#include <charconv>
#include <stdexcept>

namespace violetpulley::agent {

using core::CommandType;
using core::ExitCause;
using core::Seconds;
using core::TaskState;

namespace {

core::TaskKey parse_task(const std::string& name) {
  const auto slash = name.rfind('/');
  core::TaskKey key;
  if (slash == std::string::npos || slash == 0) throw std::invalid_argument("task name " + name);
  key.job = name.substr(0, slash);
  const auto* end = name.data() + name.size();
  const auto [stop, error] = std::from_chars(name.data() + slash + 1, end, key.index);
  if (error != std::errc() || stop != end) throw std::invalid_argument("task name " + name);
  return key;
}

TaskState parse_state(const std::string& name) {
  if (name == "fetching") return TaskState::fetching;
  if (name == "waiting") return TaskState::waiting;
  if (name == "running") return TaskState::running;
  if (name == "flushing") return TaskState::checkpointing;
  if (name == "exited") return TaskState::exited;
  throw std::invalid_argument("task state " + name);
}

ExitCause parse_cause(const std::string& name) {
  if (name == "done") return ExitCause::done;
  if (name == "halted") return ExitCause::stopped;
  if (name == "mates_gone") return ExitCause::peers_gone;
  if (name == "incomplete") return ExitCause::incomplete;
  if (name == "error") return ExitCause::error;
  if (name == "no_room") return ExitCause::no_capacity;
  if (name == "in_use") return ExitCause::busy;
  if (name == "no_such") return ExitCause::unknown;
  throw std::invalid_argument("exit cause " + name);
}

std::uint64_t integer(const Json& value, const char* name) {
  if (!value.is_number_unsigned())
    throw std::invalid_argument(std::string(name) + " must be a count");
  return value.get<std::uint64_t>();
}

std::string name_at(const Json& body, const char* name) {
  auto text = body.at(name).get<std::string>();
  if (text.empty() || text.size() > 200) throw std::invalid_argument(std::string(name) + " is bad");
  return text;
}

Json commands_to_json(const std::vector<core::Command>& commands) {
  Json out = Json::array();
  for (const auto& command : commands) {
    Json item{{"cut", command.task.job + "/" + std::to_string(command.task.index)},
              {"try", command.attempt}};
    switch (command.type) {
      case CommandType::start:
        item["verb"] = "start";
        break;
      case CommandType::stop:
        item["verb"] = "kill";
        item["leeway_s"] = command.grace.count();
        break;
      case CommandType::acknowledge:
        item["verb"] = "reap";
        break;
    }
    out.push_back(std::move(item));
  }
  return out;
}

}  // namespace

core::Heartbeat parse_heartbeat(const std::string& body) {
  const auto json = Json::parse(body);
  core::Heartbeat heartbeat;
  heartbeat.machine = name_at(json, "rig");
  heartbeat.endpoint = name_at(json, "endpoint");
  heartbeat.type = name_at(json, "bench");
  heartbeat.zone = name_at(json, "district");
  const auto spot = json.find("loaners");
  heartbeat.spot = spot != json.end() && !spot->is_null() && spot->get<bool>();
  heartbeat.epoch = integer(json.at("shift"), "shift");
  heartbeat.heartbeat_sequence = integer(json.at("tally"), "tally");
  const auto token = json.find("baton");
  if (token != json.end() && !token->is_null()) heartbeat.token = integer(*token, "baton");
  const auto notice = json.find("recall_s");
  if (notice != json.end() && !notice->is_null()) {
    const auto left = notice->get<double>();
    if (!(left >= -3600 && left < 1e7)) throw std::invalid_argument("recall_s is out of range");
    heartbeat.notice = Seconds(left);
  }
  const auto tasks = json.find("cuts");
  if (tasks == json.end() || tasks->is_null()) return heartbeat;
  if (!tasks->is_array()) throw std::invalid_argument("cuts must be a list");
  heartbeat.tasks.reserve(tasks->size());
  for (const auto& item : *tasks) {
    core::TaskStatus entry;
    entry.task = parse_task(item.at("cut").get<std::string>());
    entry.attempt = integer(item.at("try"), "try");
    entry.state = parse_state(item.at("status").get<std::string>());
    if (entry.state == TaskState::exited)
      entry.cause = parse_cause(item.at("cause").get<std::string>());
    const auto stored = item.find("stored");
    entry.stored = stored != item.end() && stored->is_boolean() && stored->get<bool>();
    heartbeat.tasks.push_back(std::move(entry));
  }
  return heartbeat;
}

std::string response_body(core::FencingToken token, const std::vector<core::Command>& commands) {
  return Json{{"baton", token}, {"orders", commands_to_json(commands)}}.dump();
}

std::string commands_body(core::FencingToken token, std::uint64_t epoch,
                          const std::vector<core::Command>& commands) {
  return Json{{"baton", token}, {"shift", epoch}, {"orders", commands_to_json(commands)}}.dump();
}

}  // namespace violetpulley::agent
