#include "cloud/cloud_client.hpp"

#include <spdlog/spdlog.h>

#include <cmath>
#include <nlohmann/json.hpp>

namespace violetpulley::cloud {

using core::Clock;
using core::Seconds;
using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTimeout{5000};

double number(const Json& item, const char* name, double least) {
  const auto value = item.at(name).get<double>();
  if (!std::isfinite(value) || value < least)
    throw std::invalid_argument(std::string(name) + " is out of range");
  return value;
}

}  // namespace

std::vector<core::MachineType> parse_catalog(const std::string& body) {
  std::vector<core::MachineType> types;
  const auto json = Json::parse(body);
  for (const auto& item : json.at("benches")) {
    core::MachineType type;
    type.name = item.at("label").get<std::string>();
    type.capacity.cpus = number(item, "cores", 0);
    if (item.contains("gpus") && !item.at("gpus").is_null())
      type.capacity.gpus = number(item, "gpus", 0);
    type.capacity.memory_gb = number(item, "memory_gb", 0);
    type.cache_gb = number(item, "local_gb", 0);
    type.fetch_gb_per_s = number(item, "fetch_gb_per_s", 0);
    type.price = number(item, "rate", 0);
    if (item.contains("spot_price") && !item.at("spot_price").is_null())
      type.spot_price = number(item, "spot_price", 0);
    type.boot = Seconds(number(item, "ready_s", 0));
    type.zones = item.at("districts").get<std::vector<std::string>>();
    types.push_back(std::move(type));
  }
  if (types.empty()) throw std::invalid_argument("the catalog is empty");
  return types;
}

CloudClient::CloudClient(asio::io_context& io, const asio::ip::tcp::endpoint& peer,
                         double requests_per_s)
    : timer_(io), client_(io, peer, 8), rate_(requests_per_s, std::max(1.0, requests_per_s)) {}

CloudClient::~CloudClient() { *alive_ = false; }

void CloudClient::send(Work work, bool first) {
  if (first)
    queue_.push_front(std::move(work));
  else
    queue_.push_back(std::move(work));
  pump();
}

void CloudClient::pump() {
  if (pumping_) return;
  while (!queue_.empty()) {
    const auto now = Clock::now();
    const auto wait = std::max(rate_.wait_for(now), resume_at_ - now);
    if (wait > core::Duration::zero()) {
      pumping_ = true;
      timer_.expires_after(wait);
      timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
        if (!*alive || error) return;
        pumping_ = false;
        pump();
      });
      return;
    }
    rate_.force(now);
    auto work = std::move(queue_.front());
    queue_.pop_front();
    client_.request(std::move(work.request), kTimeout,
                    [this, alive = alive_,
                     done = std::move(work.handler)](std::optional<net::Response> response) {
                      if (!*alive) return;
                      if (response && response->status == 429)
                        resume_at_ = Clock::now() + milliseconds(400);
                      done(std::move(response));
                    });
  }
}

void CloudClient::catalog(std::function<void(std::optional<Catalog>)> done) {
  send({{"GET", "/catalog", ""},
        [done = std::move(done)](std::optional<net::Response> response) {
          if (!response || response->status != 200) return done(std::nullopt);
          try {
            done(Catalog{parse_catalog(response->body), response->body});
          } catch (const std::exception& problem) {
            spdlog::warn("the cloud's catalog is nonsense, taken as no answer: {}", problem.what());
            done(std::nullopt);
          }
        }},
       false);
}

void CloudClient::request_machines(const core::ScaleOut& request,
                                   std::function<void(core::ScaleOutResult)> done) {
  const Json body{{"hire", request.name},
                  {"bench", request.type},
                  {"district", request.zone},
                  {"loaners", request.spot},
                  {"number", request.count}};
  send({{"POST", "/rentals", body.dump()},
        [done = std::move(done)](std::optional<net::Response> response) {
          using Kind = core::ScaleOutResult::Kind;
          core::ScaleOutResult answer;
          if (!response) return done(answer);
          answer.kind = Kind::refused;
          try {
            const auto json = Json::parse(response->body);
            if (response->status == 200) {
              answer.machines = json.at("rigs").get<std::vector<std::string>>();
              answer.kind = Kind::granted;
            } else if (response->status == 503 && json.value("error", "") == "no capacity") {
              answer.kind = Kind::no_capacity;
            }
          } catch (const std::exception& problem) {
            spdlog::warn("the cloud's rental answer is nonsense: {}", problem.what());
            if (response->status == 200) answer.kind = Kind::unknown;
          }
          done(std::move(answer));
        }},
       false);
}

void CloudClient::release(const std::vector<core::MachineId>& machines,
                          std::function<void(bool)> done) {
  send({{"POST", "/rentals/release", Json{{"rigs", machines}}.dump()},
        [done = std::move(done)](std::optional<net::Response> response) {
          done(response && response->status == 200);
        }},
       true);
}

void CloudClient::list(std::function<void(std::optional<std::vector<core::ListedMachine>>)> done) {
  list_page("", std::make_shared<std::vector<core::ListedMachine>>(), std::move(done));
}

void CloudClient::list_page(
    const std::string& since, std::shared_ptr<std::vector<core::ListedMachine>> gathered,
    std::function<void(std::optional<std::vector<core::ListedMachine>>)> done) {
  const std::string target =
      since.empty() ? "/rentals?page=500" : "/rentals?since=" + since + "&page=500";
  send({{"GET", target, ""},
        [=, this](std::optional<net::Response> response) {
          if (!response || response->status != 200) return done(std::nullopt);
          bool more = false;
          try {
            const auto json = Json::parse(response->body);
            for (const auto& item : json.at("rigs")) {
              core::ListedMachine machine;
              machine.id = item.at("id").get<std::string>();
              machine.type = item.at("bench").get<std::string>();
              machine.zone = item.at("district").get<std::string>();
              machine.spot = item.value("loaners", false);
              machine.failed = item.at("status").get<std::string>() == "failed";
              machine.age = Seconds(number(item, "held_s", 0));
              gathered->push_back(std::move(machine));
            }
            more = json.value("truncated", false) && !json.at("rigs").empty();
          } catch (const std::exception& problem) {
            spdlog::warn("the cloud's list is nonsense, taken as no answer: {}", problem.what());
            return done(std::nullopt);
          }
          if (more) return list_page(gathered->back().id, gathered, done);
          done(std::move(*gathered));
        }},
       false);
}

}  // namespace violetpulley::cloud
