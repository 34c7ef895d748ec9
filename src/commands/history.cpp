#include "commands/history.hpp"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <memory>

#include "commands/exit_codes.hpp"
#include "config/history_settings.hpp"
#include "history/describe.hpp"

namespace violetpulley::commands {

namespace {

using Json = nlohmann::json;

struct Options {
  std::string directory;
  std::string key_file;
  std::string new_key_file;
  std::string job;
  std::string machine;
  double from_s = 0;
  double to_s = 1e18;
  std::uint64_t until = 0;
  bool until_given = false;
  bool from_start = false;
  bool json = false;
};

std::optional<history::Key> load_key_option(const std::string& file, const std::string& option) {
  if (file.empty()) return std::nullopt;
  return config::load_key(file, option);
}

// Prints the corruption as JSON or text.
int report_corruption(const Options& options, const history::CorruptionError& problem) {
  if (options.json)
    std::cout << Json{{"ok", false},
                      {"file", problem.file},
                      {"byte", problem.offset},
                      {"cause", problem.cause}}
                     .dump()
              << "\n";
  else
    std::cerr << "violetpulley: the history is corrupt: " << problem.what() << "\n";
  return kCheckFailed;
}

template <class Work>
int run_reporting_errors(const Options& options, const Work& work) {
  try {
    return work();
  } catch (const history::CorruptionError& problem) {
    return report_corruption(options, problem);
  } catch (const config::SettingsError& problem) {
    std::cerr << "violetpulley: " << problem.what() << "\n";
  } catch (const history::FileError& problem) {
    std::cerr << "violetpulley: " << problem.what() << "\n";
  }
  return kInvalidInput;
}

// Verifies all files; a torn tail is reported on standard error and is not an error.
history::Contents check_contents(history::Reader& reader) {
  auto contents = reader.check();
  if (const auto* last = contents.last(); last != nullptr && last->torn_bytes > 0)
    std::cerr << "violetpulley: the last " << last->torn_bytes << " bytes of " << last->name
              << " are a torn tail and are ignored: " << last->torn_cause << "\n";
  return contents;
}

Json json_of(const history::Contents& contents) {
  Json segments = Json::array();
  for (const auto& segment : contents.segments)
    segments.push_back({{"name", segment.name},
                        {"first", segment.header.first_record},
                        {"records", segment.records},
                        {"bytes", segment.bytes},
                        {"torn_bytes", segment.torn_bytes}});
  Json snapshots = Json::array();
  for (const auto& snapshot : contents.snapshots)
    snapshots.push_back({{"name", snapshot.name},
                         {"records", snapshot.header.record_count},
                         {"bytes", snapshot.bytes},
                         {"state", history::hex(snapshot.state_digest)}});
  return {{"ok", true},
          {"history", contents.history},
          {"records", contents.record_count()},
          {"segments", std::move(segments)},
          {"saves", std::move(snapshots)}};
}

void print_table(const history::Contents& contents) {
  for (const auto& segment : contents.segments)
    std::cout << segment.name << "  records " << segment.header.first_record << " to "
              << segment.header.first_record + segment.records << ", " << segment.bytes
              << " bytes\n";
  for (const auto& snapshot : contents.snapshots)
    std::cout << snapshot.name << "  covers records up to " << snapshot.header.record_count
              << ", state " << history::hex(snapshot.state_digest) << ", " << snapshot.bytes
              << " bytes\n";
  std::cout << "good: " << contents.record_count() << " records\n";
}

int verify(const Options& options) {
  history::Directory files(options.directory, false);
  history::Reader reader(files, load_key_option(options.key_file, "--key"));
  const auto contents = check_contents(reader);
  if (options.json)
    std::cout << json_of(contents).dump() << "\n";
  else
    print_table(contents);
  return kSuccess;
}

int show(const Options& options) {
  history::Directory files(options.directory, false);
  history::Reader reader(files, load_key_option(options.key_file, "--key"));
  const auto contents = check_contents(reader);
  std::optional<core::TimePoint> started_at;
  const auto matches = [](const auto& names, const std::string& name) {
    return name.empty() || std::find(names.begin(), names.end(), name) != names.end();
  };
  if (!options.json)
    std::cout << std::left << std::setw(10) << "record" << std::setw(12) << "time s"
              << std::setw(10) << "token" << std::setw(18) << "kind"
              << "what\n";
  for (const auto& segment : contents.segments)
    reader.read_segment(segment.name, [&](const history::Record& record, std::uint64_t number) {
      if (!started_at) started_at = record.at;
      const auto time = core::Seconds(record.at - *started_at).count();
      const auto mentioned = history::mentioned_entities_of(record);
      if (time < options.from_s || time > options.to_s || !matches(mentioned.jobs, options.job) ||
          !matches(mentioned.machines, options.machine))
        return true;
      if (options.json)
        std::cout << history::to_json(record, number).dump() << "\n";
      else
        std::cout << std::left << std::setw(10) << number << std::setw(12) << std::fixed
                  << std::setprecision(3) << time << std::setw(10) << record.token << std::setw(18)
                  << history::kind_of(record) << history::describe(record) << "\n";
      return true;
    });
  return kSuccess;
}

int replay(const Options& options) {
  history::Directory files(options.directory, false);
  history::Reader reader(files, load_key_option(options.key_file, "--key"));
  const auto contents = check_contents(reader);
  history::Replay replay;
  reader.replay(contents, replay, options.from_start,
                options.until_given ? std::optional(options.until) : std::nullopt);
  const auto& difference = replay.difference();
  const auto state = history::hex(replay.state_digest());
  const auto actions = history::hex(replay.actions_digest());
  if (options.json) {
    Json out{{"ok", !difference},
             {"records", replay.record_count()},
             {"state", state},
             {"actions", actions}};
    if (difference)
      out["difference"] = {{"record", difference->record},
                           {"recorded", history::hex(difference->recorded)},
                           {"replayed", history::hex(difference->replayed)}};
    std::cout << out.dump() << "\n";
  } else {
    std::cout << "records " << replay.record_count() << "\nstate   " << state << "\nactions "
              << actions << "\n";
    if (difference)
      std::cout << "differs first at record " << difference->record << ": recorded "
                << history::hex(difference->recorded) << ", replayed "
                << history::hex(difference->replayed) << "\n";
  }
  return difference ? kCheckFailed : kSuccess;
}

// Replaces the history by one snapshot, signed with the new key if one is given.
int compact(const Options& options) {
  history::Directory files(options.directory, true);
  const auto key = load_key_option(options.key_file, "--key");
  const auto new_key =
      options.new_key_file.empty() ? key : load_key_option(options.new_key_file, "--new-key");
  history::Reader reader(files, key);
  const auto contents = check_contents(reader);
  history::Replay replay;
  reader.replay(contents, replay);
  if (replay.controller() == nullptr) {
    std::cerr << "violetpulley: the history is empty, there is no state to compact\n";
    return kCheckFailed;
  }
  const auto events = contents.record_count();
  history::EventLog log(files, new_key, {}, contents, contents.history, replay.wall_now());
  log.begin_snapshot(*replay.controller(), replay.elected_event(), replay.elected_at(),
                     replay.now(), replay.wall_now());
  while (log.snapshotting()) log.continue_snapshot();
  log.prune(1);
  std::cout << "compacted: " << events << " records are in one snapshot, state "
            << history::hex(replay.state_digest()) << "\n";
  return kSuccess;
}

}  // namespace

void add_history(CLI::App& app, int& result) {
  auto* command = app.add_subcommand("history", "inspect a history recorded by a controller");
  command->require_subcommand(1);
  const auto options = std::make_shared<Options>();
  const auto add = [&](const std::string& name, const std::string& description,
                       int (*run)(const Options&)) {
    auto* sub = command->add_subcommand(name, description);
    sub->add_option("directory", options->directory, "the history's directory")->required();
    sub->add_option("--key", options->key_file, "key file to verify the MACs of the history with");
    sub->callback([options, &result, run] {
      result = run_reporting_errors(*options, [&] { return run(*options); });
    });
    return sub;
  };
  auto* show_command = add("show", "print the records as a table", &show);
  show_command->add_option("--job", options->job, "only records about this job");
  show_command->add_option("--machine", options->machine, "only records about this machine");
  show_command->add_option("--from-s", options->from_s,
                           "first time to print, in seconds after the first record");
  show_command->add_option("--to-s", options->to_s,
                           "last time to print, in seconds after the first record");
  auto* verify_command =
      add("verify", "check all files; exit code 1 at the first corruption", &verify);
  auto* replay_command =
      add("replay", "run the core over the events and compare its actions with the recorded ones",
          &replay);
  replay_command->add_option("--until", options->until, "stop before the record with this number")
      ->each([options](const std::string&) { options->until_given = true; });
  replay_command->add_flag(
      "--from-start", options->from_start,
      "start from the first event, or from the oldest save if the first events were removed");
  auto* compact_command = add("compact", "replace the history by a single save", &compact);
  compact_command->add_option("--new-key", options->new_key_file,
                              "key file to sign the new files with");
  for (auto* sub : {show_command, verify_command, replay_command})
    sub->add_flag("--json", options->json, "JSON instead of a table");
}

}  // namespace violetpulley::commands
