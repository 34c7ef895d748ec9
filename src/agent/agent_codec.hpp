// Reports and commands as workers write and read them.
#pragma once

#include <nlohmann/json.hpp>

#include "core/types.hpp"

namespace violetpulley::agent {

using Json = nlohmann::json;

// Throws on anything malformed.
core::WorkerReport parse_report(const std::string& body);
std::string response_body(core::Token token, const std::vector<core::Command>& commands);
std::string orders_body(core::Token token, std::uint64_t session,
                        const std::vector<core::Command>& commands);

}  // namespace violetpulley::agent
