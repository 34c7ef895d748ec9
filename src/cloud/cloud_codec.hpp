/// @file
/// Requests and responses of the cloud on the wire (PROTOCOL). Stateless.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/controller.hpp"
#include "net/http_types.hpp"

namespace violetpulley::cloud {

/// An answer of the cloud that does not have the expected form.
class DecodeError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// The machine types that the cloud offers.
struct Catalog {
  std::vector<core::MachineType> types;
  std::string body;  ///< as the cloud sent it
};

/// One page of the list of our machines.
struct MachinePage {
  std::vector<core::ListedMachine> machines;
  bool truncated = false;  ///< more machines follow the last one
};

net::Request encode_catalog_request();
net::Request encode_scale_out(const core::ScaleOut& request);
net::Request encode_release(const std::vector<core::MachineId>& machines);
/// The page after the machine `since`; an empty `since`: the first page.
net::Request encode_list_page(const core::MachineId& since);

/// Throws DecodeError, also if there is no machine type.
std::vector<core::MachineType> parse_catalog(const std::string& body);
/// No response is `Kind::unknown`: the request may have been executed.
core::ScaleOutResult decode_scale_out(const std::optional<net::Response>& response);
/// Throws DecodeError.
MachinePage decode_machine_page(const std::string& body);

}  // namespace violetpulley::cloud
