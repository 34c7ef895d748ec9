#include "config/case_file.hpp"

#include <rapidjson/document.h>
#include <rapidjson/pointer.h>
#include <rapidjson/schema.h>
#include <rapidjson/stringbuffer.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <set>
#include <sstream>

namespace violetpulley::config {

namespace {

using solver::Amount;
using solver::kOne;
namespace rj = rapidjson;

// Amounts have six decimal places. With the maximum amount, sums over 100,000 tasks stay within the
// range of solver::Amount.
constexpr const char* kSchema = R"({
  "type": "object", "additionalProperties": false, "required": ["machines", "jobs"],
  "definitions": {
    "amount": {"type": "number", "minimum": 0, "maximum": 1000000},
    "name": {"type": "string", "minLength": 1, "maxLength": 200}
  },
  "properties": {
    "machines": {"type": "array", "maxItems": 10000, "items": {
      "type": "object", "additionalProperties": false, "required": ["id", "cpus"],
      "properties": {
        "id": {"$ref": "#/definitions/name"}, "type": {"$ref": "#/definitions/name"},
        "zone": {"$ref": "#/definitions/name"},
        "spot": {"type": "boolean"}, "rented": {"type": "boolean"},
        "cpus": {"$ref": "#/definitions/amount"}, "gpus": {"$ref": "#/definitions/amount"},
        "memory_gb": {"$ref": "#/definitions/amount"}, "price": {"$ref": "#/definitions/amount"},
        "count": {"type": "integer", "minimum": 1, "maximum": 10000}}}},
    "teams": {"type": "array", "maxItems": 1000, "items": {
      "type": "object", "additionalProperties": false, "required": ["name"],
      "properties": {
        "name": {"$ref": "#/definitions/name"},
        "guaranteed_cpus": {"$ref": "#/definitions/amount"}, "max_cpus": {"$ref": "#/definitions/amount"},
        "guaranteed_gpus": {"$ref": "#/definitions/amount"}, "max_gpus": {"$ref": "#/definitions/amount"}}}},
    "jobs": {"type": "array", "maxItems": 10000, "items": {
      "type": "object", "additionalProperties": false, "required": ["id", "cpus"],
      "properties": {
        "id": {"$ref": "#/definitions/name"}, "team": {"$ref": "#/definitions/name"},
        "shape": {"enum": ["array", "gang", "service"]},
        "priority": {"type": "integer", "minimum": -1000, "maximum": 1000},
        "tasks": {"type": "integer", "minimum": 1, "maximum": 1000000},
        "cpus": {"$ref": "#/definitions/amount"}, "gpus": {"$ref": "#/definitions/amount"},
        "memory_gb": {"$ref": "#/definitions/amount"},
        "types": {"type": "array", "items": {"$ref": "#/definitions/name"}},
        "zone": {"$ref": "#/definitions/name"},
        "same_zone": {"type": "boolean"}, "spread": {"type": "boolean"}, "spot": {"type": "boolean"},
        "bin": {"type": "integer", "minimum": 0, "maximum": 64},
        "movable": {"type": "boolean"}, "loss": {"$ref": "#/definitions/amount"},
        "running": {"type": "object", "additionalProperties":
          {"type": "integer", "minimum": 0, "maximum": 1000000}}}}}
  }
})";

rj::Value json_value(const YAML::Node& node, rj::Document::AllocatorType& memory) {
  rj::Value out;
  if (node.IsSequence()) {
    out.SetArray();
    for (const auto& item : node) out.PushBack(json_value(item, memory), memory);
  } else if (node.IsMap()) {
    out.SetObject();
    for (const auto& entry : node) {
      const auto name = entry.first.Scalar();
      if (out.HasMember(name.c_str()))
        throw SettingsError("line " + std::to_string(entry.first.Mark().line + 1) + ": " + name +
                            " is given twice");
      out.AddMember(rj::Value(name.c_str(), memory), json_value(entry.second, memory), memory);
    }
  } else if (node.IsScalar()) {
    // Quoted scalars are strings, also if they look like a number or a flag.
    bool flag = false;
    double number = 0;
    std::int64_t integer = 0;
    // The branches of quoted and of plain strings are equal.
    // NOLINTBEGIN(bugprone-branch-clone)
    if (node.Tag() == "!")
      out.SetString(node.Scalar().c_str(), memory);
    else if (YAML::convert<std::int64_t>::decode(node, integer))
      out.SetInt64(integer);
    else if (YAML::convert<double>::decode(node, number) && std::isfinite(number))
      out.SetDouble(number);
    else if (YAML::convert<bool>::decode(node, flag))
      out.SetBool(flag);
    else
      out.SetString(node.Scalar().c_str(), memory);
    // NOLINTEND(bugprone-branch-clone)
  }
  return out;
}

// Line of a node such as "/jobs/3/cpus", or of its nearest ancestor that exists.
int line_at(const YAML::Node& root, const rj::Pointer& path) {
  YAML::Node node = root;
  int line = root.Mark().line;
  for (std::size_t i = 0; i < path.GetTokenCount(); ++i) {
    const auto& token = path.GetTokens()[i];
    const std::string name(token.name, token.length);
    YAML::Node next;
    if (node.IsSequence())
      next.reset(node[static_cast<std::size_t>(std::stoul(name))]);
    else if (node.IsMap())
      next.reset(node[name]);
    if (!next || !next.IsDefined()) break;
    if (next.Mark().line >= 0) line = next.Mark().line;
    node.reset(next);
  }
  return line + 1;
}

std::string path_text(const rj::Pointer& path) {
  rj::StringBuffer buffer;
  path.Stringify(buffer);
  return buffer.GetSize() == 0 ? "the case" : std::string(buffer.GetString(), buffer.GetSize());
}

void check_schema(const rj::Document& document, const YAML::Node& root) {
  rj::Document schema_text;
  schema_text.Parse(kSchema);
  const rj::SchemaDocument schema(schema_text);
  rj::SchemaValidator validator(schema);
  if (document.Accept(validator)) return;
  const auto path = validator.GetInvalidDocumentPointer();
  const std::string keyword = validator.GetInvalidSchemaKeyword();
  std::string what = "violates \"" + keyword + "\" of the schema";
  if (keyword == "additionalProperties") what = "has an unknown field";
  if (keyword == "required") what = "lacks a required field (id or name, and cpus)";
  if (keyword == "type") what = "is of the wrong type";
  if (keyword == "minimum" || keyword == "maximum") what = "is out of range";
  if (keyword == "enum") what = "is not one of the allowed values";
  throw SettingsError("line " + std::to_string(line_at(root, path)) + ": " + path_text(path) + " " +
                      what);
}

class Fields {
 public:
  explicit Fields(const rj::Value& object) : object_(object) {}
  std::string text(const char* name) const {
    return object_.HasMember(name) ? object_[name].GetString() : "";
  }
  bool flag(const char* name, bool fallback) const {
    return object_.HasMember(name) ? object_[name].GetBool() : fallback;
  }
  std::int64_t integer(const char* name, std::int64_t fallback) const {
    return object_.HasMember(name) ? object_[name].GetInt64() : fallback;
  }
  Amount amount(const char* name) const {
    return object_.HasMember(name) ? std::llround(object_[name].GetDouble() * kOne) : 0;
  }
  solver::Resources resources() const {
    return {{amount("cpus"), amount("gpus"), amount("memory_gb")}};
  }

 private:
  const rj::Value& object_;
};

void read_machine(const Fields& fields, solver::Problem& out) {
  solver::Machine machine;
  machine.id = fields.text("id");
  machine.type = fields.text("type");
  machine.zone = fields.text("zone");
  machine.spot = fields.flag("spot", false);
  machine.rented = fields.flag("rented", true);
  machine.capacity = fields.resources();
  machine.price = fields.amount("price");
  const auto count = fields.integer("count", 1);
  const auto name = machine.id;
  for (std::int64_t i = 1; i <= count; ++i) {
    if (count > 1) machine.id = name + "-" + std::to_string(i);
    out.machines.push_back(machine);
  }
}

solver::Job read_job(const rj::Value& value, const solver::Problem& problem) {
  const Fields fields(value);
  solver::Job job;
  job.id = fields.text("id");
  job.team = fields.text("team");
  const auto shape = fields.text("shape");
  job.shape = shape == "gang"      ? solver::Shape::gang
              : shape == "service" ? solver::Shape::service
                                   : solver::Shape::array;
  job.priority = static_cast<int>(fields.integer("priority", 0));
  job.tasks = static_cast<std::uint32_t>(fields.integer("tasks", 1));
  job.per_task = fields.resources();
  if (value.HasMember("types"))
    for (const auto& type : value["types"].GetArray()) job.types.emplace_back(type.GetString());
  if (value.HasMember("zone")) job.zone = value["zone"].GetString();
  job.same_zone = fields.flag("same_zone", false);
  job.spread = fields.flag("spread", false);
  job.spot_allowed = fields.flag("spot", true);
  job.bin = static_cast<int>(fields.integer("bin", 0));
  job.movable = fields.flag("movable", false);
  job.loss = fields.amount("loss");
  if (!value.HasMember("running")) return job;
  job.running_tasks.resize(problem.machines.size());
  for (const auto& entry : value["running"].GetObject()) {
    const auto machine =
        std::find_if(problem.machines.begin(), problem.machines.end(),
                     [&](const auto& m) { return m.id == entry.name.GetString(); });
    if (machine == problem.machines.end())
      throw SettingsError("job " + job.id + ": running: there is no machine " +
                          entry.name.GetString());
    job.running_tasks[static_cast<std::size_t>(machine - problem.machines.begin())] =
        static_cast<std::uint32_t>(entry.value.GetInt64());
  }
  return job;
}

template <class Range, class Name>
void check_names(const Range& range, const char* what, const Name& name) {
  std::set<std::string> seen;
  for (const auto& entry : range)
    if (!seen.insert(name(entry)).second)
      throw SettingsError(std::string(what) + " " + name(entry) + " is defined twice");
}

std::string amount_text(Amount amount) {
  std::ostringstream out;
  out << amount / kOne;
  if (amount % kOne != 0) out << "." << std::setw(6) << std::setfill('0') << amount % kOne;
  return out.str();
}

void write_resources(std::ostream& out, const solver::Resources& resources) {
  out << ", cpus: " << amount_text(resources.amounts[solver::cpus])
      << ", gpus: " << amount_text(resources.amounts[solver::gpus])
      << ", memory_gb: " << amount_text(resources.amounts[solver::memory_gb]);
}

void write_job(std::ostream& out, const solver::Problem& problem, const solver::Job& job) {
  static constexpr const char* kShapes[] = {"array", "gang", "service"};
  out << "  - {id: \"" << job.id << "\"";
  if (!job.team.empty()) out << ", team: \"" << job.team << "\"";
  out << ", shape: " << kShapes[static_cast<int>(job.shape)] << ", priority: " << job.priority
      << ", tasks: " << job.tasks;
  write_resources(out, job.per_task);
  for (std::size_t i = 0; i < job.types.size(); ++i)
    out << (i == 0 ? ", types: [" : ", ") << '"' << job.types[i] << '"'
        << (i + 1 == job.types.size() ? "]" : "");
  if (job.zone) out << ", zone: \"" << *job.zone << "\"";
  if (job.same_zone) out << ", same_zone: true";
  if (job.spread) out << ", spread: true";
  if (!job.spot_allowed) out << ", spot: false";
  out << ", bin: " << job.bin << (job.movable ? ", movable: true" : "")
      << ", loss: " << amount_text(job.loss);
  bool any = false;
  for (std::size_t m = 0; m < problem.machines.size(); ++m) {
    if (job.running_on(m) == 0) continue;
    out << (any ? ", " : ", running: {") << '"' << problem.machines[m].id
        << "\": " << job.running_on(m);
    any = true;
  }
  out << (any ? "}}" : "}") << "\n";
}

}  // namespace

solver::Problem parse_case(const std::string& yaml) {
  YAML::Node root;
  try {
    root = YAML::Load(yaml);
  } catch (const YAML::Exception& problem) {
    throw SettingsError(std::string("not YAML: ") + problem.what());
  }
  rj::Document document;
  static_cast<rj::Value&>(document) = json_value(root, document.GetAllocator());
  check_schema(document, root);
  solver::Problem out;
  for (const auto& machine : document["machines"].GetArray()) read_machine(Fields(machine), out);
  if (document.HasMember("teams"))
    for (const auto& value : document["teams"].GetArray()) {
      const Fields fields(value);
      out.teams.push_back(
          {fields.text("name"),
           {{fields.amount("guaranteed_cpus"), fields.amount("guaranteed_gpus"), 0}},
           {{fields.amount("max_cpus"), fields.amount("max_gpus"), 0}}});
    }
  for (const auto& job : document["jobs"].GetArray()) out.jobs.push_back(read_job(job, out));
  check_names(out.machines, "machine", [](const auto& m) { return m.id; });
  check_names(out.jobs, "job", [](const auto& j) { return j.id; });
  check_names(out.teams, "team", [](const auto& t) { return t.name; });
  if (const auto violation = broken_limit(out, current_placement(out)))
    throw SettingsError("the running tasks break a limit: " + *violation);
  return out;
}

std::string case_text(const solver::Problem& problem) {
  std::ostringstream out;
  out << "machines:" << (problem.machines.empty() ? " []" : "") << "\n";
  for (const auto& machine : problem.machines) {
    out << "  - {id: \"" << machine.id << "\"";
    if (!machine.type.empty()) out << ", type: \"" << machine.type << "\"";
    if (!machine.zone.empty()) out << ", zone: \"" << machine.zone << "\"";
    if (machine.spot) out << ", spot: true";
    if (!machine.rented) out << ", rented: false";
    write_resources(out, machine.capacity);
    out << ", price: " << amount_text(machine.price) << "}\n";
  }
  if (!problem.teams.empty()) out << "teams:\n";
  for (const auto& team : problem.teams)
    out << "  - {name: \"" << team.name
        << "\", guaranteed_cpus: " << amount_text(team.guaranteed.amounts[solver::cpus])
        << ", guaranteed_gpus: " << amount_text(team.guaranteed.amounts[solver::gpus])
        << ", max_cpus: " << amount_text(team.limit.amounts[solver::cpus])
        << ", max_gpus: " << amount_text(team.limit.amounts[solver::gpus]) << "}\n";
  out << "jobs:" << (problem.jobs.empty() ? " []" : "") << "\n";
  for (const auto& job : problem.jobs) write_job(out, problem, job);
  return out.str();
}

}  // namespace violetpulley::config
