// The leader's records as the state service holds them, in pages (docs/safety.md, "What the state
// service holds"). Reading throws on anything that does not fit.
#pragma once

#include "config/settings.hpp"
#include "core/model/actions.hpp"
#include "store/store_client.hpp"

namespace violetpulley::store {

// A machine's record takes at most this much of a page; images that would not fit are left out.
inline constexpr std::size_t kMachineBytes = 260;
inline const std::string kPlacementsMark = "placements-marked";

// The size of a page: most of the largest value, and so that two or more fit into a transaction.
std::size_t page_bytes(const config::Settings& settings);

Json machine_to_json(const core::MachineRecord& record);
core::MachineRecord machine_from_json(const std::string& id, const Json& value);

Json placements_to_json(const core::PlacementRecord& record);
core::PlacementRecord placements_from_json(const std::string& job, const Json& value);
std::size_t placements_bytes(const core::PlacementRecord& record);

std::string progress_name(const core::JobId& job, core::TaskIndex chunk);
Json progress_to_json(const core::ProgressRecord& record, std::size_t tasks_in_chunk);
core::ProgressRecord progress_from_json(const std::string& name, const Json& value);
std::size_t progress_bytes(const std::string& name, std::size_t tasks_in_chunk);

}  // namespace violetpulley::store
