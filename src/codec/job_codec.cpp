#include "codec/job_codec.hpp"

#include <algorithm>
#include <cmath>

namespace violetpulley::codec {

using core::Priority;
using core::Seconds;
using core::Shape;

namespace {

// Field names of PROTOCOL, which are stored names too.
namespace field {
constexpr const char* kId = "id";
constexpr const char* kJobClass = "lot";
constexpr const char* kTeam = "owner";
constexpr const char* kShape = "shape";
constexpr const char* kPriority = "urgency";
constexpr const char* kTasks = "cuts";
constexpr const char* kCpus = "cores";
constexpr const char* kGpus = "gpus";
constexpr const char* kMemory = "memory_gb";
constexpr const char* kImage = "casket";
constexpr const char* kImageSize = "image_gb";
constexpr const char* kTypes = "benches";
constexpr const char* kZone = "district";
constexpr const char* kSameZone = "same_place";
constexpr const char* kSpread = "spread";
constexpr const char* kSpotAllowed = "loaners";
constexpr const char* kEstimate = "expect_s";
constexpr const char* kCheckpointEvery = "mark_s";
constexpr const char* kCheckpointTime = "stow_s";
constexpr const char* kDeadline = "due_s";
}  // namespace field

constexpr std::string_view kIdPrefix = "req-";
constexpr std::size_t kMaxIdBytes = 40;
constexpr std::size_t kMaxNameBytes = 200;
constexpr double kMaxAmount = 1e7;
constexpr double kMaxTasks = 100'000;
constexpr std::size_t kMaxTypes = 100;

template <typename Value>
struct Label {
  const char* text;
  Value value;
};
constexpr Label<Shape> kShapes[] = {
    {"array", Shape::array}, {"gang", Shape::gang}, {"service", Shape::service}};
constexpr Label<Priority> kPriorities[] = {{"prod", Priority::production},
                                           {"high", Priority::high},
                                           {"normal", Priority::normal},
                                           {"idle", Priority::idle}};

const Json& required(const Json& body, const char* name) {
  const auto found = body.find(name);
  if (found == body.end()) throw MalformedJob(std::string(name) + " is missing");
  return *found;
}

bool absent(const Json& body, const char* name) {
  const auto found = body.find(name);
  return found == body.end() || found->is_null();
}

std::string text_of(const Json& value, const char* name) {
  if (!value.is_string()) throw MalformedJob(std::string(name) + " must be a string");
  auto out = value.get<std::string>();
  if (out.empty() || out.size() > kMaxNameBytes)
    throw MalformedJob(std::string(name) + " must hold 1 to 200 bytes");
  return out;
}

std::string text(const Json& body, const char* name) { return text_of(required(body, name), name); }

// A number that is not negative.
double amount(const Json& body, const char* name) {
  const auto& value = required(body, name);
  if (!value.is_number()) throw MalformedJob(std::string(name) + " must be a number");
  const auto out = value.get<double>();
  if (!std::isfinite(out) || out < 0 || out > kMaxAmount)
    throw MalformedJob(std::string(name) + " is out of range");
  return out;
}

bool flag(const Json& body, const char* name) {
  const auto& value = required(body, name);
  if (!value.is_boolean()) throw MalformedJob(std::string(name) + " must be true or false");
  return value.get<bool>();
}

template <typename Value, std::size_t N>
Value choice(const Json& body, const char* name, const Label<Value> (&labels)[N]) {
  const auto given = text(body, name);
  for (const auto& label : labels)
    if (given == label.text) return label.value;
  throw MalformedJob(std::string(name) + " is not known: " + given);
}

template <typename Value, std::size_t N>
const char* label_of(Value value, const Label<Value> (&labels)[N]) {
  for (const auto& label : labels)
    if (label.value == value) return label.text;
  return labels[0].text;
}

core::TaskIndex parse_task_count(const Json& body) {
  const auto& tasks = required(body, field::kTasks);
  if (!tasks.is_number_integer()) throw MalformedJob("cuts must be an integer");
  const auto count = tasks.get<double>();
  if (count < 1 || count > kMaxTasks) throw MalformedJob("cuts must lie between 1 and 100000");
  return static_cast<core::TaskIndex>(count);
}

core::Resources parse_resources(const Json& body) {
  core::Resources per_task;
  per_task.cpus = amount(body, field::kCpus);
  per_task.gpus = amount(body, field::kGpus);
  per_task.memory_gb = amount(body, field::kMemory);
  if (per_task.cpus <= 0 && per_task.gpus <= 0) throw MalformedJob("cores must be greater than 0");
  return per_task;
}

std::vector<std::string> parse_types(const Json& body) {
  std::vector<std::string> types;
  if (absent(body, field::kTypes)) return types;
  const auto& names = body.at(field::kTypes);
  if (!names.is_array()) throw MalformedJob("benches must be a list");
  for (const auto& name : names) types.push_back(text_of(name, field::kTypes));
  if (types.empty() || types.size() > kMaxTypes)
    throw MalformedJob("benches must name 1 to 100 types");
  return types;
}

}  // namespace

bool valid_job_id(std::string_view id) {
  if (id.size() <= kIdPrefix.size() || id.size() > kMaxIdBytes || !id.starts_with(kIdPrefix))
    return false;
  const auto number = id.substr(kIdPrefix.size());
  return std::all_of(number.begin(), number.end(), [](char c) { return c >= '0' && c <= '9'; });
}

// The order of the fields decides which one of several malformed fields is named.
core::JobSpec parse_job(const Json& body) {
  if (!body.is_object()) throw MalformedJob("the body must be a JSON object");
  core::JobSpec spec;
  spec.id = text(body, field::kId);
  if (!valid_job_id(spec.id)) throw MalformedJob("id must have the form req-000412");
  spec.job_class = text(body, field::kJobClass);
  spec.team = text(body, field::kTeam);
  spec.shape = choice(body, field::kShape, kShapes);
  spec.priority = choice(body, field::kPriority, kPriorities);
  spec.tasks = parse_task_count(body);
  spec.per_task = parse_resources(body);
  spec.image = text(body, field::kImage);
  spec.image_gb = amount(body, field::kImageSize);
  spec.types = parse_types(body);
  if (!absent(body, field::kZone)) spec.zone = text(body, field::kZone);
  spec.same_zone = flag(body, field::kSameZone);
  spec.spread = flag(body, field::kSpread);
  spec.spot_allowed = flag(body, field::kSpotAllowed);
  spec.estimate = Seconds(amount(body, field::kEstimate));
  spec.checkpoint_every = Seconds(amount(body, field::kCheckpointEvery));
  spec.checkpoint_time = Seconds(amount(body, field::kCheckpointTime));
  if (!absent(body, field::kDeadline)) spec.deadline = Seconds(amount(body, field::kDeadline));
  return spec;
}

Json job_to_json(const core::JobSpec& spec) {
  Json out{{field::kId, spec.id},
           {field::kJobClass, spec.job_class},
           {field::kTeam, spec.team},
           {field::kShape, label_of(spec.shape, kShapes)},
           {field::kPriority, label_of(spec.priority, kPriorities)},
           {field::kTasks, spec.tasks},
           {field::kCpus, spec.per_task.cpus},
           {field::kGpus, spec.per_task.gpus},
           {field::kMemory, spec.per_task.memory_gb},
           {field::kImage, spec.image},
           {field::kImageSize, spec.image_gb},
           {field::kSameZone, spec.same_zone},
           {field::kSpread, spec.spread},
           {field::kSpotAllowed, spec.spot_allowed},
           {field::kEstimate, spec.estimate.count()},
           {field::kCheckpointEvery, spec.checkpoint_every.count()},
           {field::kCheckpointTime, spec.checkpoint_time.count()}};
  if (!spec.types.empty()) out[field::kTypes] = spec.types;
  if (spec.zone) out[field::kZone] = *spec.zone;
  if (spec.deadline) out[field::kDeadline] = spec.deadline->count();
  return out;
}

}  // namespace violetpulley::codec
