/// @file
/// Encodes requests to the cloud and decodes its responses, in the wire format of PROTOCOL.
/// Stateless.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/controller.hpp"
#include "net/http_types.hpp"

namespace violetpulley::cloud {

/// A response of the cloud is malformed.
class DecodeError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// The machine types that the cloud offers.
struct Catalog {
  std::vector<core::MachineType> types;
  std::string body;  ///< As received from the cloud.
};

/// One page of the list of rented machines.
struct MachinePage {
  std::vector<core::ListedMachine> machines;
  bool truncated = false;  ///< More machines follow on the next page.
};

net::Request encode_catalog_request();
net::Request encode_scale_out(const core::ScaleOut& request);
net::Request encode_release(const std::vector<core::MachineId>& machines);
/// Requests the page that follows the machine `since`; empty: the first page.
net::Request encode_list_page(const core::MachineId& since);

/// Throws DecodeError if the body is malformed or lists no machine type.
std::vector<core::MachineType> parse_catalog(const std::string& body);
/// Without a response the result is `Kind::unknown`, because the request may have been executed.
core::ScaleOutResult decode_scale_out(const std::optional<net::Response>& response);
/// Throws DecodeError if the body is malformed.
MachinePage decode_machine_page(const std::string& body);

}  // namespace violetpulley::cloud
