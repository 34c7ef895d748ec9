/// @file
/// Machine types from the cloud's catalog (PROTOCOL, "GET /catalog") and teams from the platform's
/// settings. Owns both; decides which offerings count as expensive.
#pragma once

#include <map>

#include "core/machines/fleet.hpp"
#include "core/model/price_rules.hpp"
#include "core/model/settings.hpp"

namespace violetpulley::core {

/// Machine types and teams by name.
class Catalog {
 public:
  /// Takes the teams from the settings; the machine types follow with `set_types`.
  explicit Catalog(const ControllerSettings& settings) {
    for (const auto& team : settings.teams) teams_[team.name] = team;
  }

  /// Replaces all machine types.
  void set_types(std::vector<MachineType> types) {
    types_.clear();
    for (auto& type : types) types_[type.name] = std::move(type);
  }

  const std::map<std::string, MachineType>& types() const { return types_; }
  const std::map<std::string, Team>& teams() const { return teams_; }

  /// Whether the offering is on demand and costs much more than spot machines of the same type.
  /// Throws std::out_of_range for unknown types.
  bool expensive(const std::string& type, bool spot) const {
    const auto& prices = types_.at(type);
    return !spot && prices.spot_price > 0 && is_expensive(prices.price, prices.spot_price);
  }

  /// Copies capacity, cache, fetch rate and price of the machine's type into the machine, if the
  /// type is known.
  void apply(Machine& machine) const {
    const auto found = types_.find(machine.type);
    if (found == types_.end()) return;
    const auto& type = found->second;
    machine.capacity = type.capacity;
    machine.cache_gb = type.cache_gb;
    machine.fetch_gb_per_s = type.fetch_gb_per_s;
    machine.price = machine.spot ? type.spot_price : type.price;
  }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.types_);
  }

 private:
  std::map<std::string, MachineType> types_;
  std::map<std::string, Team> teams_;
};

}  // namespace violetpulley::core
