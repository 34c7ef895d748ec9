#include "store/paged_records.hpp"

#include <charconv>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace violetpulley::store {

namespace {
constexpr std::size_t kEnvelope = 64;  // name, condition and punctuation of one write
}

void PagedRecords::load(const Item& item,
                        const std::function<std::size_t(const std::string&, const Json&)>& each) {
  int number = -1;
  const auto* end = item.key.data() + item.key.size();
  const auto [stop, error] = std::from_chars(item.key.data() + prefix_.size(), end, number);
  if (error != std::errc() || stop != end || number < 0)
    throw std::invalid_argument("page name " + item.key);
  auto& page = pages_[number];
  page.revision = item.revision;
  for (const auto& [id, value] : item.value.items()) {
    const auto reserve = each(id, value);
    if (!page_of_.emplace(id, number).second) continue;  // read once more
    page.records[id] = {value, reserve};
    page.reserved += reserve;
  }
}

void PagedRecords::mark(Page& page, WritePriority priority, core::TimePoint now) {
  if (!page.dirty_since) page.dirty_since = now;
  if (priority == WritePriority::urgent) page.urgent = true;
}

PagedRecords::Page& PagedRecords::page_with_capacity(std::size_t reserve, int& number) {
  number = 0;
  for (auto& [at, page] : pages_) {
    if (page.reserved + reserve <= page_bytes_) {
      number = at;
      return page;
    }
    number = at + 1;
  }
  return pages_[number];
}

void PagedRecords::put(const std::string& id, Json value, std::size_t reserve,
                       WritePriority priority, core::TimePoint now, Done done) {
  const auto known = page_of_.find(id);
  Page* page = nullptr;
  if (known != page_of_.end()) {
    page = &pages_.at(known->second);
    page->records.at(id).value = std::move(value);
  } else {
    int number = 0;
    page = &page_with_capacity(reserve, number);
    page_of_[id] = number;
    page->records[id] = {std::move(value), reserve};
    page->reserved += reserve;
  }
  if (done) page->waiting.push_back(std::move(done));
  mark(*page, priority, now);
}

void PagedRecords::erase(const std::string& id, core::TimePoint now) {
  const auto known = page_of_.find(id);
  if (known == page_of_.end()) return;
  auto& page = pages_.at(known->second);
  const auto record = page.records.find(id);
  page.reserved -= record->second.reserve;
  page.records.erase(record);
  page_of_.erase(known);
  mark(page, WritePriority::deferred, now);
}

void PagedRecords::take(core::TimePoint now, std::size_t max_writes, std::size_t max_bytes,
                        Batch& batch) {
  for (const bool urgent : {true, false})
    for (auto& [number, page] : pages_) {
      if (!page.dirty_since || page.urgent != urgent) continue;
      if (!urgent && now - *page.dirty_since < deferred_wait_) continue;
      if (batch.writes.size() >= max_writes) return;
      if (batch.bytes + page.reserved + kEnvelope > max_bytes) return;
      Json value = Json::object();
      for (const auto& [id, record] : page.records) value[id] = record.value;
      const auto key = prefix_ + std::to_string(number);
      batch.bytes += page.reserved + kEnvelope;
      batch.conditions.push_back({key, page.revision});
      batch.writes.push_back({key, std::move(value), std::nullopt});
      batch.pages.push_back({number, urgent, std::exchange(page.waiting, {})});
      page.urgent = false;
      page.dirty_since.reset();
    }
}

void PagedRecords::committed(const Batch& batch, Revision revision) {
  for (const auto& taken : batch.pages) pages_.at(taken.page).revision = revision;
  for (const auto& taken : batch.pages)
    for (const auto& done : taken.done) done();
}

void PagedRecords::failed(Batch& batch, core::TimePoint now) {
  for (auto& taken : batch.pages) {
    auto& page = pages_.at(taken.page);
    mark(page, taken.urgent ? WritePriority::urgent : WritePriority::deferred, now);
    std::move(taken.done.begin(), taken.done.end(), std::back_inserter(page.waiting));
  }
}

void PagedRecords::reread(const std::string& key, Revision revision) {
  for (auto& [number, page] : pages_)
    if (prefix_ + std::to_string(number) == key) page.revision = revision;
}

}  // namespace violetpulley::store
