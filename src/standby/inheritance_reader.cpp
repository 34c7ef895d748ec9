#include "standby/inheritance_reader.hpp"

#include <spdlog/spdlog.h>

#include <set>

#include "store/leader_records.hpp"

namespace violetpulley::standby {

using core::Clock;
using store::Json;
using store::Outcome;
using store::Urgency;

InheritanceReader::InheritanceReader(asio::io_context& io, core::Token token, bool records_starts,
                                     store::StoreClient& store, store::LeaderWriter& writer,
                                     store::JobMirror& mirror, store::Briefing& briefing,
                                     store::Election& election, TakeoverSteps& steps, Done done)
    : token_(token),
      records_starts_(records_starts),
      store_(store),
      writer_(writer),
      mirror_(mirror),
      briefing_(briefing),
      election_(election),
      steps_(steps),
      done_(std::move(done)),
      again_(io) {
  read();
}

void InheritanceReader::read_again() {
  steps_.again();
  again_.expires_after(std::chrono::milliseconds(200));
  again_.async_wait([this, alive = alive_](const asio::error_code& error) {
    if (*alive && !error) read();
  });
}

// Every read here is sent after the key was won, so an older leader's conditioned writes are
// either in it or will fail.
void InheritanceReader::read() {
  std::vector<store::PagedRecords*> books{&writer_.machines(), &writer_.rented(),
                                          &writer_.progress()};
  if (records_starts_) books.push_back(&writer_.placed());
  read_pages(std::move(books), {});
}

void InheritanceReader::read_pages(std::vector<store::PagedRecords*> books,
                                   std::vector<std::vector<store::Item>> pages) {
  if (pages.size() < books.size()) {
    store_.list(books[pages.size()]->prefix(), Urgency::safety,
                [this, alive = alive_, books, pages](store::ListResult result) mutable {
                  if (!*alive) return;
                  if (result.outcome != Outcome::ok) return read_again();
                  pages.push_back(std::move(result.items));
                  read_pages(std::move(books), std::move(pages));
                });
    return;
  }
  steps_.note(Step::pages_read, Clock::now());
  inheritance_ = {};
  std::set<core::MachineId> known;
  const auto machine = [&](const std::string& id, const Json& value) {
    // A machine that came up is registered before its rental's record goes.
    if (known.insert(id).second)
      inheritance_.machines.push_back(store::machine_from_json(id, value));
    return store::kMachineBytes;
  };
  try {
    for (const auto& page : pages[0]) books[0]->load(page, machine);
    for (const auto& page : pages[1]) books[1]->load(page, machine);
    for (const auto& page : pages[2])
      books[2]->load(page, [&](const std::string& name, const Json& value) {
        inheritance_.progress.push_back(store::progress_from_json(name, value));
        return store::progress_bytes(name, value.at(2).get<std::size_t>());
      });
    if (pages.size() > 3)
      for (const auto& page : pages[3])
        books[3]->load(page, [&](const std::string& job, const Json& value) {
          inheritance_.placements.push_back(store::placements_from_json(job, value));
          return store::placements_bytes(inheritance_.placements.back());
        });
  } catch (const std::exception& problem) {
    spdlog::error("records of an earlier leader cannot be read: {}", problem.what());
    return read_again();
  }
  read_mark();
}

// The mark says that the records tell of every start of gangs and services. A leader that does not
// write them takes it away before anything else.
void InheritanceReader::read_mark() {
  store_.get(store::kPlacementsMark, Urgency::safety,
             [this, alive = alive_](store::GetResult result) {
               if (!*alive) return;
               if (result.outcome != Outcome::ok && result.outcome != Outcome::not_found)
                 return read_again();
               const bool marked = result.outcome == Outcome::ok;
               if (marked && !records_starts_) return clear_mark();
               inheritance_.placements_marked = marked;
               read_jobs();
             });
}

void InheritanceReader::clear_mark() {
  store_.commit({{{"leader", token_}}, {{store::kPlacementsMark, std::nullopt, std::nullopt}}},
                Urgency::safety, [this, alive = alive_](const store::TransactionResult& result) {
                  if (!*alive) return;
                  if (result.outcome != Outcome::ok) return read_again();
                  read_jobs();
                });
}

void InheritanceReader::read_jobs() {
  briefing_.ask([this, alive = alive_](bool fresh) {
    if (!*alive) return;
    if (!fresh || mirror_.revision() < token_) return read_again();
    steps_.note(Step::jobs_read, Clock::now());
    for (const auto& [id, record] : mirror_.jobs()) inheritance_.jobs.push_back(record);
    election_.prove([this, alive](bool ours) {
      if (!*alive) return;
      if (!ours) return read_again();
      steps_.note(Step::proved, Clock::now());
      done_(std::move(inheritance_));
    });
  });
}

}  // namespace violetpulley::standby
