#include "store/job_record_codec.hpp"

#include "codec/job_codec.hpp"

namespace violetpulley::store {

namespace {

// Field names in the stored value.
constexpr const char* kJob = "job";
constexpr const char* kSubmitted = "submitted_ms";  // milliseconds since the Unix epoch

// Fields that were optional when older versions stored the job, with their defaults of that time.
const Json& defaults_of_older_jobs() {
  static const Json defaults{{"gpus", 0.0},      {"same_place", false}, {"spread", false},
                             {"loaners", false}, {"mark_s", 0.0},       {"stow_s", 0.0}};
  return defaults;
}

}  // namespace

Json encode_job_record(const core::JobRecord& record) {
  return {{kJob, codec::job_to_json(record.spec)},
          {kSubmitted, record.submitted.time_since_epoch().count()}};
}

core::JobRecord decode_job_record(const Json& value, Revision revision) {
  try {
    Json job = defaults_of_older_jobs();
    job.update(value.at(kJob));
    core::JobRecord record;
    record.spec = codec::parse_job(job);
    record.submitted =
        core::WallTime(std::chrono::milliseconds(value.at(kSubmitted).get<std::int64_t>()));
    record.revision = revision;
    return record;
  } catch (const Json::exception& problem) {
    throw DecodeError(problem.what());
  } catch (const codec::MalformedJob& problem) {
    throw DecodeError(problem.what());
  }
}

}  // namespace violetpulley::store
