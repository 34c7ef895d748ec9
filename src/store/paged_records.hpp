/// @file
/// A table of small records stored in a few keys ("pages"). The state service limits the number of
/// changes per second rather than bytes, so hundreds of machines that boot together are registered
/// with a few changes. Owns the records and the page revisions but does no I/O: the owner sends the
/// pages and reports the outcome.
///
/// Every write of a page is conditioned on the page's revision. A transaction whose response was
/// lost may be executed late; without the condition it would overwrite a newer page and lose
/// records that were already reported as committed (docs/safety.md, "Pages").
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "store/store_types.hpp"

namespace violetpulley::store {

/// How soon a change must be written to the state service.
enum class WritePriority {
  urgent,    ///< The owner waits for the write.
  deferred,  ///< The write may be delayed so that further changes of its page share it.
};

class PagedRecords {
 public:
  using Done = std::function<void()>;
  /// Decodes one record and returns the bytes to reserve for it. Throws DecodeError.
  using RecordReader = std::function<std::size_t(const std::string& id, const Json& value)>;

  /// `prefix` is the key prefix of the pages; `max_deferral` is how long a deferred write may wait.
  PagedRecords(std::string prefix, std::size_t max_page_bytes, core::Duration max_deferral)
      : prefix_(std::move(prefix)), max_page_bytes_(max_page_bytes), max_deferral_(max_deferral) {}

  const std::string& prefix() const { return prefix_; }

  /// Loads a page written by an earlier leader. Throws DecodeError.
  void load(const Item& item, const RecordReader& read_record);

  /// Adds or replaces a record. `reserved_bytes` is the largest size that the record will ever
  /// have; reserving it keeps the page within its limit. `done`, which may be empty, is called once
  /// the page is committed.
  void put(const std::string& id, Json value, std::size_t reserved_bytes, WritePriority priority,
           core::TimePoint now, Done done);
  void erase(const std::string& id, core::TimePoint now);

  /// A page in a transaction that is in flight.
  struct BatchPage {
    int page = 0;
    bool urgent = false;
    std::vector<Done> done;
  };
  /// The writes of this table's pages within one transaction, with their conditions.
  struct Batch {
    std::vector<Condition> conditions;
    std::vector<Write> writes;
    std::vector<BatchPage> pages;
    std::size_t bytes = 0;
  };
  /// Adds the pages that are due to `batch`, urgent pages first, within the given limits.
  void take(core::TimePoint now, std::size_t max_writes, std::size_t max_bytes, Batch& batch);
  /// Records that the batch was committed at `revision`, and calls the handlers of its pages.
  void mark_committed(const Batch& batch, Revision revision);
  /// Records that the batch was not committed or that its outcome is unknown. Its pages become due
  /// again and their handlers are called after a later commit.
  void mark_failed(Batch& batch, core::TimePoint now);
  /// Sets the revision of the page at `key`, as read after a delayed write changed the page.
  void set_page_revision(const std::string& key, Revision revision);

  /// Returns the number of records.
  std::size_t size() const { return page_of_.size(); }
  /// Returns the number of pages.
  std::size_t pages() const { return pages_.size(); }

 private:
  struct Record {
    Json value;
    std::size_t reserved_bytes = 0;
  };
  struct Page {
    std::map<std::string, Record> records;
    std::size_t total_reserved_bytes = 0;  // sum over all records
    Revision revision = 0;                 // 0 if the key does not exist
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
  std::map<std::string, int> page_of_;  // page number by record id
};

}  // namespace violetpulley::store
