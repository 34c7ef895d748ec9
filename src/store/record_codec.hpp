/// @file
/// The stored form of the leader's records, which are kept in pages (docs/safety.md, "What the
/// state service holds"). Every decoding function throws DecodeError on a value that does not fit.
#pragma once

#include "config/settings.hpp"
#include "core/model/actions.hpp"
#include "store/store_types.hpp"

namespace violetpulley::store {

/// A machine's record takes at most this much of a page; images that would not fit are left out.
inline constexpr std::size_t kMaxMachineRecordBytes = 260;

/// The size of a page: most of the largest value, and so that two or more fit into a transaction.
std::size_t page_bytes(const config::Settings& settings);

Json machine_to_json(const core::MachineRecord& record);
core::MachineRecord machine_from_json(const std::string& id, const Json& value);

Json placements_to_json(const core::PlacementRecord& record);
core::PlacementRecord placements_from_json(const std::string& job, const Json& value);
/// The bytes to reserve for the record in its page.
std::size_t placements_bytes(const core::PlacementRecord& record);

/// The name of a progress record: the progress of a job is stored in chunks of tasks.
std::string progress_name(const core::JobId& job, core::TaskIndex chunk);
Json progress_to_json(const core::ProgressRecord& record, std::size_t tasks_in_chunk);
core::ProgressRecord progress_from_json(const std::string& name, const Json& value);
/// How many tasks of the job the chunk of a stored progress record has.
std::size_t tasks_in_chunk_from_json(const Json& value);
/// The bytes to reserve for the record in its page.
std::size_t progress_bytes(const std::string& name, std::size_t tasks_in_chunk);

}  // namespace violetpulley::store
