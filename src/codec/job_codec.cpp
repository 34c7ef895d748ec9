#include "codec/job_codec.hpp"

#include <algorithm>
#include <cmath>

namespace violetpulley::codec {

using core::Priority;
using core::Seconds;
using core::Shape;

namespace {

// Wire names of the fields (PROTOCOL), which are also the stored names.
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
struct WireName {
  const char* name;
  Value value;
};
constexpr WireName<Shape> kShapes[] = {
    {"array", Shape::array}, {"gang", Shape::gang}, {"service", Shape::service}};
constexpr WireName<Priority> kPriorities[] = {{"prod", Priority::production},
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

std::string parse_text(const Json& value, const char* name) {
  if (!value.is_string()) throw MalformedJob(std::string(name) + " must be a string");
  auto out = value.get<std::string>();
  if (out.empty() || out.size() > kMaxNameBytes)
    throw MalformedJob(std::string(name) + " must hold 1 to 200 bytes");
  return out;
}

std::string text_field(const Json& body, const char* name) {
  return parse_text(required(body, name), name);
}

// Reads a field that must be a number from 0 to kMaxAmount.
double amount_field(const Json& body, const char* name) {
  const auto& value = required(body, name);
  if (!value.is_number()) throw MalformedJob(std::string(name) + " must be a number");
  const auto out = value.get<double>();
  if (!std::isfinite(out) || out < 0 || out > kMaxAmount)
    throw MalformedJob(std::string(name) + " is out of range");
  return out;
}

bool flag_field(const Json& body, const char* name) {
  const auto& value = required(body, name);
  if (!value.is_boolean()) throw MalformedJob(std::string(name) + " must be true or false");
  return value.get<bool>();
}

template <typename Value, std::size_t N>
Value parse_enum(const Json& body, const char* name, const WireName<Value> (&names)[N]) {
  const auto given = text_field(body, name);
  for (const auto& entry : names)
    if (given == entry.name) return entry.value;
  throw MalformedJob(std::string(name) + " is not known: " + given);
}

template <typename Value, std::size_t N>
const char* wire_name(Value value, const WireName<Value> (&names)[N]) {
  for (const auto& entry : names)
    if (entry.value == value) return entry.name;
  return names[0].name;
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
  per_task.cpus = amount_field(body, field::kCpus);
  per_task.gpus = amount_field(body, field::kGpus);
  per_task.memory_gb = amount_field(body, field::kMemory);
  if (per_task.cpus <= 0 && per_task.gpus <= 0) throw MalformedJob("cores must be greater than 0");
  return per_task;
}

std::vector<std::string> parse_types(const Json& body) {
  std::vector<std::string> types;
  if (absent(body, field::kTypes)) return types;
  const auto& names = body.at(field::kTypes);
  if (!names.is_array()) throw MalformedJob("benches must be a list");
  for (const auto& name : names) types.push_back(parse_text(name, field::kTypes));
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

// If several fields are malformed, the error names the first one in this order.
core::JobSpec parse_job(const Json& body) {
  if (!body.is_object()) throw MalformedJob("the body must be a JSON object");
  core::JobSpec spec;
  spec.id = text_field(body, field::kId);
  if (!valid_job_id(spec.id)) throw MalformedJob("id must have the form req-000412");
  spec.job_class = text_field(body, field::kJobClass);
  spec.team = text_field(body, field::kTeam);
  spec.shape = parse_enum(body, field::kShape, kShapes);
  spec.priority = parse_enum(body, field::kPriority, kPriorities);
  spec.tasks = parse_task_count(body);
  spec.per_task = parse_resources(body);
  spec.image = text_field(body, field::kImage);
  spec.image_gb = amount_field(body, field::kImageSize);
  spec.types = parse_types(body);
  if (!absent(body, field::kZone)) spec.zone = text_field(body, field::kZone);
  spec.same_zone = flag_field(body, field::kSameZone);
  spec.spread = flag_field(body, field::kSpread);
  spec.spot_allowed = flag_field(body, field::kSpotAllowed);
  spec.estimate = Seconds(amount_field(body, field::kEstimate));
  spec.checkpoint_every = Seconds(amount_field(body, field::kCheckpointEvery));
  spec.checkpoint_time = Seconds(amount_field(body, field::kCheckpointTime));
  if (!absent(body, field::kDeadline))
    spec.deadline = Seconds(amount_field(body, field::kDeadline));
  return spec;
}

Json job_to_json(const core::JobSpec& spec) {
  Json out{{field::kId, spec.id},
           {field::kJobClass, spec.job_class},
           {field::kTeam, spec.team},
           {field::kShape, wire_name(spec.shape, kShapes)},
           {field::kPriority, wire_name(spec.priority, kPriorities)},
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
