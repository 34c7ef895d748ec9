/// @file
/// Tests of recorded histories: a replay of the recorded events must reach the same state. After
/// each fault, the state is compared with that of a fault-free replay of the same records, by
/// digest.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "config/history_settings.hpp"
#include "history/memory_files.hpp"
#include "history/recorder.hpp"
#include "simulation/world.hpp"

namespace violetpulley::history {
namespace {

using core::Seconds;
using core::TimePoint;
using std::chrono::milliseconds;

const Key kKey = parse_key(std::string(64, '7'));
const Key kOtherKey = parse_key(std::string(64, '8'));

/// Events and actions of the leaders in a seeded simulation with faults, and the digest of the
/// state before each record.
struct RecordedRun {
  std::vector<Record> records;
  std::vector<std::uint64_t> states;  // one more entry than `records`
};

RecordedRun record_run(std::uint64_t seed, Seconds length) {
  RecordedRun run;
  core::simulated::World world(seed);
  core::simulated::Observer observer;
  observer.event = [&](core::FencingToken token, TimePoint at, const core::Event& event) {
    run.records.push_back({token, at, event});
  };
  observer.actions = [&](core::FencingToken token, TimePoint at,
                         const std::vector<core::Action>& actions, core::Controller&) {
    if (!actions.empty()) run.records.push_back({token, at, ActionsRecorded{digest_of(actions)}});
  };
  world.run(Seconds(20));
  world.observe(observer);
  world.run(length);
  Replay clean;
  for (const auto& record : run.records) {
    run.states.push_back(clean.state_digest());
    clean.apply(record);
  }
  run.states.push_back(clean.state_digest());
  EXPECT_FALSE(clean.difference()) << "replay differs at " << clean.difference()->record;
  return run;
}

/// Recovers a history and writes records to it as a leader does.
class Writer {
 public:
  Writer(Files& files, LogSettings settings, std::optional<Key> key = {})
      : files_(files), settings_(settings), key_(key) {}

  /// Recovers the history and returns its number of records.
  std::uint64_t open() {
    replay_ = std::make_unique<Replay>();
    const auto contents =
        Reader(files_, key_).recover(*replay_, [](const CorruptionError&) { ADD_FAILURE(); });
    log_ = std::make_unique<EventLog>(files_, key_, settings_, contents, "test", core::WallTime{});
    return contents.record_count();
  }
  const Replay& replay() const { return *replay_; }

  void write(const Record& record) {
    replay_->apply(record);
    if (const auto* event = std::get_if<core::Event>(&record.content))
      log_->record(record.token, record.at, *event);
    else
      log_->record_actions(record.token, record.at,
                           std::get<ActionsRecorded>(record.content).digest);
    log_->flush(record.at);
    const bool between = std::holds_alternative<ActionsRecorded>(record.content);
    if (log_->snapshotting())
      log_->continue_snapshot();
    else if (between && log_->snapshot_due(record.at))
      log_->begin_snapshot(*replay_->controller(), replay_->elected_event(), replay_->elected_at(),
                           record.at, core::WallTime{});
  }
  const EventLog& log() const { return *log_; }

 private:
  Files& files_;
  LogSettings settings_;
  std::optional<Key> key_;
  std::unique_ptr<Replay> replay_;
  std::unique_ptr<EventLog> log_;
};

LogSettings frequent_snapshots() {
  LogSettings settings;
  settings.sync = SyncPolicy::interval;
  settings.sync_interval = Seconds(0.5);
  settings.snapshot_interval = Seconds(4);
  settings.slice_bytes = 4000;
  return settings;
}

std::string last_segment(MemoryFiles& files) {
  std::string name;
  for (const auto& entry : files.list())
    if (segment_number(entry)) name = entry;
  return name;
}

/// Expects that the recovered state equals that of a fault-free replay after as many records, and
/// that writing the remaining records reaches the same final state.
void expect_recovery(Files& files, const RecordedRun& run, std::uint64_t min_records,
                     std::optional<Key> key = {}) {
  Writer writer(files, frequent_snapshots(), key);
  const auto recovered = writer.open();
  ASSERT_GE(recovered, min_records);
  ASSERT_LE(recovered, run.records.size());
  ASSERT_EQ(writer.replay().state_digest(), run.states[recovered]) << "after " << recovered;
  for (auto i = recovered; i < run.records.size(); ++i) writer.write(run.records[i]);
  EXPECT_EQ(writer.replay().state_digest(), run.states.back());
  EXPECT_FALSE(writer.replay().difference());
  // The next reader accepts the complete history.
  EXPECT_EQ(Reader(files, key).check().record_count(), run.records.size());
}

class HistoryReplay : public ::testing::TestWithParam<int> {};

TEST_P(HistoryReplay, FromSnapshotsAndFromTheStartReachesTheLiveState) {
  const auto run = record_run(static_cast<std::uint64_t>(GetParam()), Seconds(120));
  MemoryFiles files;
  Writer writer(files, frequent_snapshots(), kKey);
  writer.open();
  for (const auto& record : run.records) writer.write(record);
  ASSERT_GT(writer.log().snapshots_made(), 3U);
  Reader reader(files, kKey);
  const auto contents = reader.check();
  EXPECT_EQ(contents.record_count(), run.records.size());
  EXPECT_EQ(contents.snapshots.size(), 2U);
  // Both snapshots hold the state of a fault-free replay, and the events that both cover are
  // removed.
  for (const auto& save : contents.snapshots)
    EXPECT_EQ(save.state_digest, run.states[save.header.record_count]);
  EXPECT_EQ(contents.segments.front().header.segment, contents.snapshots.front().header.segment);
  for (const bool from_older : {false, true}) {
    Replay replay;
    reader.replay(contents, replay, from_older);
    EXPECT_EQ(replay.state_digest(), run.states.back());
    EXPECT_FALSE(replay.difference());
  }
  const auto until = contents.snapshots.front().header.record_count + 5;
  Replay early;
  reader.replay(contents, early, false, until);
  EXPECT_EQ(early.state_digest(), run.states[until]);
}

INSTANTIATE_TEST_SUITE_P(Seeds, HistoryReplay, ::testing::Range(31, 35));

/// A snapshot written in slices must hold the state at the moment of capture, although events are
/// applied between the slices.
class StateCaptureTest : public ::testing::TestWithParam<int> {};

TEST_P(StateCaptureTest, SlicesHoldTheStateAtTheMomentOfCapture) {
  core::simulated::World world(static_cast<std::uint64_t>(GetParam()));
  core::simulated::Observer observer;
  std::unique_ptr<StateCapture> capture;
  Parts unsliced;
  Parts sliced;
  int captures = 0;
  int calls = 0;
  observer.event = [&](core::FencingToken, TimePoint, const core::Event& event) {
    if (std::holds_alternative<core::LeaderElected>(event)) capture.reset();
  };
  observer.actions = [&](core::FencingToken, TimePoint, const std::vector<core::Action>&,
                         core::Controller& controller) {
    if (!capture) {
      unsliced = parts_of(controller);
      sliced.clear();
      capture = std::make_unique<StateCapture>(controller);
      return;
    }
    if (++calls % 4 != 0) return;  // several batches of events between two slices
    const auto slice = capture->next(500);
    if (slice) {
      if (sliced.empty() || sliced.back().first != slice->part)
        sliced.emplace_back(slice->part, "");
      sliced.back().second += slice->bytes;
      return;
    }
    ++captures;
    ASSERT_EQ(sliced.size(), unsliced.size());
    for (std::size_t i = 0; i < unsliced.size(); ++i)
      ASSERT_TRUE(sliced[i] == unsliced[i])
          << "part " << unsliced[i].first << ", snapshot " << captures;
    EXPECT_EQ(capture->digest(), digest_of(unsliced));
    capture.reset();
  };
  world.observe(observer);
  world.run(Seconds(400));
  EXPECT_GT(captures, 10);
}

INSTANTIATE_TEST_SUITE_P(Seeds, StateCaptureTest, ::testing::Range(61, 73));

const RecordedRun& short_run() {
  static const RecordedRun run = record_run(7, Seconds(20));
  return run;
}

TEST(History, AProcessKilledAtAnyFileCallRecoversAllFlushedRecords) {
  const auto& run = short_run();
  std::size_t calls = 0;
  {
    MemoryFiles files;
    Writer writer(files, frequent_snapshots());
    writer.open();
    for (const auto& record : run.records) writer.write(record);
    ASSERT_GE(writer.log().snapshots_made(), 2U);
    ASSERT_GT(run.records.size(), 150U);
    calls = files.calls();
  }
  for (std::size_t n = 1; n <= calls; ++n) {
    SCOPED_TRACE("killed at call " + std::to_string(n));
    MemoryFiles files;
    files.fail_at(n);
    std::uint64_t flushed = 0;
    try {
      Writer writer(files, frequent_snapshots());
      writer.open();
      for (const auto& record : run.records) {
        writer.write(record);
        ++flushed;
      }
    } catch (const FileError&) {
    }
    files.restart();
    expect_recovery(files, run, flushed);
    if (HasFailure()) return;
  }
}

TEST(History, SyncedRecordsSurviveAPowerLoss) {
  const auto& run = short_run();
  auto settings = frequent_snapshots();
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    settings.sync = seed % 3 == 0 ? SyncPolicy::always : SyncPolicy::interval;
    MemoryFiles files;
    const auto end = random() % run.records.size();
    {
      Writer writer(files, settings);
      writer.open();
      for (std::size_t i = 0; i < end; ++i) writer.write(run.records[i]);
    }
    files.power_cut(random);
    expect_recovery(files, run, settings.sync == SyncPolicy::always ? end : 0);
    if (HasFailure()) return;
  }
}

/// Outcome of reading a history: refused, or a prefix of the written records was read.
enum class ReadResult { refused, prefix };

ReadResult read_all(MemoryFiles& files, const RecordedRun& run, std::optional<Key> key) {
  Contents contents;
  try {
    Reader reader(files, key);
    contents = reader.check();
    for (const auto& segment : contents.segments)
      reader.read_segment(segment.name, [&](const Record& record, std::uint64_t number) {
        EXPECT_LT(number, run.records.size());
        if (number < run.records.size()) {
          EXPECT_EQ(packed(record), packed(run.records[number])) << "a corrupt record was accepted";
        }
        return true;
      });
  } catch (const CorruptionError&) {
    return ReadResult::refused;
  }
  return ReadResult::prefix;
}

struct WrittenHistory {
  MemoryFiles files;
  std::string last;
  std::size_t records = 0;
};

/// Writes a history with two snapshots and a short last segment, as a process that ends leaves it.
void write_short_tail(WrittenHistory& out, const RecordedRun& run, std::optional<Key> key) {
  Writer writer(out.files, frequent_snapshots(), key);
  writer.open();
  std::uint64_t snapshots = 0;
  std::size_t records_since_snapshot = 0;
  for (const auto& record : run.records) {
    writer.write(record);
    ++out.records;
    if (writer.log().snapshots_made() > snapshots) records_since_snapshot = 0;
    snapshots = writer.log().snapshots_made();
    if (snapshots >= 2 && ++records_since_snapshot == 25) break;
  }
  out.last = last_segment(out.files);
}

TEST(History, TruncatedOrFlippedBytesNeverYieldAWrongRecord) {
  const auto& run = short_run();
  for (const bool with_key : {false, true}) {
    const auto key = with_key ? std::optional(kKey) : std::nullopt;
    WrittenHistory written;
    write_short_tail(written, run, key);
    const auto whole = written.files.bytes(written.last);
    const auto files = written.files.snapshot();
    std::size_t refused = 0;
    const auto header = whole.size() < 400 ? whole.size() : std::size_t{400};
    for (std::size_t at = 0; at < whole.size(); ++at) {
      // All of the first and the last 400 bytes, and every seventh byte between.
      if (at > header && at + 400 < whole.size() && at % 7 != 0) continue;
      MemoryFiles cut;
      cut.put(files);
      cut.bytes(written.last).resize(at);
      read_all(cut, run, key);
      MemoryFiles flipped;
      flipped.put(files);
      auto& byte = flipped.bytes(written.last)[at];
      byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1U << at % 8));
      if (read_all(flipped, run, key) == ReadResult::refused) ++refused;
      ASSERT_FALSE(HasFailure()) << "byte " << at;
    }
    EXPECT_GT(refused, whole.size() / 20) << "corruption before the last sync must be refused";
  }
}

TEST(History, CorruptionIsRefusedWithItsCause) {
  const auto& run = short_run();
  WrittenHistory written;
  write_short_tail(written, run, kKey);
  const auto files = written.files.snapshot();
  const auto expect_refused = [&](const std::string& cause, auto change, std::optional<Key> key) {
    auto changed = files;
    change(changed);
    MemoryFiles memory;
    memory.put(changed);
    try {
      Reader(memory, key).check();
      ADD_FAILURE() << "accepted, although an error with " << cause << " was expected";
    } catch (const CorruptionError& problem) {
      EXPECT_NE(std::string(problem.what()).find(cause), std::string::npos) << problem.what();
    }
  };
  using Map = std::map<std::string, std::string>;
  std::vector<std::string> segments;
  std::vector<std::string> snapshots;
  for (const auto& [name, bytes] : files) {
    if (segment_number(name)) segments.push_back(name);
    if (snapshot_number(name)) snapshots.push_back(name);
  }
  ASSERT_GE(segments.size(), 2U);
  expect_refused(
      "checksum", [&](Map& m) { m[segments[0]][m[segments[0]].size() / 2] ^= 1; }, kKey);
  expect_refused(
      "missing", [&](Map& m) { m.erase(segments.back()); }, kKey);
  expect_refused(
      "swapped", [&](Map& m) { std::swap(m[segments[0]], m[segments[1]]); }, kKey);
  expect_refused(
      "swapped", [&](Map& m) { std::swap(m[snapshots[0]], m[snapshots[1]]); }, kKey);
  expect_refused(
      "checksum", [&](Map& m) { m[snapshots[1]][m[snapshots[1]].size() / 2] ^= 1; }, kKey);
  expect_refused(
      "no snapshot covers",
      [&](Map& m) {
        for (const auto& s : snapshots) m.erase(s);
      },
      kKey);
  expect_refused(
      "another key", [&](Map&) {}, kOtherKey);
  expect_refused(
      "format version 9 is unknown", [&](Map& m) { m[segments[0]][7] = 9; }, kKey);
  expect_refused(
      "format version 9 is unknown", [&](Map& m) { m[snapshots[1]][7] = 9; }, kKey);
  // An attacker without the key can write an unsigned history with valid checksums.
  WrittenHistory unsigned_history;
  write_short_tail(unsigned_history, run, std::nullopt);
  expect_refused(
      "not signed", [&](Map& m) { m = unsigned_history.files.snapshot(); }, kKey);
}

TEST(History, AHistoryWithAMissingSegmentIsRefused) {
  const auto& run = short_run();
  auto settings = frequent_snapshots();
  settings.snapshot_interval = Seconds(1000);
  MemoryFiles files;
  for (std::size_t at = 0; at < 60; at += 20) {  // three processes write a segment each
    Writer writer(files, settings, kKey);
    EXPECT_EQ(writer.open(), at);
    for (auto i = at; i < at + 20; ++i) writer.write(run.records[i]);
  }
  EXPECT_EQ(Reader(files, kKey).check().segments.size(), 3U);
  files.remove(segment_name(2));
  EXPECT_THROW(Reader(files, kKey).check(), CorruptionError);
  Replay replay;
  EXPECT_THROW(Reader(files, kKey).recover(replay, [](const CorruptionError&) {}), CorruptionError);
}

/// A record that was changed together with its checksum can only be detected by its MAC.
TEST(History, AForgedRecordWithAValidChecksumFailsTheMac) {
  FrameWriter good(FileKind::events, kKey);
  FrameWriter other(FileKind::events, kOtherKey);
  for (auto* frames : {&good, &other})
    for (const char* text : {"one", "two", "three"}) frames->add(text);
  const auto bytes = good.take();
  auto forged = other.take();
  FrameReader unchecked("f", forged, FileKind::events, std::nullopt);
  EXPECT_EQ(unchecked.next(), "one");
  FrameReader checked("f", forged, FileKind::events, kKey);
  EXPECT_THROW(checked.next(), CorruptionError);
  FrameReader reader("f", bytes, FileKind::events, kKey);
  for (const char* text : {"one", "two", "three"}) EXPECT_EQ(reader.next(), text);
  EXPECT_FALSE(reader.next());
}

/// Heartbeats are stored as differences; random changes and orders of the task lists must
/// round-trip.
TEST(History, HeartbeatsStoredAsChangesRoundTrip) {
  std::mt19937_64 random(77);
  const auto pick = [&](std::uint64_t below) { return random() % below; };
  HeartbeatChangesWriter writer;
  HeartbeatChangesReader reader;
  std::vector<core::Heartbeat> workers(3);
  std::size_t bytes = 0;
  std::size_t whole_bytes = 0;
  for (int round = 0; round < 2000; ++round) {
    auto& heartbeat = workers[pick(workers.size())];
    heartbeat.machine = "m" + std::to_string(&heartbeat - workers.data());
    ++heartbeat.heartbeat_sequence;
    if (pick(50) == 0) heartbeat.endpoint = "e" + std::to_string(round);
    if (pick(50) == 0) heartbeat.notice = Seconds(30);
    if (pick(50) == 0) ++heartbeat.epoch;
    if (pick(50) == 0) std::shuffle(heartbeat.tasks.begin(), heartbeat.tasks.end(), random);
    if (pick(80) == 0) heartbeat.tasks.clear();
    auto& tasks = heartbeat.tasks;
    for (auto changes = pick(4); changes > 0; --changes) {
      const auto at = tasks.begin() + static_cast<std::ptrdiff_t>(pick(tasks.size() + 1));
      if (pick(3) == 0 || at == tasks.end())  // tasks of a gang have equal attempts
        tasks.insert(at, {{"j" + std::to_string(pick(3)), static_cast<core::TaskIndex>(pick(9))},
                          pick(20),
                          core::TaskState::running,
                          {},
                          false});
      else if (pick(2) == 0)
        tasks.erase(at);
      else
        at->state = core::TaskState::exited;
    }
    Record record{7, TimePoint(milliseconds(round)),
                  core::Event(core::HeartbeatReceived{heartbeat})};
    if (pick(2) == 0)
      record.content = core::Event(core::CommandsAnswered{heartbeat.machine, heartbeat});
    const bool answers_commands =
        std::holds_alternative<core::CommandsAnswered>(std::get<0>(record.content));
    WrittenRecord written{record.token, record.at, std::get<0>(record.content)};
    if (const auto* changes = writer.changes(heartbeat, answers_commands))
      written.content = *changes;
    const auto packed_now = packed(written);
    bytes += packed_now.size();
    whole_bytes += packed(record).size();
    EXPECT_EQ(packed(reader.restore(unpacked<WrittenRecord>(packed_now))), packed(record));
  }
  EXPECT_LT(bytes, whole_bytes / 2);
  HeartbeatChanges unknown;
  unknown.machine = "m9";
  EXPECT_THROW(reader.restore({7, {}, unknown}), DecodeError);
  unknown.machine = "m1";
  unknown.removed = {1000};
  EXPECT_THROW(reader.restore({7, {}, unknown}), DecodeError);
}

TEST(History, RecoveryFallsBackFromACorruptSnapshotToThePreviousOne) {
  const auto& run = short_run();
  WrittenHistory written;
  write_short_tail(written, run, kKey);
  std::vector<std::string> snapshots;
  for (const auto& name : written.files.list())
    if (snapshot_number(name)) snapshots.push_back(name);
  written.files.bytes(snapshots.back())[100] ^= 4;
  int corrupt_snapshots = 0;
  Replay replay;
  const auto contents = Reader(written.files, kKey).recover(replay, [&](const CorruptionError&) {
    ++corrupt_snapshots;
  });
  EXPECT_EQ(corrupt_snapshots, 1);
  EXPECT_EQ(contents.record_count(), written.records);
  EXPECT_EQ(replay.state_digest(), run.states[written.records]);
}

TEST(History, AFullDiskEndsTheHistoryWithoutAnException) {
  const auto& run = short_run();
  auto memory = std::make_unique<MemoryFiles>();
  auto* files = memory.get();
  Recorder recorder(std::move(memory), {"", std::nullopt, frequent_snapshots()}, {});
  ASSERT_TRUE(recorder.is_recording());
  files->set_free_bytes(3000);
  core::Controller* controller = nullptr;
  std::unique_ptr<core::Controller> controller_owner;
  for (const auto& record : run.records) {
    const auto* event = std::get_if<core::Event>(&record.content);
    if (event == nullptr) continue;
    if (const auto* elected = std::get_if<core::LeaderElected>(event)) {
      recorder.leader_elected(record.at, *elected);
      controller_owner = core::make_controller(*elected, record.at);
      controller = controller_owner.get();
      continue;
    }
    core::apply(*controller_owner, *event, record.at);
    recorder.record(record.at, *event);
    recorder.record_actions(record.at, controller_owner->take_actions());
    recorder.write_due(*controller, record.at, {});
  }
  EXPECT_FALSE(recorder.is_recording());
  EXPECT_EQ(recorder.summary(), "history off");
}

TEST(History, AnEmptyHistoryAndAClockThatStepsBackAreAccepted) {
  MemoryFiles files;
  Writer writer(files, frequent_snapshots());
  EXPECT_EQ(writer.open(), 0U);
  EXPECT_EQ(Writer(files, frequent_snapshots()).open(), 0U);
  // Times that step back must not stop the recording.
  auto run = short_run();
  MemoryFiles files_of_stepping_back;
  Writer stepping_back(files_of_stepping_back, frequent_snapshots());
  stepping_back.open();
  for (std::size_t i = 0; i < run.records.size(); ++i) {
    if (i >= run.records.size() / 2) run.records[i].at -= std::chrono::hours(2);
    stepping_back.write(run.records[i]);
  }
  EXPECT_EQ(Reader(files_of_stepping_back, {}).check().record_count(), run.records.size());
}

TEST(History, ASecondWriterIsRefusedTheDirectory) {
  const auto path = ::testing::TempDir() + "violetpulley-history-" + std::to_string(getpid());
  const Directory first(path, true);
  EXPECT_THROW(Directory(path, true), FileError);
  EXPECT_NO_THROW(Directory(path, false));
  std::filesystem::remove_all(path);
}

/// A snapshot with a job of 100,000 tasks can be written and restored.
TEST(History, AJobOfAHundredThousandTasksSurvivesASnapshot) {
  core::LeaderElected elected;
  elected.settings.teams = {{"t", 0, 0, 0, 0}};
  elected.token = 5;
  const TimePoint now{std::chrono::hours(1)};
  core::JobRecord record;
  record.spec.id = "req-1";
  record.spec.team = "t";
  record.spec.tasks = 100'000;
  record.spec.per_task = {1, 0, 1};
  elected.recovered.jobs = {record};
  MemoryFiles files;
  auto settings = frequent_snapshots();
  settings.slice_bytes = std::size_t{64} * 1024;
  Writer writer(files, settings);
  writer.open();
  writer.write({5, now, elected});
  writer.write({5, now + std::chrono::seconds(5), core::Event(core::Ticked{true, {}})});
  writer.write(
      {5, now + std::chrono::seconds(6), ActionsRecorded{digest_of(std::vector<core::Action>{})}});
  while (writer.log().snapshotting())
    writer.write({5, now + std::chrono::seconds(6), core::Event(core::Ticked{true, {}})});
  ASSERT_EQ(writer.log().snapshots_made(), 1U);
  const auto state = writer.replay().state_digest();
  Writer restarted(files, settings);
  restarted.open();
  EXPECT_EQ(restarted.replay().state_digest(), state);
  EXPECT_EQ(restarted.replay().controller()->jobs().at("req-1").waiting.size(), 100'000U);
}

/// A process that writes to disk is killed with SIGKILL after a random number of records.
TEST(History, AKilledProcessLosesNoWrittenRecords) {
  const auto& run = short_run();
  const auto path = ::testing::TempDir() + "violetpulley-killed-" + std::to_string(getpid());
  std::mt19937_64 random(11);
  for (int round = 0; round < 200; ++round) {
    SCOPED_TRACE("round " + std::to_string(round));
    std::filesystem::remove_all(path);
    const auto end = random() % run.records.size();
    const pid_t child = fork();
    ASSERT_GE(child, 0);
    if (child == 0) {
      Directory files(path, true);
      auto settings = frequent_snapshots();
      settings.sync = SyncPolicy::never;
      Writer writer(files, settings);
      writer.open();
      for (std::size_t i = 0; i < end; ++i) writer.write(run.records[i]);
      kill(getpid(), SIGKILL);
    }
    int status = 0;
    ASSERT_EQ(waitpid(child, &status, 0), child);
    ASSERT_TRUE(WIFSIGNALED(status));
    Directory files(path, true);
    Writer writer(files, frequent_snapshots());
    ASSERT_EQ(writer.open(), end);
    ASSERT_EQ(writer.replay().state_digest(), run.states[end]);
  }
  std::filesystem::remove_all(path);
}

/// Runs the `history` commands as an operator does: verify, replay, compact with a new key, and
/// detect corruption.
TEST(HistoryCommand, VerifiesReplaysCompactsAndFindsCorruption) {
  const auto path = ::testing::TempDir() + "violetpulley-command-" + std::to_string(getpid());
  std::filesystem::remove_all(path);
  const auto run_command = [&](const std::string& arguments) {
    FILE* pipe =
        popen((std::string(VIOLETPULLEY_PROGRAM) + " history " + arguments + " 2>&1").c_str(), "r");
    std::string out;
    char buffer[4096];
    while (const auto got = fread(buffer, 1, sizeof buffer, pipe)) out.append(buffer, got);
    const int status = pclose(pipe);
    return std::pair(WIFEXITED(status) ? WEXITSTATUS(status) : -1, out);
  };
  const auto old_key = path + "-old.key";
  const auto new_key = path + "-new.key";
  std::ofstream(old_key) << std::string(64, '7') << "\n";
  std::ofstream(new_key) << std::string(64, '8') << "\n";
  const auto& run = short_run();
  {
    Directory files(path, true);
    Writer writer(files, frequent_snapshots(), kKey);
    writer.open();
    for (const auto& record : run.records) writer.write(record);
  }
  const auto with_old = path + " --key " + old_key;
  const auto with_new = path + " --key " + new_key;
  EXPECT_EQ(run_command("verify " + with_old).first, 0);
  EXPECT_EQ(run_command("verify " + path).first, 0) << "without a key the checksums are checked";
  EXPECT_EQ(run_command("verify " + with_new).first, 1);
  EXPECT_EQ(run_command("verify " + path + " --key /nowhere").first, 2);
  EXPECT_EQ(run_command("verify").first, 2);
  const auto replayed = run_command("replay " + with_old);
  EXPECT_EQ(replayed.first, 0) << replayed.second;
  EXPECT_NE(replayed.second.find(hex(run.states.back())), std::string::npos) << replayed.second;
  EXPECT_NE(run_command("show " + with_old).second.find("tick"), std::string::npos);
  const auto compacted = run_command("compact " + with_old + " --new-key " + new_key);
  EXPECT_EQ(compacted.first, 0) << compacted.second;
  EXPECT_EQ(run_command("verify " + with_old).first, 1);
  EXPECT_EQ(run_command("verify " + with_new).first, 0) << run_command("verify " + with_new).second;
  EXPECT_NE(run_command("replay " + with_new).second.find(hex(run.states.back())),
            std::string::npos);
  for (const auto& entry : std::filesystem::directory_iterator(path))
    if (entry.path().extension() == ".vps") {
      std::fstream file(entry.path(), std::ios::in | std::ios::out | std::ios::binary);
      file.seekp(100);
      file.put('!');
    }
  const auto broken = run_command("verify --json " + with_new);
  EXPECT_EQ(broken.first, 1);
  EXPECT_NE(broken.second.find("\"cause\":\"a checksum is wrong\""), std::string::npos)
      << broken.second;
  std::filesystem::remove_all(path);
  std::filesystem::remove(old_key);
  std::filesystem::remove(new_key);
}

TEST(HistorySettings, ErrorsNameTheFieldAndTheReason) {
  const auto refused = [](const std::string& yaml) -> std::string {
    try {
      config::parse_history_settings(yaml);
      return "accepted";
    } catch (const config::SettingsError& problem) {
      return problem.what();
    }
  };
  EXPECT_EQ(refused("home: off\n"), "accepted");
  EXPECT_EQ(refused("home: directory\ndirectory: /tmp/x\nsync: always\nmost_mb: 5\n"), "accepted");
  EXPECT_NE(
      refused("home: disk\n").find("home: must be one of directory, off, state-service (line 1)"),
      std::string::npos);
  EXPECT_NE(refused("home: directory\n").find("directory: is missing"), std::string::npos);
  EXPECT_NE(refused("interval_s: 0\n").find("interval_s: must lie between"), std::string::npos);
  EXPECT_NE(refused("\nintervall: 1\n").find("intervall: is not a known setting (line 2)"),
            std::string::npos);
  EXPECT_NE(refused("key_file: /nowhere\n").find("key_file: cannot read"), std::string::npos);
}

}  // namespace
}  // namespace violetpulley::history
