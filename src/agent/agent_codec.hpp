// Reports and commands as workers write and read them.
#pragma once

#include <nlohmann/json.hpp>

#include "core/model/types.hpp"

namespace violetpulley::agent {

using Json = nlohmann::json;

// Throws on anything malformed.
core::Heartbeat parse_heartbeat(const std::string& body);
std::string response_body(core::FencingToken token, const std::vector<core::Command>& commands);
std::string commands_body(core::FencingToken token, std::uint64_t epoch,
                          const std::vector<core::Command>& commands);

}  // namespace violetpulley::agent
