// Many small records kept in few keys ("pages"), since the state service limits changes a second
// and not bytes: hundreds of machines that come up together are registered by a handful of changes.
// Pure bookkeeping: the writer that owns it sends the pages and tells what came of it.
//
// Every write of a page is conditioned on the page's revision. A transaction that was not answered
// may be applied late, and without the condition it would put an old page over a newer one and so
// lose records that were already reported as committed (docs/safety.md, "Pages").
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "store/store_client.hpp"

namespace violetpulley::store {

// How soon a change has to be in the store. Something waits for `soon`.
enum class WritePriority { urgent, deferred };

class PagedRecords {
 public:
  using Done = std::function<void()>;

  PagedRecords(std::string prefix, std::size_t page_bytes, core::Duration deferred_wait)
      : prefix_(std::move(prefix)), page_bytes_(page_bytes), deferred_wait_(deferred_wait) {}

  const std::string& prefix() const { return prefix_; }

  // A page as an earlier leader left it. `each` reads a record and tells what it reserves.
  void load(const Item& item,
            const std::function<std::size_t(const std::string&, const Json&)>& each);

  // `reserve`: the most bytes that this record will ever take, so that a page never outgrows the
  // limit. `done` is called once its page is committed.
  void put(const std::string& id, Json value, std::size_t reserve, WritePriority priority,
           core::TimePoint now, Done done);
  void erase(const std::string& id, core::TimePoint now);

  struct Taken {
    int page = 0;
    bool urgent = false;
    std::vector<Done> done;
  };
  struct Batch {
    std::vector<Condition> conditions;
    std::vector<Write> writes;
    std::vector<Taken> pages;
    std::size_t bytes = 0;
  };
  // Adds the pages that are due, as far as the limits of one transaction allow.
  void take(core::TimePoint now, std::size_t max_writes, std::size_t max_bytes, Batch& batch);
  void committed(const Batch& batch, Revision revision);
  // Not committed, or unknown: the pages are due again and what waits for them goes on waiting.
  void failed(Batch& batch, core::TimePoint now);
  // Somebody's late write changed the page: its revision as read now.
  void reread(const std::string& key, Revision revision);

  std::size_t size() const { return page_of_.size(); }
  std::size_t pages() const { return pages_.size(); }

 private:
  struct Record {
    Json value;
    std::size_t reserve = 0;
  };
  struct Page {
    std::map<std::string, Record> records;
    std::size_t reserved = 0;
    Revision revision = 0;  // 0: the key does not exist
    bool urgent = false;
    std::optional<core::TimePoint> dirty_since;
    std::vector<Done> waiting;
  };
  Page& page_with_capacity(std::size_t reserve, int& number);
  void mark(Page& page, WritePriority priority, core::TimePoint now);

  std::string prefix_;
  std::size_t page_bytes_;
  core::Duration deferred_wait_;
  std::map<int, Page> pages_;
  std::map<std::string, int> page_of_;
};

}  // namespace violetpulley::store
