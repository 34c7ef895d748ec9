/// @file
/// Recorded histories: whole, replayed to the same states and actions, and written again with the
/// same bytes. Those of before December 2026 meet faults that were mended since: they are replayed
/// up to the record before the first of them, and differ at the named decision and not before.
#include "golden/golden_files.hpp"
#include "history/heartbeat_changes.hpp"
#include "history/reader.hpp"

namespace violetpulley::golden {
namespace {

using history::FileKind;

/// Where a frame holds how much of its file was synced: behind its length and its checksum.
constexpr std::size_t kSyncedOffset = 12;

bool is_signed(const std::string& name) { return name.find("unsigned") == std::string::npos; }

class GoldenHistory : public ::testing::TestWithParam<std::string> {
 protected:
  GoldenHistory()
      : expected_(read_json(GetParam() + ".json")),
        agreement_(agreement_of(GetParam())),
        files_(existing_directory(), false),
        reader_(files_, key()) {}

  static std::string existing_directory() {
    const auto path = path_of(GetParam());
    if (!std::filesystem::is_directory(path))
      throw std::runtime_error("golden history " + GetParam() + " is missing");
    return path.string();
  }
  /// Up to which records a later program that decides otherwise agrees; null: to the end.
  static Json agreement_of(const std::string& name) {
    const auto file = name + "-agreement.json";
    return std::filesystem::exists(path_of(file)) ? read_json(file) : Json{};
  }
  static std::optional<history::Key> key() {
    if (!is_signed(GetParam())) return std::nullopt;
    return history::parse_key(std::string(64, '7'));
  }
  static std::string bytes_of(const std::string& name) {
    return read_file(GetParam() + "/" + name);
  }

  /// Writes the payloads of a file again, each through `rewrite`, with the syncs of the original.
  template <class Rewrite>
  static std::string written_again(const std::string& name, FileKind kind, Rewrite rewrite) {
    const auto bytes = bytes_of(name);
    history::FrameReader frames(name, bytes, kind, key());
    history::FrameWriter writer(kind, key());
    std::string out;
    std::uint64_t synced = 0;
    auto begin = frames.offset();
    while (const auto payload = frames.next()) {
      const auto synced_before = little_endian(bytes, begin + kSyncedOffset);
      if (synced_before != synced) {
        out += writer.take();
        EXPECT_EQ(out.size(), synced_before);
        writer.mark_synced();
        synced = synced_before;
      }
      writer.add(rewrite(*payload));
      begin = frames.offset();
    }
    return out + writer.take();
  }
  static std::uint64_t little_endian(const std::string& bytes, std::size_t at) {
    std::uint64_t value = 0;
    for (std::size_t index = 8; index-- > 0;)
      value = value << 8U | static_cast<unsigned char>(bytes.at(at + index));
    return value;
  }

  /// Replays `contents` to the end, or up to where the decisions agree with those recorded.
  void expect_replayed(const history::Contents& contents, bool from_start) {
    const std::string mode = from_start ? "from_start" : "from_snapshot";
    const bool agrees_to_end = agreement_.is_null();
    const auto& expected = (agrees_to_end ? expected_ : agreement_).at(mode);
    const auto events = expected.at("events").get<std::uint64_t>();
    history::Replay replay;
    reader_.replay(contents, replay, from_start, events);
    expect_same(replay, expected);
    if (!agrees_to_end) expect_difference(contents, from_start, expected);
  }
  /// The whole replay differs first at the named record.
  void expect_difference(const history::Contents& contents, bool from_start, const Json& expected) {
    history::Replay whole;
    reader_.replay(contents, whole, from_start);
    EXPECT_EQ(whole.record_count(), contents.record_count());
    ASSERT_TRUE(whole.difference());
    EXPECT_EQ(whole.difference()->record, expected.at("differs_at").get<std::uint64_t>());
  }
  static void expect_same(const history::Replay& replay, const Json& expected) {
    EXPECT_FALSE(replay.difference());
    EXPECT_EQ(replay.record_count(), expected.at("events").get<std::uint64_t>());
    EXPECT_EQ(history::hex(replay.actions_digest()), text_at(expected, "actions_digest"));
    EXPECT_EQ(history::hex(replay.state_digest()), text_at(expected, "state_digest"));
  }

  Json expected_;
  Json agreement_;
  history::Directory files_;
  history::Reader reader_;
};

TEST_P(GoldenHistory, IsWhole) {
  const auto contents = reader_.check();
  EXPECT_EQ(contents.history, "golden");
  EXPECT_EQ(contents.record_count(), expected_.at("events").get<std::uint64_t>());
  EXPECT_TRUE(contents.unfinished.empty());
  Json segments = Json::array();
  for (const auto& segment : contents.segments)
    segments.push_back({{"name", segment.name},
                        {"records", segment.records},
                        {"bytes", segment.bytes},
                        {"torn_bytes", segment.torn_bytes}});
  EXPECT_EQ(segments, expected_.at("segments"));
  Json snapshots = Json::array();
  for (const auto& snapshot : contents.snapshots)
    snapshots.push_back({{"name", snapshot.name},
                         {"events", snapshot.header.record_count},
                         {"bytes", snapshot.bytes},
                         {"state_digest", history::hex(snapshot.state_digest)}});
  EXPECT_EQ(snapshots, expected_.at("snapshots"));
  EXPECT_EQ(snapshots.size(), 2U);
}

TEST_P(GoldenHistory, IsReplayedToTheSameStatesAndActions) {
  const auto contents = reader_.check();
  expect_replayed(contents, true);
  expect_replayed(contents, false);
}

// The last snapshot before the first decision that is made otherwise now.
TEST_P(GoldenHistory, AReplayReachesTheStateOfTheLastSnapshot) {
  const auto contents = reader_.check();
  const auto agreed = agreement_.is_null()
                          ? contents.record_count()
                          : agreement_.at("from_start").at("events").get<std::uint64_t>();
  const Json* last = nullptr;
  for (const auto& snapshot : expected_.at("snapshots"))
    if (snapshot.at("events").get<std::uint64_t>() <= agreed) last = &snapshot;
  ASSERT_NE(last, nullptr);
  history::Replay replay;
  reader_.replay(contents, replay, true, last->at("events").get<std::uint64_t>());
  EXPECT_EQ(history::hex(replay.state_digest()), text_at(*last, "state_digest"));
}

TEST_P(GoldenHistory, EventsAreWrittenAgainWithTheSameBytes) {
  std::size_t records = 0;
  for (const auto& segment : expected_.at("segments")) {
    const auto name = text_at(segment, "name");
    bool header = true;
    history::HeartbeatChangesReader heartbeat_reader;
    history::HeartbeatChangesWriter heartbeat_writer;
    const auto again =
        written_again(name, FileKind::events, [&](std::string_view payload) -> std::string {
          if (std::exchange(header, false))
            return history::packed(history::unpacked<history::SegmentHeader>(payload));
          ++records;
          auto record =
              heartbeat_reader.restore(history::unpacked<history::WrittenRecord>(payload));
          history::WrittenRecord written{record.token, record.at, {}};
          if (const auto* actions = std::get_if<history::ActionsRecorded>(&record.content)) {
            written.content = *actions;
            return history::packed(written);
          }
          const auto& event = std::get<core::Event>(record.content);
          written.content = event;
          if (const auto* heartbeat = history::heartbeat_of(event)) {
            const bool answers_commands = std::holds_alternative<core::CommandsAnswered>(event);
            if (const auto* changes = heartbeat_writer.changes(*heartbeat, answers_commands))
              written.content = *changes;
          }
          return history::packed(written);
        });
    EXPECT_EQ(again, bytes_of(name)) << name;
  }
  EXPECT_GT(records, 1000U);
}

TEST_P(GoldenHistory, SnapshotsAreWrittenAgainWithTheSameBytes) {
  for (const auto& snapshot : expected_.at("snapshots")) {
    const auto name = text_at(snapshot, "name");
    history::Parts parts;
    std::optional<history::SnapshotHeader> header;
    const auto again =
        written_again(name, FileKind::snapshot, [&](std::string_view payload) -> std::string {
          auto piece = history::unpacked<history::SnapshotPiece>(payload);
          if (const auto* head = std::get_if<history::SnapshotHeader>(&piece)) header = *head;
          if (const auto* slice = std::get_if<history::SnapshotSlice>(&piece)) {
            if (parts.empty() || parts.back().first != slice->part)
              parts.emplace_back(slice->part, "");
            parts.back().second += slice->bytes;
          }
          return history::packed(piece);
        });
    EXPECT_EQ(again, bytes_of(name)) << name;
    // The state itself, read into a controller and written again.
    ASSERT_TRUE(header);
    history::Replay replay;
    replay.restore(*header, parts);
    EXPECT_EQ(history::parts_of(*replay.controller()), parts) << name;
    EXPECT_EQ(history::hex(replay.state_digest()), text_at(snapshot, "state_digest")) << name;
  }
}

INSTANTIATE_TEST_SUITE_P(Golden, GoldenHistory,
                         ::testing::Values("history-unsigned", "history-signed",
                                           "history-ended-attempts-unsigned",
                                           "history-ended-attempts-signed"),
                         [](const auto& info) {
                           const std::string prefix =
                               info.param.find("ended") == std::string::npos ? "" : "EndedAttempts";
                           return prefix + (is_signed(info.param) ? "Signed" : "Unsigned");
                         });

}  // namespace
}  // namespace violetpulley::golden
