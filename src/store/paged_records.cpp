#include "store/paged_records.hpp"

#include <charconv>
#include <iterator>
#include <utility>

namespace violetpulley::store {

namespace {
constexpr std::size_t kEnvelopeBytes = 64;  // key, condition and JSON punctuation of one page write
}

int PagedRecords::page_number_of(const std::string& key) const {
  int number = -1;
  const auto* end = key.data() + key.size();
  const auto [stop, error] = std::from_chars(key.data() + prefix_.size(), end, number);
  if (error != std::errc() || stop != end || number < 0)
    throw DecodeError("page name has no valid number: " + key);
  return number;
}

void PagedRecords::load(const Item& item, const RecordReader& read_record) {
  const auto number = page_number_of(item.key);
  auto& page = pages_[number];
  page.revision = item.revision;
  for (const auto& [id, value] : item.value.items()) {
    const auto reserved_bytes = read_record(id, value);
    if (!page_of_.emplace(id, number).second) continue;  // loaded before
    page.records[id] = {value, reserved_bytes};
    page.total_reserved_bytes += reserved_bytes;
  }
}

void PagedRecords::mark_dirty(Page& page, WritePriority priority, core::TimePoint now) {
  if (!page.dirty_since) page.dirty_since = now;
  if (priority == WritePriority::urgent) page.urgent = true;
}

// Returns the first page with enough capacity, or the number of a new page if there is none.
int PagedRecords::page_with_capacity(std::size_t reserved_bytes) const {
  int next = 0;
  for (const auto& [number, page] : pages_) {
    if (page.total_reserved_bytes + reserved_bytes <= max_page_bytes_) return number;
    next = number + 1;
  }
  return next;
}

void PagedRecords::put(const std::string& id, Json value, std::size_t reserved_bytes,
                       WritePriority priority, core::TimePoint now, Done done) {
  const auto found = page_of_.find(id);
  Page* page = nullptr;
  if (found != page_of_.end()) {
    page = &pages_.at(found->second);
    page->records.at(id).value = std::move(value);
  } else {
    const auto number = page_with_capacity(reserved_bytes);
    page = &pages_[number];
    page_of_[id] = number;
    page->records[id] = {std::move(value), reserved_bytes};
    page->total_reserved_bytes += reserved_bytes;
  }
  if (done) page->waiting.push_back(std::move(done));
  mark_dirty(*page, priority, now);
}

void PagedRecords::erase(const std::string& id, core::TimePoint now) {
  const auto found = page_of_.find(id);
  if (found == page_of_.end()) return;
  auto& page = pages_.at(found->second);
  const auto record = page.records.find(id);
  page.total_reserved_bytes -= record->second.reserved_bytes;
  page.records.erase(record);
  page_of_.erase(found);
  mark_dirty(page, WritePriority::deferred, now);
}

bool PagedRecords::is_due(const Page& page, bool urgent, core::TimePoint now) const {
  if (!page.dirty_since || page.urgent != urgent) return false;
  return urgent || now - *page.dirty_since >= max_deferral_;
}

void PagedRecords::take(core::TimePoint now, std::size_t max_writes, std::size_t max_bytes,
                        Batch& batch) {
  for (const bool urgent : {true, false})
    for (auto& [number, page] : pages_) {
      if (!is_due(page, urgent, now)) continue;
      if (batch.writes.size() >= max_writes) return;
      if (batch.bytes + page.total_reserved_bytes + kEnvelopeBytes > max_bytes) return;
      add_to_batch(number, page, batch);
    }
}

void PagedRecords::add_to_batch(int number, Page& page, Batch& batch) const {
  Json value = Json::object();
  for (const auto& [id, record] : page.records) value[id] = record.value;
  const auto key = key_of(number);
  batch.bytes += page.total_reserved_bytes + kEnvelopeBytes;
  batch.conditions.push_back({key, page.revision});
  batch.writes.push_back({key, std::move(value), std::nullopt});
  batch.pages.push_back({number, page.urgent, std::exchange(page.waiting, {})});
  page.urgent = false;
  page.dirty_since.reset();
}

void PagedRecords::mark_committed(const Batch& batch, Revision revision) {
  for (const auto& batch_page : batch.pages) pages_.at(batch_page.page).revision = revision;
  for (const auto& batch_page : batch.pages)
    for (const auto& done : batch_page.done) done();
}

void PagedRecords::mark_failed(Batch& batch, core::TimePoint now) {
  for (auto& batch_page : batch.pages) {
    auto& page = pages_.at(batch_page.page);
    mark_dirty(page, batch_page.urgent ? WritePriority::urgent : WritePriority::deferred, now);
    std::move(batch_page.done.begin(), batch_page.done.end(), std::back_inserter(page.waiting));
  }
}

void PagedRecords::set_page_revision(const std::string& key, Revision revision) {
  for (auto& [number, page] : pages_)
    if (key_of(number) == key) page.revision = revision;
}

}  // namespace violetpulley::store
