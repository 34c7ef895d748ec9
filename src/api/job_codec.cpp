#include "api/job_codec.hpp"

#include <algorithm>
#include <cmath>

namespace violetpulley::api {

using core::Priority;
using core::Seconds;
using core::Shape;

namespace {

constexpr std::string_view kIdPrefix = "req-";
constexpr double kAbsurd = 1e7;
constexpr std::size_t kMaxName = 200;

const std::pair<const char*, Shape> kShapes[] = {
    {"array", Shape::array}, {"gang", Shape::gang}, {"service", Shape::service}};
const std::pair<const char*, Priority> kPriorities[] = {{"prod", Priority::production},
                                                        {"high", Priority::high},
                                                        {"normal", Priority::normal},
                                                        {"idle", Priority::idle}};

const Json& field(const Json& body, const char* name) {
  const auto found = body.find(name);
  if (found == body.end()) throw BadRequest(std::string(name) + " is missing");
  return *found;
}

bool absent(const Json& body, const char* name) {
  const auto found = body.find(name);
  return found == body.end() || found->is_null();
}

std::string text(const Json& value, const char* name) {
  if (!value.is_string()) throw BadRequest(std::string(name) + " must be a string");
  auto out = value.get<std::string>();
  if (out.empty() || out.size() > kMaxName)
    throw BadRequest(std::string(name) + " must hold 1 to 200 bytes");
  return out;
}

double amount(const Json& value, const char* name, double least) {
  if (!value.is_number()) throw BadRequest(std::string(name) + " must be a number");
  const auto out = value.get<double>();
  if (!std::isfinite(out) || out < least || out > kAbsurd)
    throw BadRequest(std::string(name) + " is out of range");
  return out;
}

bool flag(const Json& value, const char* name) {
  if (!value.is_boolean()) throw BadRequest(std::string(name) + " must be true or false");
  return value.get<bool>();
}

template <typename Value, std::size_t N>
Value choice(const Json& value, const char* name, const std::pair<const char*, Value> (&known)[N]) {
  const auto given = text(value, name);
  for (const auto& [label, meaning] : known)
    if (given == label) return meaning;
  throw BadRequest(std::string(name) + " is not known: " + given);
}

template <typename Value, std::size_t N>
const char* label_of(Value value, const std::pair<const char*, Value> (&known)[N]) {
  for (const auto& [label, meaning] : known)
    if (meaning == value) return label;
  return known[0].first;
}

}  // namespace

bool valid_job_id(std::string_view id) {
  if (id.size() <= kIdPrefix.size() || id.size() > 40 || id.substr(0, 4) != kIdPrefix) return false;
  return std::all_of(id.begin() + 4, id.end(), [](char c) { return c >= '0' && c <= '9'; });
}

core::JobSpec parse_job(const Json& body) {
  if (!body.is_object()) throw BadRequest("the body must be a JSON object");
  core::JobSpec spec;
  spec.id = text(field(body, "id"), "id");
  if (!valid_job_id(spec.id)) throw BadRequest("id must have the form req-000412");
  spec.job_class = text(field(body, "lot"), "lot");
  spec.team = text(field(body, "owner"), "owner");
  spec.shape = choice(field(body, "shape"), "shape", kShapes);
  spec.priority = choice(field(body, "urgency"), "urgency", kPriorities);
  const auto& tasks = field(body, "cuts");
  if (!tasks.is_number_integer()) throw BadRequest("cuts must be an integer");
  const double count = tasks.get<double>();
  if (count < 1 || count > 100'000) throw BadRequest("cuts must lie between 1 and 100000");
  spec.tasks = static_cast<core::TaskIndex>(count);
  spec.per_task.cpus = amount(field(body, "cores"), "cores", 0);
  spec.per_task.gpus = amount(field(body, "gpus"), "gpus", 0);
  spec.per_task.memory_gb = amount(field(body, "memory_gb"), "memory_gb", 0);
  if (spec.per_task.cpus <= 0 && spec.per_task.gpus <= 0)
    throw BadRequest("cores must be greater than 0");
  spec.image = text(field(body, "casket"), "casket");
  spec.image_gb = amount(field(body, "image_gb"), "image_gb", 0);
  if (!absent(body, "benches")) {
    if (!body.at("benches").is_array()) throw BadRequest("benches must be a list");
    for (const auto& type : body.at("benches")) spec.types.push_back(text(type, "benches"));
    if (spec.types.empty() || spec.types.size() > 100)
      throw BadRequest("benches must name 1 to 100 types");
  }
  if (!absent(body, "district")) spec.zone = text(body.at("district"), "district");
  spec.same_zone = flag(field(body, "same_place"), "same_place");
  spec.spread = flag(field(body, "spread"), "spread");
  spec.spot_allowed = flag(field(body, "loaners"), "loaners");
  spec.estimate = Seconds(amount(field(body, "expect_s"), "expect_s", 0));
  spec.checkpoint_every = Seconds(amount(field(body, "mark_s"), "mark_s", 0));
  spec.checkpoint_time = Seconds(amount(field(body, "stow_s"), "stow_s", 0));
  if (!absent(body, "due_s")) spec.deadline = Seconds(amount(body.at("due_s"), "due_s", 0));
  return spec;
}

Json job_to_json(const core::JobSpec& spec) {
  Json out{{"id", spec.id},
           {"lot", spec.job_class},
           {"owner", spec.team},
           {"shape", label_of(spec.shape, kShapes)},
           {"urgency", label_of(spec.priority, kPriorities)},
           {"cuts", spec.tasks},
           {"cores", spec.per_task.cpus},
           {"gpus", spec.per_task.gpus},
           {"memory_gb", spec.per_task.memory_gb},
           {"casket", spec.image},
           {"image_gb", spec.image_gb},
           {"same_place", spec.same_zone},
           {"spread", spec.spread},
           {"loaners", spec.spot_allowed},
           {"expect_s", spec.estimate.count()},
           {"mark_s", spec.checkpoint_every.count()},
           {"stow_s", spec.checkpoint_time.count()}};
  if (!spec.types.empty()) out["benches"] = spec.types;
  if (spec.zone) out["district"] = *spec.zone;
  if (spec.deadline) out["due_s"] = spec.deadline->count();
  return out;
}

Json record_to_json(const core::JobRecord& record) {
  return {{"job", job_to_json(record.spec)},
          {"submitted_ms", record.submitted.time_since_epoch().count()}};
}

core::JobRecord record_from_json(const Json& value, core::Revision revision) {
  // A job that was accepted without one of these, by an older program, stays known.
  Json job{{"gpus", 0.0},      {"same_place", false}, {"spread", false},
           {"loaners", false}, {"mark_s", 0.0},       {"stow_s", 0.0}};
  job.update(value.at("job"));
  core::JobRecord record;
  record.spec = parse_job(job);
  record.submitted =
      core::WallTime(std::chrono::milliseconds(value.at("submitted_ms").get<std::int64_t>()));
  record.revision = revision;
  return record;
}

std::optional<std::string> never_runs(const core::JobSpec& spec,
                                      const std::vector<core::Team>& teams,
                                      const std::vector<core::MachineType>& types,
                                      const std::vector<std::string>& zones) {
  const auto team = std::find_if(teams.begin(), teams.end(),
                                 [&](const core::Team& t) { return t.name == spec.team; });
  if (team == teams.end()) return "unknown team " + spec.team;
  // An array runs within the limit task by task; the tasks of gangs and services run together.
  const bool together = spec.shape != Shape::array;
  const auto needed = spec.per_task * (together ? static_cast<double>(spec.tasks) : 1.0);
  if ((team->max_cpus > 0 && needed.cpus > team->max_cpus + core::Resources::kRoundingTolerance) ||
      (team->max_gpus > 0 && needed.gpus > team->max_gpus + core::Resources::kRoundingTolerance))
    return (together ? "the job needs" : "a task needs") +
           std::string(" more than the limit of team ") + spec.team;
  if (spec.zone && std::find(zones.begin(), zones.end(), *spec.zone) == zones.end())
    return "unknown zone " + *spec.zone;
  const bool fits = std::any_of(types.begin(), types.end(), [&](const core::MachineType& type) {
    const bool named = spec.types.empty() || std::find(spec.types.begin(), spec.types.end(),
                                                       type.name) != spec.types.end();
    const bool there = !spec.zone || std::find(type.zones.begin(), type.zones.end(), *spec.zone) !=
                                         type.zones.end();
    return named && there && spec.per_task.fits_in(type.capacity);
  });
  if (!fits) return "a task fits no machine type that the job allows";
  // Half of one task, rounded up, is one: only several tasks can contradict themselves.
  if (spec.same_zone && spec.spread && spec.tasks > 1)
    return "same_place and spread contradict each other";
  return std::nullopt;
}

}  // namespace violetpulley::api
