/// @file
/// Record tables stored in pages. Guards against one change per machine, which would exceed the
/// write limit, and against committed records being lost to a write that is executed late.
#include "store/paged_records.hpp"

#include <gtest/gtest.h>

#include <random>

namespace violetpulley::store {
namespace {

using std::chrono::milliseconds;

/// A key-value store with conditional writes. The test applies a batch late, or hides its result.
struct FakeStore {
  struct Entry {
    Json value;
    Revision revision = 0;
  };
  std::map<std::string, Entry> entries;
  Revision revision = 100;

  /// Returns the revision of the commit, or nothing after a conflict.
  std::optional<Revision> apply(const PagedRecords::Batch& batch) {
    for (const auto& condition : batch.conditions)
      if (entries[condition.key].revision != condition.revision) return std::nullopt;
    ++revision;
    for (const auto& write : batch.writes) entries[write.key] = {*write.value, revision};
    return revision;
  }
};

TEST(PagedRecords, AThousandMachinesAreRegisteredInAtMostTwentyChanges) {
  core::TimePoint now{};
  PagedRecords records("machines/", 14000, milliseconds(2000));
  int saved = 0;
  for (int i = 0; i < 1000; ++i)
    records.put("m-" + std::to_string(i), Json{"10.0.0.1:1"}, 250, WritePriority::urgent, now,
                [&] { ++saved; });
  FakeStore store;
  std::size_t changes = 0;
  for (int i = 0; i < 100 && saved < 1000; ++i) {
    PagedRecords::Batch batch;
    records.take(now, 12, std::size_t{52} * 1024, batch);
    changes += batch.writes.size();
    for (const auto& write : batch.writes) EXPECT_LE(write.value->dump().size(), 16U * 1024);
    records.mark_committed(batch, *store.apply(batch));
  }
  EXPECT_EQ(saved, 1000);
  EXPECT_LE(changes, 20U);
}

TEST(PagedRecords, EveryRecordReportedCommittedIsStored) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    const auto chance = [&](int percent) {
      return std::uniform_int_distribution<int>(1, 100)(random) <= percent;
    };
    core::TimePoint now{};
    PagedRecords records("p/", 600, milliseconds(500));
    FakeStore store;
    std::set<std::string> reported;         // reported as committed and not erased
    std::vector<PagedRecords::Batch> late;  // executed in a later step
    int next = 0;
    for (int step = 0; step < 400; ++step) {
      now += milliseconds(100);
      const bool faults = step < 300;
      if (faults && chance(70)) {
        const auto id = std::to_string(next++);
        records.put(id, Json{next}, 60,
                    chance(50) ? WritePriority::urgent : WritePriority::deferred, now,
                    [&reported, id] { reported.insert(id); });
      }
      if (!reported.empty() && step < 370 && chance(20)) {
        records.erase(*reported.begin(), now);
        reported.erase(reported.begin());
      }
      // A late transaction is executed; it must not remove a committed record.
      if (!late.empty() && chance(30)) {
        store.apply(late.front());
        late.erase(late.begin());
      }
      PagedRecords::Batch batch;
      records.take(now, 3, 10000, batch);
      if (!batch.writes.empty()) {
        if (faults && chance(30)) {
          late.push_back(batch);
          if (chance(50)) store.apply(batch);
          records.mark_failed(batch, now);
        } else if (const auto revision = store.apply(batch)) {
          records.mark_committed(batch, *revision);
        } else {
          records.mark_failed(batch, now);
          for (const auto& condition : batch.conditions)
            records.set_page_revision(condition.key, store.entries[condition.key].revision);
        }
      }
      for (const auto& id : reported) {
        bool stored = false;
        for (const auto& [key, entry] : store.entries) stored |= entry.value.contains(id);
        ASSERT_TRUE(stored) << id << " was reported as committed but is not stored, seed " << seed;
      }
    }
    PagedRecords reloaded("p/", 600, milliseconds(500));
    std::set<std::string> loaded;
    for (const auto& [key, entry] : store.entries)
      if (entry.revision != 0)
        reloaded.load({key, entry.value, entry.revision}, [&](const std::string& id, const Json&) {
          loaded.insert(id);
          return std::size_t{60};
        });
    EXPECT_EQ(loaded, reported) << "seed " << seed;
  }
}

}  // namespace
}  // namespace violetpulley::store
