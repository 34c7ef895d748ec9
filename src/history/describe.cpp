#include "history/describe.hpp"

#include <sstream>

#include "history/digest.hpp"

namespace violetpulley::history {

namespace {

void add_heartbeat(MentionedEntities& out, const core::Heartbeat& heartbeat) {
  out.machines.push_back(heartbeat.machine);
  for (const auto& task : heartbeat.tasks) out.jobs.push_back(task.task.job);
}

std::string heartbeat_line(const core::Heartbeat& heartbeat) {
  std::map<std::string, int> states;
  for (const auto& task : heartbeat.tasks) {
    static constexpr const char* kStates[] = {"fetching", "waiting", "running", "saving", "exited"};
    ++states[kStates[static_cast<int>(task.state)]];
  }
  std::ostringstream out;
  out << heartbeat.machine << " epoch " << heartbeat.epoch << " sequence "
      << heartbeat.heartbeat_sequence << " token " << heartbeat.token;
  if (heartbeat.notice) out << " will be reclaimed in " << heartbeat.notice->count() << " s";
  for (const auto& [state, count] : states) out << ", " << count << " " << state;
  return out.str();
}

std::string elected_line(const core::LeaderElected& event) {
  std::ostringstream out;
  out << event.recovered.jobs.size() << " jobs, " << event.recovered.machines.size()
      << " machines, learned state of " << event.recovered.learned_state.jobs.size() << " jobs";
  return out.str();
}

std::string leadership_line(const core::FormerLeadersGone&) {
  return "every other controller reports that it does not lead";
}
std::string leadership_line(const core::PeerReceivesHeartbeats&) {
  return "workers send heartbeats to another controller";
}
std::string leadership_line(const core::LeadershipProven& event) {
  return "at revision " + std::to_string(event.revision);
}

std::string event_line(const core::Event& event) {
  std::ostringstream out;
  const auto visit = [&]<typename T>(const T& e) {
    if constexpr (std::is_same_v<T, core::LeaderElected>)
      out << elected_line(e);
    else if constexpr (std::is_same_v<T, core::CatalogReceived>)
      out << e.types.size() << " types";
    else if constexpr (std::is_same_v<T, core::JobOpened>)
      out << e.record.spec.id << " of " << e.record.spec.team << ", class "
          << e.record.spec.job_class << ", " << e.record.spec.tasks << " tasks";
    else if constexpr (std::is_same_v<T, core::JobClosed>)
      out << e.id;
    else if constexpr (std::is_same_v<T, core::HeartbeatReceived>)
      out << heartbeat_line(e.heartbeat);
    else if constexpr (std::is_same_v<T, core::CommandsAnswered>)
      out << e.machine << (e.heartbeat ? "" : " did not answer");
    else if constexpr (std::is_same_v<T, core::MachineSaved>)
      out << e.id << (e.ok ? "" : " failed");
    else if constexpr (std::is_same_v<T, core::ProgressSaved>)
      out << e.saved.record.job << " chunk " << e.saved.record.chunk << (e.ok ? "" : " failed");
    else if constexpr (std::is_same_v<T, core::FinishAnswered>)
      out << e.job << " has not ended yet";
    else if constexpr (std::is_same_v<T, core::ScaleOutAnswered>)
      out << e.name << " answered with machines: " << e.answer.machines.size();
    else if constexpr (std::is_same_v<T, core::ScaleInAnswered>)
      out << e.machines.size() << " machines" << (e.ok ? "" : " failed");
    else if constexpr (std::is_same_v<T, core::CloudListed>)
      out << e.machines.size() << " machines";
    else if constexpr (std::is_same_v<T, core::PlacementsSaved>)
      out << e.job << " version " << e.version;
    else if constexpr (requires { leadership_line(e); })
      out << leadership_line(e);
    else
      out << (e.may_place ? "" : "may not serve");
  };
  std::visit(visit, event);
  return out.str();
}

}  // namespace

MentionedEntities mentioned_entities_of(const Record& record) {
  MentionedEntities out;
  const auto* event = std::get_if<core::Event>(&record.content);
  if (event == nullptr) return out;
  const auto visit = [&]<typename T>(const T& e) {
    // Some branches are textually equal, but apply to different event types.
    // NOLINTBEGIN(bugprone-branch-clone)
    if constexpr (std::is_same_v<T, core::JobOpened>)
      out.jobs.push_back(e.record.spec.id);
    else if constexpr (std::is_same_v<T, core::JobClosed>)
      out.jobs.push_back(e.id);
    else if constexpr (std::is_same_v<T, core::FinishAnswered>)
      out.jobs.push_back(e.job);
    else if constexpr (std::is_same_v<T, core::PlacementsSaved>)
      out.jobs.push_back(e.job);
    else if constexpr (std::is_same_v<T, core::ProgressSaved>)
      out.jobs.push_back(e.saved.record.job);
    else if constexpr (std::is_same_v<T, core::HeartbeatReceived>)
      add_heartbeat(out, e.heartbeat);
    else if constexpr (std::is_same_v<T, core::MachineSaved>)
      out.machines.push_back(e.id);
    else if constexpr (std::is_same_v<T, core::ScaleOutAnswered>)
      out.machines = e.answer.machines;
    else if constexpr (std::is_same_v<T, core::ScaleInAnswered>)
      out.machines = e.machines;
    else if constexpr (std::is_same_v<T, core::CommandsAnswered>) {
      if (e.heartbeat)
        add_heartbeat(out, *e.heartbeat);
      else
        out.machines.push_back(e.machine);
    }
    // NOLINTEND(bugprone-branch-clone)
  };
  std::visit(visit, *event);
  return out;
}

std::string kind_of(const Record& record) {
  const auto* event = std::get_if<core::Event>(&record.content);
  return event == nullptr ? "acted" : core::name_of(*event);
}

std::string describe(const Record& record) {
  const auto* event = std::get_if<core::Event>(&record.content);
  return event == nullptr ? "digest " + hex(std::get<ActionsRecorded>(record.content).digest)
                          : event_line(*event);
}

nlohmann::json to_json(const Record& record, std::uint64_t number) {
  const auto mentioned = mentioned_entities_of(record);
  return {{"record", number},
          {"token", record.token},
          {"at_s", core::Seconds(record.at.time_since_epoch()).count()},
          {"kind", kind_of(record)},
          {"text", describe(record)},
          {"jobs", mentioned.jobs},
          {"machines", mentioned.machines}};
}

}  // namespace violetpulley::history
