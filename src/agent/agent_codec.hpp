/// @file
/// Heartbeats and commands as agents write and read them: JSON on the wire, the core's types here.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "core/model/types.hpp"

namespace violetpulley::agent {

using Json = nlohmann::json;

/// A message of an agent is malformed; the text names the field where possible.
class DecodeError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Decodes a heartbeat, which is also the answer to commands. Throws DecodeError.
core::Heartbeat parse_heartbeat(const std::string& body);
/// Encodes the answer to a heartbeat: the fencing token and commands that go with the answer.
std::string response_body(core::FencingToken token, const std::vector<core::Command>& commands);
/// Encodes a request of commands, valid for one agent epoch.
std::string commands_body(core::FencingToken token, std::uint64_t epoch,
                          const std::vector<core::Command>& commands);

}  // namespace violetpulley::agent
