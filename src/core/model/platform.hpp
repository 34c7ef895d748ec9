/// @file
/// Teams with their limits; machine types, instance offerings and machines of the cloud.
#pragma once

#include <string>
#include <vector>

#include "core/model/identifiers.hpp"
#include "core/model/resources.hpp"

namespace violetpulley::core {

/// A team of users that shares guarantees and limits.
struct Team {
  std::string name;
  double guaranteed_cpus = 0;  ///< 0: no guarantee.
  double max_cpus = 0;         ///< 0: no limit.
  double guaranteed_gpus = 0;  ///< 0: no guarantee.
  double max_gpus = 0;         ///< 0: no limit.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.name, s.guaranteed_cpus, s.max_cpus, s.guaranteed_gpus, s.max_gpus);
  }
};

/// An entry of the cloud's catalog.
struct MachineType {
  std::string name;
  Resources capacity;
  double cache_gb = 0;        ///< Disk space for images.
  double fetch_gb_per_s = 0;  ///< Rate at which images are fetched; 0: unknown.
  double price = 0;           ///< On demand.
  double spot_price = 0;      ///< 0: not offered as spot.
  Seconds boot{0};            ///< Usual time from the request to the first heartbeat.
  std::vector<std::string> zones;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.name, s.capacity, s.cache_gb, s.fetch_gb_per_s, s.price, s.spot_price, s.boot, s.zones);
  }
};

/// Identifies an instance offering: a machine type in a zone, spot or on demand.
struct OfferingKey {
  std::string type;
  std::string zone;
  bool spot = false;

  friend auto operator<=>(const OfferingKey&, const OfferingKey&) = default;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.type, s.zone, s.spot);
  }
};

/// A machine in the cloud's list of our machines.
struct ListedMachine {
  MachineId id;
  std::string endpoint;
  std::string type;
  std::string zone;
  bool spot = false;
  bool failed = false;  ///< The cloud has stopped the machine.
  Seconds age{0};       ///< Since the machine was requested.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.id, s.endpoint, s.type, s.zone, s.spot, s.failed, s.age);
  }
};

}  // namespace violetpulley::core
