/// @file
/// Stored form of the leader's records, which are stored in pages (docs/safety.md, "What the state
/// service holds"). Every decoding function throws DecodeError if the value is malformed.
/// Stateless.
#pragma once

#include "config/settings.hpp"
#include "core/model/actions.hpp"
#include "store/store_types.hpp"

namespace violetpulley::store {

/// Largest encoded machine record; images that would exceed it are omitted.
inline constexpr std::size_t kMaxMachineRecordBytes = 260;

/// Returns the size of a page: most of the largest allowed value, but small enough that at least
/// two pages fit into a transaction.
std::size_t page_bytes(const config::Settings& settings);

Json machine_to_json(const core::MachineRecord& record);
core::MachineRecord machine_from_json(const std::string& id, const Json& value);

Json placements_to_json(const core::PlacementRecord& record);
core::PlacementRecord placements_from_json(const std::string& job, const Json& value);
/// Returns the bytes to reserve for the record in its page.
std::size_t placements_bytes(const core::PlacementRecord& record);

/// Returns the id of a progress record. The progress of a job is stored in chunks of tasks, one
/// record per chunk.
std::string progress_name(const core::JobId& job, core::TaskIndex chunk);
Json progress_to_json(const core::ProgressRecord& record, std::size_t tasks_in_chunk);
core::ProgressRecord progress_from_json(const std::string& name, const Json& value);
/// Returns the number of tasks in the chunk of a stored progress record.
std::size_t tasks_in_chunk_from_json(const Json& value);
/// Returns the bytes to reserve for the record in its page.
std::size_t progress_bytes(const std::string& name, std::size_t tasks_in_chunk);

}  // namespace violetpulley::store
