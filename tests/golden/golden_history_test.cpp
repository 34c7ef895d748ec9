/// @file
/// Tests that recorded histories pass the checks of the reader, replay to the same states and
/// actions, and are re-encoded to the same bytes. The histories from before December 2026 contain
/// decisions affected by a fault that has been fixed since. They must replay identically up to the
/// last record before the first such decision and differ at exactly the record named in their
/// agreement file.
#include "core/machines/unassigned_copies.hpp"
#include "golden/golden_files.hpp"
#include "history/heartbeat_changes.hpp"
#include "history/reader.hpp"

namespace violetpulley::golden {
namespace {

using history::FileKind;

/// Offset in bytes of a frame's field that holds how many bytes of the file had been synced. The
/// field follows the length and the checksum of the frame.
constexpr std::size_t kSyncedBytesOffset = 12;

bool is_signed(const std::string& name) { return name.find("unsigned") == std::string::npos; }

class GoldenHistory : public ::testing::TestWithParam<std::string> {
 protected:
  GoldenHistory()
      : expected_(read_json(GetParam() + ".json")),
        agreement_(read_agreement(GetParam())),
        directory_(path_of_existing_directory(), false),
        reader_(directory_, key()) {}

  static std::string path_of_existing_directory() {
    const auto path = path_of(GetParam());
    if (!std::filesystem::is_directory(path))
      throw std::runtime_error("golden history " + GetParam() + " is missing");
    return path.string();
  }
  /// The number of events up to which the current program makes the recorded decisions, and the
  /// digests at that event; null if it makes all recorded decisions to the end of the history.
  static Json read_agreement(const std::string& name) {
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

  /// Re-encodes a file: passes each payload through `reencode_payload` and marks syncs at the same
  /// positions as the original.
  template <class ReencodePayload>
  static std::string reencoded_file(const std::string& name, FileKind kind,
                                    ReencodePayload reencode_payload) {
    const auto bytes = bytes_of(name);
    history::FrameReader frames(name, bytes, kind, key());
    history::FrameWriter writer(kind, key());
    std::string out;
    std::uint64_t synced = 0;
    auto begin = frames.offset();
    while (const auto payload = frames.next()) {
      const auto synced_before = read_little_endian(bytes, begin + kSyncedBytesOffset);
      if (synced_before != synced) {
        out += writer.take();
        EXPECT_EQ(out.size(), synced_before);
        writer.mark_synced();
        synced = synced_before;
      }
      writer.add(reencode_payload(*payload));
      begin = frames.offset();
    }
    return out + writer.take();
  }
  static std::uint64_t read_little_endian(const std::string& bytes, std::size_t offset) {
    std::uint64_t value = 0;
    for (std::size_t index = 8; index-- > 0;)
      value = value << 8U | static_cast<unsigned char>(bytes.at(offset + index));
    return value;
  }

  /// Replays `contents` to the end, or up to the last record at which the current program agrees
  /// with the recorded decisions, and compares the digests.
  void expect_replay_matches(const history::Contents& contents, bool from_start) {
    const std::string mode = from_start ? "from_start" : "from_snapshot";
    const bool agrees_to_end = agreement_.is_null();
    const auto& expected = (agrees_to_end ? expected_ : agreement_).at(mode);
    const auto events = expected.at("events").get<std::uint64_t>();
    history::Replay replay;
    reader_.replay(contents, replay, from_start, events);
    expect_matches(replay, expected);
    if (!agrees_to_end) expect_first_difference(contents, from_start, expected);
  }
  /// Expects a full replay to differ first at the record named in the agreement file.
  void expect_first_difference(const history::Contents& contents, bool from_start,
                               const Json& expected) {
    history::Replay full_replay;
    reader_.replay(contents, full_replay, from_start);
    EXPECT_EQ(full_replay.record_count(), contents.record_count());
    ASSERT_TRUE(full_replay.difference());
    EXPECT_EQ(full_replay.difference()->record, expected.at("differs_at").get<std::uint64_t>());
  }
  static void expect_matches(const history::Replay& replay, const Json& expected) {
    EXPECT_FALSE(replay.difference());
    EXPECT_EQ(replay.record_count(), expected.at("events").get<std::uint64_t>());
    EXPECT_EQ(history::hex(replay.actions_digest()), text_field(expected, "actions_digest"));
    EXPECT_EQ(history::hex(replay.state_digest()), text_field(expected, "state_digest"));
  }

  Json expected_;
  Json agreement_;
  history::Directory directory_;
  history::Reader reader_;
};

TEST_P(GoldenHistory, HasTheRecordedSegmentsAndSnapshots) {
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

TEST_P(GoldenHistory, ReplaysReachTheRecordedStatesAndActions) {
  const auto contents = reader_.check();
  expect_replay_matches(contents, true);
  expect_replay_matches(contents, false);
}

// Uses the last snapshot up to which the current program makes the recorded decisions. A replay
// from the start must reach the state that the snapshot recorded.
TEST_P(GoldenHistory, AReplayReachesTheStateOfTheLastAgreedSnapshot) {
  const auto contents = reader_.check();
  const auto agreed_events = agreement_.is_null()
                                 ? contents.record_count()
                                 : agreement_.at("from_start").at("events").get<std::uint64_t>();
  const Json* last_agreed_snapshot = nullptr;
  for (const auto& snapshot : expected_.at("snapshots"))
    if (snapshot.at("events").get<std::uint64_t>() <= agreed_events)
      last_agreed_snapshot = &snapshot;
  ASSERT_NE(last_agreed_snapshot, nullptr);
  history::Replay replay;
  reader_.replay(contents, replay, true, last_agreed_snapshot->at("events").get<std::uint64_t>());
  EXPECT_EQ(history::hex(replay.state_digest()), text_field(*last_agreed_snapshot, "state_digest"));
}

TEST_P(GoldenHistory, ReencodedEventsHaveTheSameBytes) {
  std::size_t records = 0;
  for (const auto& segment : expected_.at("segments")) {
    const auto name = text_field(segment, "name");
    bool is_header = true;
    history::HeartbeatChangesReader heartbeat_reader;
    history::HeartbeatChangesWriter heartbeat_writer;
    const auto reencoded =
        reencoded_file(name, FileKind::events, [&](std::string_view payload) -> std::string {
          if (std::exchange(is_header, false))
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
    EXPECT_EQ(reencoded, bytes_of(name)) << name;
  }
  EXPECT_GT(records, 1000U);
}

TEST_P(GoldenHistory, ReencodedSnapshotsHaveTheSameBytes) {
  for (const auto& snapshot : expected_.at("snapshots")) {
    const auto name = text_field(snapshot, "name");
    history::Parts parts;
    std::optional<history::SnapshotHeader> header;
    const auto reencoded =
        reencoded_file(name, FileKind::snapshot, [&](std::string_view payload) -> std::string {
          auto piece = history::unpacked<history::SnapshotPiece>(payload);
          if (const auto* head = std::get_if<history::SnapshotHeader>(&piece)) header = *head;
          if (const auto* slice = std::get_if<history::SnapshotSlice>(&piece)) {
            if (parts.empty() || parts.back().first != slice->part)
              parts.emplace_back(slice->part, "");
            parts.back().second += slice->bytes;
          }
          return history::packed(piece);
        });
    EXPECT_EQ(reencoded, bytes_of(name)) << name;
    // Restores the state into a controller and encodes that state again.
    ASSERT_TRUE(header);
    history::Replay replay;
    replay.restore(*header, parts);
    EXPECT_EQ(history::parts_of(*replay.controller()), parts) << name;
    EXPECT_EQ(history::hex(replay.state_digest()), text_field(snapshot, "state_digest")) << name;
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

TEST(GoldenHistory, UnassignedCopiesDecodeAndEncodeAsInTheGoldenFile) {
  for (const auto& item : cases_of("unassigned_copies.json")) {
    std::map<core::MachineId, core::UnassignedCopies::OfMachine> by_machine;
    for (const auto& copy : item.at("copies"))
      by_machine[text_field(copy, "machine")].emplace(
          core::TaskKey{text_field(copy, "job"), copy.at("index").get<core::TaskIndex>()},
          copy.at("done").get<bool>() ? core::CopyState::done : core::CopyState::live);
    core::UnassignedCopies copies;
    for (const auto& [machine, of_machine] : by_machine) copies.replace(machine, of_machine);
    EXPECT_EQ(pack_to_hex(copies), text_field(item, "part"));
    const auto decoded = unpack_from_hex<core::UnassignedCopies>(item.at("part"));
    EXPECT_EQ(pack_to_hex(decoded), text_field(item, "part"));
    EXPECT_TRUE(decoded.contains({"req-2", 7}));
  }
}

TEST(GoldenHistory, MachineTokensDecodeAndEncodeAsInTheGoldenFile) {
  for (const auto& item : cases_of("machine_tokens.json")) {
    const auto bytes = from_hex(text_field(item, "part"));
    const auto handle = msgpack::unpack(bytes.data(), bytes.size());
    core::MachineTokens tokens(item.at("start").get<core::FencingToken>());
    history::read(handle.get(), tokens);
    EXPECT_EQ(pack_to_hex(tokens), text_field(item, "part"));
    const auto machine = text_field(item, "machine");
    EXPECT_EQ(tokens.of(machine), item.at("sent").get<core::FencingToken>());
    EXPECT_TRUE(tokens.may_run_again(machine, item.at("attempt").get<core::Attempt>()));
    ASSERT_NE(tokens.fence_request(machine), nullptr);
    EXPECT_EQ(tokens.fence_request(machine)->since.time_since_epoch().count(),
              item.at("requested_at_ns").get<std::int64_t>());
    const core::Event event = core::LeadershipProven{item.at("limit").get<core::Revision>()};
    EXPECT_EQ(pack_to_hex(event), text_field(item, "event"));
  }
}

}  // namespace
}  // namespace violetpulley::golden
