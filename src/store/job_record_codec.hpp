/// @file
/// Stored form of an accepted job (key `job/<id>`). Stateless.
#pragma once

#include "store/store_types.hpp"

namespace violetpulley::store {

/// Returns the stored value, which does not contain the revision.
Json encode_job_record(const core::JobRecord& record);
/// `revision` is the revision of the key. Throws DecodeError if the value is malformed.
core::JobRecord decode_job_record(const Json& value, Revision revision);

}  // namespace violetpulley::store
