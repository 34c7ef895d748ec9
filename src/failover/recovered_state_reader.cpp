#include "failover/recovered_state_reader.hpp"

#include <spdlog/spdlog.h>

#include <set>

#include "store/record_codec.hpp"

namespace violetpulley::failover {

using core::Clock;
using store::Json;
using store::Outcome;
using store::Urgency;

RecoveredStateReader::RecoveredStateReader(asio::io_context& io, core::FencingToken token,
                                           bool records_starts, store::StoreClient& store,
                                           store::LeaderWriter& writer,
                                           store::JobReplica& job_replica,
                                           store::ReadBarrierLoop& read_barriers,
                                           store::Election& election, FailoverTimeline& steps,
                                           Done done)
    : token_(token),
      records_starts_(records_starts),
      store_(store),
      writer_(writer),
      job_replica_(job_replica),
      read_barriers_(read_barriers),
      election_(election),
      steps_(steps),
      done_(std::move(done)),
      again_(io) {
  read();
}

void RecoveredStateReader::read_again() {
  steps_.again();
  again_.expires_after(std::chrono::milliseconds(200));
  again_.async_wait([this, alive = alive_](const asio::error_code& error) {
    if (*alive && !error) read();
  });
}

// Every read here is sent after the key was won, so an older leader's conditioned writes are
// either in it or will fail.
void RecoveredStateReader::read() {
  std::vector<store::PagedRecords*> tables{&writer_.machines(), &writer_.provisioning(),
                                           &writer_.progress()};
  if (records_starts_) tables.push_back(&writer_.placements());
  read_pages(std::move(tables), {});
}

void RecoveredStateReader::read_pages(std::vector<store::PagedRecords*> tables,
                                      std::vector<std::vector<store::Item>> pages) {
  if (pages.size() < tables.size()) {
    store_.list(tables[pages.size()]->prefix(), Urgency::safety,
                [this, alive = alive_, tables, pages](store::ListResult result) mutable {
                  if (!*alive) return;
                  if (result.outcome != Outcome::ok) return read_again();
                  pages.push_back(std::move(result.items));
                  read_pages(std::move(tables), std::move(pages));
                });
    return;
  }
  steps_.note(Step::pages_read, Clock::now());
  recovered_ = {};
  std::set<core::MachineId> known;
  const auto machine = [&](const std::string& id, const Json& value) {
    // A machine that came up is registered before its rental's record goes.
    if (known.insert(id).second) recovered_.machines.push_back(store::machine_from_json(id, value));
    return store::kMachineBytes;
  };
  try {
    for (const auto& page : pages[0]) tables[0]->load(page, machine);
    for (const auto& page : pages[1]) tables[1]->load(page, machine);
    for (const auto& page : pages[2])
      tables[2]->load(page, [&](const std::string& name, const Json& value) {
        recovered_.progress.push_back(store::progress_from_json(name, value));
        return store::progress_bytes(name, value.at(2).get<std::size_t>());
      });
    if (pages.size() > 3)
      for (const auto& page : pages[3])
        tables[3]->load(page, [&](const std::string& job, const Json& value) {
          recovered_.placements.push_back(store::placements_from_json(job, value));
          return store::placements_bytes(recovered_.placements.back());
        });
  } catch (const std::exception& problem) {
    spdlog::error("records of an earlier leader cannot be read: {}", problem.what());
    return read_again();
  }
  read_mark();
}

// The mark says that the records tell of every start of gangs and services. A leader that does not
// write them takes it away before anything else.
void RecoveredStateReader::read_mark() {
  store_.get(store::kPlacementsMark, Urgency::safety,
             [this, alive = alive_](store::GetResult result) {
               if (!*alive) return;
               if (result.outcome != Outcome::ok && result.outcome != Outcome::not_found)
                 return read_again();
               const bool marked = result.outcome == Outcome::ok;
               if (marked && !records_starts_) return clear_mark();
               recovered_.placements_marked = marked;
               read_jobs();
             });
}

void RecoveredStateReader::clear_mark() {
  store_.commit({{{"leader", token_}}, {{store::kPlacementsMark, std::nullopt, std::nullopt}}},
                Urgency::safety, [this, alive = alive_](const store::TransactionResult& result) {
                  if (!*alive) return;
                  if (result.outcome != Outcome::ok) return read_again();
                  read_jobs();
                });
}

void RecoveredStateReader::read_jobs() {
  read_barriers_.ask([this, alive = alive_](bool fresh) {
    if (!*alive) return;
    if (!fresh || job_replica_.revision() < token_) return read_again();
    steps_.note(Step::jobs_read, Clock::now());
    for (const auto& [id, record] : job_replica_.jobs()) recovered_.jobs.push_back(record);
    election_.prove([this, alive](bool ours) {
      if (!*alive) return;
      if (!ours) return read_again();
      steps_.note(Step::proved, Clock::now());
      done_(std::move(recovered_));
    });
  });
}

}  // namespace violetpulley::failover
