// Reads what a new leader inherits: all that earlier leaders stored, read after the key was won and
// proved afterwards to have been read while it was ours (docs/safety.md, "What a leader checks
// before its first decision"). It decides nothing; a read that fails or cannot be understood starts
// over.
#pragma once

#include "core/settings.hpp"
#include "standby/takeover_steps.hpp"
#include "store/briefing.hpp"
#include "store/election.hpp"
#include "store/leader_writer.hpp"

namespace violetpulley::standby {

class InheritanceReader {
 public:
  // Called once, with what was read.
  using Done = std::function<void(core::Inheritance)>;

  // `records_starts`: this leader records where gangs and services may be; otherwise the mark that
  // says so is taken away first.
  InheritanceReader(asio::io_context& io, core::Token token, bool records_starts,
                    store::StoreClient& store, store::LeaderWriter& writer,
                    store::JobMirror& mirror, store::Briefing& briefing, store::Election& election,
                    TakeoverSteps& steps, Done done);
  ~InheritanceReader() { *alive_ = false; }
  InheritanceReader(const InheritanceReader&) = delete;
  InheritanceReader& operator=(const InheritanceReader&) = delete;

 private:
  void read();
  void read_again();
  void read_pages(std::vector<store::PagedRecords*> books,
                  std::vector<std::vector<store::Item>> pages);
  void read_mark();
  void clear_mark();
  void read_jobs();

  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  core::Token token_;
  bool records_starts_;
  store::StoreClient& store_;
  store::LeaderWriter& writer_;
  store::JobMirror& mirror_;
  store::Briefing& briefing_;
  store::Election& election_;
  TakeoverSteps& steps_;
  Done done_;
  asio::steady_timer again_;
  core::Inheritance inheritance_;
};

}  // namespace violetpulley::standby
