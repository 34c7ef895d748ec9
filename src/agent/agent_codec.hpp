/// @file
/// Converts heartbeats and commands between the JSON that agents use on the wire and the core's
/// types. Stateless.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "core/model/types.hpp"

namespace violetpulley::agent {

using Json = nlohmann::json;

/// A message from an agent is malformed. The text names the field where possible.
class DecodeError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Decodes a heartbeat, which agents also send as the response to commands. Throws DecodeError.
core::Heartbeat parse_heartbeat(const std::string& body);
/// Encodes the response to a heartbeat: the fencing token and commands for the agent.
std::string response_body(core::FencingToken token, const std::vector<core::Command>& commands);
/// Encodes a request that carries commands, which are valid for one agent epoch.
std::string commands_body(core::FencingToken token, std::uint64_t epoch,
                          const std::vector<core::Command>& commands);

}  // namespace violetpulley::agent
