#include "failover/recovered_state_reader.hpp"

#include <spdlog/spdlog.h>

#include "store/record_codec.hpp"

namespace violetpulley::failover {

using core::Clock;
using store::Json;
using store::Outcome;
using store::RequestPriority;

namespace {

constexpr std::chrono::milliseconds kRetryWait{200};

// The record tables in the order in which they are read.
enum Table : std::size_t { kMachines, kProvisioning, kProgress, kPlacements };

}  // namespace

RecoveredStateReader::RecoveredStateReader(asio::io_context& io, core::FencingToken token,
                                           bool records_starts, store::StoreClient& store,
                                           store::LeaderWriter& writer,
                                           store::JobReplica& job_replica,
                                           store::ReadBarrierLoop& read_barriers,
                                           store::Election& election, FailoverTimeline& timeline,
                                           Done done)
    : token_(token),
      records_starts_(records_starts),
      store_(store),
      writer_(writer),
      job_replica_(job_replica),
      read_barriers_(read_barriers),
      election_(election),
      timeline_(timeline),
      done_(std::move(done)),
      retry_timer_(io) {
  read();
}

void RecoveredStateReader::read_again() {
  timeline_.reset();
  retry_timer_.expires_after(kRetryWait);
  retry_timer_.async_wait(lifetime_.guard([this](const asio::error_code& error) {
    if (!error) read();
  }));
}

// Every read is sent after this node won the leader key. A write of an earlier leader, which is
// conditioned on the key, is therefore either contained in the response or will fail.
void RecoveredStateReader::read() {
  Tables tables{&writer_.machines(), &writer_.provisioning(), &writer_.progress()};
  if (records_starts_) tables.push_back(&writer_.placements());
  read_pages(std::move(tables), {});
}

void RecoveredStateReader::read_pages(Tables tables, std::vector<Pages> pages) {
  if (pages.size() < tables.size()) {
    const auto& prefix = tables[pages.size()]->prefix();
    return store_.list(prefix, RequestPriority::safety,
                       lifetime_.guard([this, tables, pages](store::ListResult result) mutable {
                         if (result.outcome != Outcome::ok) return read_again();
                         pages.push_back(std::move(result.items));
                         read_pages(std::move(tables), std::move(pages));
                       }));
  }
  timeline_.record(FailoverStep::pages_read, Clock::now());
  try {
    decode_pages(tables, pages);
  } catch (const store::DecodeError& problem) {
    spdlog::error("records of an earlier leader cannot be decoded, reading them again: {}",
                  problem.what());
    return read_again();
  }
  read_placements_mark();
}

void RecoveredStateReader::decode_pages(const Tables& tables, const std::vector<Pages>& pages) {
  recovered_ = {};
  std::set<core::MachineId> known;
  decode_machines(*tables[kMachines], pages[kMachines], known);
  decode_machines(*tables[kProvisioning], pages[kProvisioning], known);
  decode_progress(*tables[kProgress], pages[kProgress]);
  if (pages.size() > kPlacements) decode_placements(*tables[kPlacements], pages[kPlacements]);
}

// A machine is registered before its provisioning record is erased, so it may be in both tables.
// The registered machine takes precedence.
void RecoveredStateReader::decode_machines(store::PagedRecords& table, const Pages& pages,
                                           std::set<core::MachineId>& known) {
  for (const auto& page : pages)
    table.load(page, [&](const std::string& id, const Json& value) {
      if (known.insert(id).second)
        recovered_.machines.push_back(store::machine_from_json(id, value));
      return store::kMaxMachineRecordBytes;
    });
}

void RecoveredStateReader::decode_progress(store::PagedRecords& table, const Pages& pages) {
  for (const auto& page : pages)
    table.load(page, [&](const std::string& name, const Json& value) {
      recovered_.progress.push_back(store::progress_from_json(name, value));
      return store::progress_bytes(name, store::tasks_in_chunk_from_json(value));
    });
}

void RecoveredStateReader::decode_placements(store::PagedRecords& table, const Pages& pages) {
  for (const auto& page : pages)
    table.load(page, [&](const std::string& job, const Json& value) {
      recovered_.placements.push_back(store::placements_from_json(job, value));
      return store::placements_bytes(recovered_.placements.back());
    });
}

// The mark declares that the placement records cover every start of gangs and services. A leader
// that does not write placement records deletes the mark before it starts any task.
void RecoveredStateReader::read_placements_mark() {
  store_.get(store::kPlacementsMark, RequestPriority::safety,
             lifetime_.guard([this](const store::GetResult& result) {
               if (result.outcome != Outcome::ok && result.outcome != Outcome::not_found)
                 return read_again();
               const bool marked = result.outcome == Outcome::ok;
               if (marked && !records_starts_) return delete_placements_mark();
               recovered_.placements_marked = marked;
               read_jobs();
             }));
}

void RecoveredStateReader::delete_placements_mark() {
  const store::Transaction transaction{{{store::kLeaderKey, token_}},
                                       {{store::kPlacementsMark, std::nullopt, std::nullopt}}};
  store_.commit(transaction, RequestPriority::safety,
                lifetime_.guard([this](const store::TransactionResult& result) {
                  if (result.outcome != Outcome::ok) return read_again();
                  read_jobs();
                }));
}

void RecoveredStateReader::read_jobs() {
  read_barriers_.request_barrier(lifetime_.guard([this](bool fresh) {
    if (!fresh || job_replica_.applied_revision() < token_) return read_again();
    timeline_.record(FailoverStep::jobs_read, Clock::now());
    for (const auto& [id, record] : job_replica_.jobs()) recovered_.jobs.push_back(record);
    prove_leadership();
  }));
}

void RecoveredStateReader::prove_leadership() {
  election_.prove_leadership(lifetime_.guard([this](bool proven) {
    if (!proven) return read_again();
    timeline_.record(FailoverStep::leadership_proven, Clock::now());
    done_(std::move(recovered_));
  }));
}

}  // namespace violetpulley::failover
