/// @file
/// The stored form of an accepted job (key `job/<id>`).
#pragma once

#include "store/store_types.hpp"

namespace violetpulley::store {

/// The stored value; the revision is none of it.
Json encode_job_record(const core::JobRecord& record);
/// Throws DecodeError. `revision`: of the key.
core::JobRecord decode_job_record(const Json& value, Revision revision);

}  // namespace violetpulley::store
