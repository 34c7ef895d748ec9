/// @file
/// Jobs in JSON, as users submit them and as the state service stores them, and the check whether a
/// job can run at all.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "core/model/types.hpp"

namespace violetpulley::api {

using Json = nlohmann::json;

/// A submission is malformed, which is answered with 400. The text begins with the field's name
/// where a field is at fault.
class BadRequest : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Whether an id has the form req-000412: digits after the prefix, 40 bytes at most.
bool valid_job_id(std::string_view id);
/// Decodes a submission. Only `benches`, `district` and `due_s` may be null or missing. Throws
/// BadRequest.
core::JobSpec parse_job(const Json& body);
/// Encodes a job in the form that `parse_job` reads.
Json job_to_json(const core::JobSpec& spec);

/// Encodes a job with the time of its submission, as the state service stores it.
Json record_to_json(const core::JobRecord& record);
/// Decodes a stored job. `revision`: of its key. Throws BadRequest or a JSON exception.
core::JobRecord record_from_json(const Json& value, core::Revision revision);

/// Returns why the job can never run, which is answered with 422; null: it can run.
std::optional<std::string> never_runs(const core::JobSpec& spec,
                                      const std::vector<core::Team>& teams,
                                      const std::vector<core::MachineType>& types,
                                      const std::vector<std::string>& zones);

}  // namespace violetpulley::api
