/// @file
/// Converts a job between the core's type and JSON, in which users submit the job (PROTOCOL) and
/// the state service stores it. Used by the user API and the job replica. Stateless.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string_view>

#include "core/model/types.hpp"

namespace violetpulley::codec {

using Json = nlohmann::json;

/// The job cannot be decoded. The message names the field that is missing or invalid.
class MalformedJob : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Whether `id` has the form `req-000412`.
bool valid_job_id(std::string_view id);

/// Decodes a job. Only `benches`, `district` and `due_s` may be null or missing. Throws
/// MalformedJob.
core::JobSpec parse_job(const Json& body);
Json job_to_json(const core::JobSpec& spec);

}  // namespace violetpulley::codec
