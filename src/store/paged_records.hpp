/// @file
/// Many small records kept in few keys ("pages"), since the state service limits changes a second
/// and not bytes: hundreds of machines that boot together are registered by a handful of changes.
/// Pure bookkeeping: the owner sends the pages and reports the outcome.
///
/// Every write of a page is conditioned on the page's revision. A transaction that was not answered
/// may be executed late, and without the condition it would put an old page over a newer one and so
/// lose records that were already reported as committed (docs/safety.md, "Pages").
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "store/store_types.hpp"

namespace violetpulley::store {

/// How soon a change has to be in the store.
enum class WritePriority {
  urgent,    ///< something waits for the write
  deferred,  ///< the write may wait so that more changes of its page gather
};

class PagedRecords {
 public:
  using Done = std::function<void()>;
  /// Reads one record and returns the bytes to reserve for it. Throws DecodeError.
  using RecordReader = std::function<std::size_t(const std::string& id, const Json& value)>;

  /// `prefix`: of the pages' keys. `max_deferral`: how long a deferred write may wait.
  PagedRecords(std::string prefix, std::size_t max_page_bytes, core::Duration max_deferral)
      : prefix_(std::move(prefix)), max_page_bytes_(max_page_bytes), max_deferral_(max_deferral) {}

  const std::string& prefix() const { return prefix_; }

  /// Takes over a page as an earlier leader left it. Throws DecodeError.
  void load(const Item& item, const RecordReader& read_record);

  /// Adds or replaces a record. `reserved_bytes`: the most bytes that this record will ever take,
  /// so that a page never outgrows the limit. `done`, which may be empty, is called once the page
  /// is committed.
  void put(const std::string& id, Json value, std::size_t reserved_bytes, WritePriority priority,
           core::TimePoint now, Done done);
  void erase(const std::string& id, core::TimePoint now);

  /// A page in a transaction that is under way.
  struct BatchPage {
    int page = 0;
    bool urgent = false;
    std::vector<Done> done;
  };
  /// The part of a transaction that writes pages of this table.
  struct Batch {
    std::vector<Condition> conditions;
    std::vector<Write> writes;
    std::vector<BatchPage> pages;
    std::size_t bytes = 0;
  };
  /// Adds the pages that are due, urgent ones first, as far as the limits of a transaction allow.
  void take(core::TimePoint now, std::size_t max_writes, std::size_t max_bytes, Batch& batch);
  /// The batch was committed at `revision`.
  void mark_committed(const Batch& batch, Revision revision);
  /// The batch was not committed, or its outcome is unknown: its pages are due again, and what
  /// waits for them goes on waiting.
  void mark_failed(Batch& batch, core::TimePoint now);
  /// The page was changed by a write that was executed late: its revision as read now.
  void set_page_revision(const std::string& key, Revision revision);

  /// Number of records.
  std::size_t size() const { return page_of_.size(); }
  /// Number of pages.
  std::size_t pages() const { return pages_.size(); }

 private:
  struct Record {
    Json value;
    std::size_t reserved_bytes = 0;
  };
  struct Page {
    std::map<std::string, Record> records;
    std::size_t total_reserved_bytes = 0;  // bytes of all records
    Revision revision = 0;                 // 0: the key does not exist
    bool urgent = false;
    std::optional<core::TimePoint> dirty_since;
    std::vector<Done> waiting;
  };
  std::string key_of(int number) const { return prefix_ + std::to_string(number); }
  int page_number_of(const std::string& key) const;
  int page_with_capacity(std::size_t reserved_bytes) const;
  bool is_due(const Page& page, bool urgent, core::TimePoint now) const;
  void add_to_batch(int number, Page& page, Batch& batch) const;
  static void mark_dirty(Page& page, WritePriority priority, core::TimePoint now);

  std::string prefix_;
  std::size_t max_page_bytes_;
  core::Duration max_deferral_;
  std::map<int, Page> pages_;
  std::map<std::string, int> page_of_;  // by record
};

}  // namespace violetpulley::store
