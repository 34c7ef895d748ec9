// Jobs as users write them, and as the state service keeps them.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "core/model/types.hpp"

namespace violetpulley::api {

using Json = nlohmann::json;

// 400: malformed.
class BadRequest : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

bool valid_job_id(std::string_view id);
// A submission. Only `benches`, `district` and `due_s` may be null and so omitted; any other field
// that is missing or invalid is named by the BadRequest.
core::JobSpec parse_job(const Json& body);
Json job_to_json(const core::JobSpec& spec);

Json record_to_json(const core::JobRecord& record);
core::JobRecord record_from_json(const Json& value, core::Revision revision);

// Why the job can never run (422), if so.
std::optional<std::string> never_runs(const core::JobSpec& spec,
                                      const std::vector<core::Team>& teams,
                                      const std::vector<core::MachineType>& types,
                                      const std::vector<std::string>& zones);

}  // namespace violetpulley::api
