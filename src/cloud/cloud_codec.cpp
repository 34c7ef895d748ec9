#include "cloud/cloud_codec.hpp"

#include <spdlog/spdlog.h>

#include <cmath>
#include <nlohmann/json.hpp>

#include "net/http_status.hpp"

namespace violetpulley::cloud {

using core::Seconds;
using Json = nlohmann::json;

namespace {

// Wire names of the fields (PROTOCOL).
namespace field {
constexpr const char* kTypes = "benches";
constexpr const char* kTypeName = "label";
constexpr const char* kCpus = "cores";
constexpr const char* kGpus = "gpus";
constexpr const char* kMemory = "memory_gb";
constexpr const char* kCache = "local_gb";
constexpr const char* kFetchRate = "fetch_gb_per_s";
constexpr const char* kPrice = "rate";
constexpr const char* kSpotPrice = "spot_price";
constexpr const char* kBootTime = "ready_s";
constexpr const char* kZones = "districts";
constexpr const char* kRequestName = "hire";
constexpr const char* kType = "bench";
constexpr const char* kZone = "district";
constexpr const char* kSpot = "loaners";
constexpr const char* kCount = "number";
constexpr const char* kMachines = "rigs";
constexpr const char* kMachineId = "id";
constexpr const char* kStatus = "status";
constexpr const char* kAge = "held_s";
constexpr const char* kTruncated = "truncated";
constexpr const char* kError = "error";
}  // namespace field

constexpr const char* kFailed = "failed";
constexpr const char* kNoCapacity = "no capacity";

// Reads a field that must be finite and not negative.
double amount_field(const Json& item, const char* name) {
  const auto value = item.at(name).get<double>();
  if (!std::isfinite(value) || value < 0) throw DecodeError(std::string(name) + " is out of range");
  return value;
}

bool present(const Json& item, const char* name) {
  return item.contains(name) && !item.at(name).is_null();
}

core::MachineType decode_machine_type(const Json& item) {
  core::MachineType type;
  type.name = item.at(field::kTypeName).get<std::string>();
  type.capacity.cpus = amount_field(item, field::kCpus);
  if (present(item, field::kGpus)) type.capacity.gpus = amount_field(item, field::kGpus);
  type.capacity.memory_gb = amount_field(item, field::kMemory);
  type.cache_gb = amount_field(item, field::kCache);
  type.fetch_gb_per_s = amount_field(item, field::kFetchRate);
  type.price = amount_field(item, field::kPrice);
  if (present(item, field::kSpotPrice)) type.spot_price = amount_field(item, field::kSpotPrice);
  type.boot = Seconds(amount_field(item, field::kBootTime));
  type.zones = item.at(field::kZones).get<std::vector<std::string>>();
  return type;
}

core::ListedMachine decode_listed_machine(const Json& item) {
  core::ListedMachine machine;
  machine.id = item.at(field::kMachineId).get<std::string>();
  machine.type = item.at(field::kType).get<std::string>();
  machine.zone = item.at(field::kZone).get<std::string>();
  machine.spot = item.value(field::kSpot, false);
  machine.failed = item.at(field::kStatus).get<std::string>() == kFailed;
  machine.age = Seconds(amount_field(item, field::kAge));
  return machine;
}

}  // namespace

net::Request encode_catalog_request() { return {"GET", "/catalog", ""}; }

net::Request encode_scale_out(const core::ScaleOut& request) {
  const Json body{{field::kRequestName, request.name},
                  {field::kType, request.type},
                  {field::kZone, request.zone},
                  {field::kSpot, request.spot},
                  {field::kCount, request.count}};
  return {"POST", "/rentals", body.dump()};
}

net::Request encode_release(const std::vector<core::MachineId>& machines) {
  return {"POST", "/rentals/release", Json{{field::kMachines, machines}}.dump()};
}

net::Request encode_list_page(const core::MachineId& since) {
  return {"GET", since.empty() ? "/rentals?page=500" : "/rentals?since=" + since + "&page=500", ""};
}

std::vector<core::MachineType> parse_catalog(const std::string& body) {
  std::vector<core::MachineType> types;
  try {
    const auto json = Json::parse(body);
    for (const auto& item : json.at(field::kTypes)) types.push_back(decode_machine_type(item));
  } catch (const Json::exception& problem) {
    throw DecodeError(problem.what());
  }
  if (types.empty()) throw DecodeError("the catalog is empty");
  return types;
}

core::ScaleOutResult decode_scale_out(const std::optional<net::Response>& response) {
  using Kind = core::ScaleOutResult::Kind;
  core::ScaleOutResult result;
  if (!response) return result;
  result.kind = Kind::refused;
  try {
    const auto body = Json::parse(response->body);
    if (response->status == net::kStatusOk) {
      result.machines = body.at(field::kMachines).get<std::vector<std::string>>();
      result.kind = Kind::granted;
    } else if (response->status == net::kStatusUnavailable &&
               body.value(field::kError, "") == kNoCapacity) {
      result.kind = Kind::no_capacity;
    }
  } catch (const Json::exception& problem) {
    spdlog::warn("malformed response from the cloud to a scale-out request: {}", problem.what());
    if (response->status == net::kStatusOk) result.kind = Kind::unknown;
  }
  return result;
}

MachinePage decode_machine_page(const std::string& body) {
  try {
    const auto json = Json::parse(body);
    MachinePage page;
    for (const auto& item : json.at(field::kMachines))
      page.machines.push_back(decode_listed_machine(item));
    page.truncated = json.value(field::kTruncated, false) && !page.machines.empty();
    return page;
  } catch (const Json::exception& problem) {
    throw DecodeError(problem.what());
  }
}

}  // namespace violetpulley::cloud
