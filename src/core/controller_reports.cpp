#include <algorithm>

#include "core/controller.hpp"

namespace violetpulley::core {

using std::chrono::milliseconds;

namespace {
constexpr milliseconds kOrdersRetry{1000};
constexpr std::chrono::seconds kReleaseRetry{3};
constexpr std::chrono::seconds kRemembered{90};
constexpr std::size_t kMostReleased = 100;  // PROTOCOL, POST /rentals/release
constexpr Seconds kStopTravels{1};  // an order's way to the worker, with room to spare
constexpr int kImagesPerPass = 20;          // their records only spare fetches after a takeover
}  // namespace

void Controller::apply_type(Machine& machine) {
  const auto found = types_.find(machine.type);
  if (found == types_.end()) return;
  const auto& type = found->second;
  machine.capacity = type.capacity;
  machine.cache_gb = type.cache_gb;
  machine.fetch_gb_per_s = type.fetch_gb_per_s;
  machine.price = machine.spot ? type.spot_price : type.price;
}

void Controller::save_machine(Machine& machine) {
  MachineRecord record{machine.id, machine.endpoint, machine.type, machine.zone, machine.spot, {}};
  for (const auto& image : machine.images)
    if (image.present) record.images.emplace_back(image.name, image.gb);
  machine.images_changed = false;
  machine.registering = machine.up();
  actions_.push_back(SaveMachine{std::move(record), machine.registered});
}

void Controller::machine_saved(const MachineId& id, bool with_endpoint, bool ok) {
  auto* machine = fleet_.find(id);
  if (machine == nullptr) {
    if (ok) actions_.push_back(DeleteMachine{id});
    return;
  }
  if (with_endpoint) machine->registering = false;
  // A leader starts tasks only on machines whose record is committed with its endpoint: the
  // next leader must know every machine that it has to confirm.
  if (ok && with_endpoint) machine->registered = true;
  placing_wanted_ = true;
}

void Controller::report(const WorkerReport& report, TimePoint now) {
  if (report.token > token_) {
    actions_.push_back(Resign{"worker " + report.machine + " has seen a higher token"});
    return;
  }
  auto* known = fleet_.find(report.machine);
  if (known == nullptr) {
    // A machine that was released may still have a report on its way.
    if (released_.contains(report.machine)) return;
    known = &fleet_.add(report.machine);
    known->since = now;
  }
  auto& machine = *known;
  if (std::pair(report.session, report.sequence) <= std::pair(machine.session, machine.sequence))
    return;
  if (machine.session != 0 && report.session > machine.session) lose_all(machine, now);
  if (report.session > machine.session) machine.in_doubt.clear();
  const bool first = !machine.up();
  machine.session = report.session;
  machine.sequence = report.sequence;
  machine.heard = now;
  const bool moved =
      machine.type != report.type || machine.zone != report.zone || machine.spot != report.spot;
  machine.endpoint = report.endpoint;
  if (first || moved) {
    machine.type = report.type;
    machine.zone = report.zone;
    machine.spot = report.spot;
    apply_type(machine);
  }
  if (first) {
    machine.up_since = now;
    want_orders(machine);
  }
  if (!machine.registered && !machine.registering) save_machine(machine);
  if (report.token == token_ && !machine.confirmed) {
    machine.confirmed = true;
    unconfirmed_.erase(machine.id);
    placing_wanted_ = true;
  }
  if (report.notice && !machine.notice_ends) {
    machine.notice_ends = now + to_duration(*report.notice);
    for (auto& [key, assignment] : machine.tasks)
      if (now + to_duration(remaining_of(assignment, now)) > *machine.notice_ends)
        stop_saving(machine, key, assignment, *report.notice, now);
    placing_wanted_ = true;
  }

  machine.reported = report.tasks;
  std::vector<Attempt> listed;  // an attempt's number belongs to one task only
  for (const auto& entry : report.tasks) {
    listed.push_back(entry.attempt);
    absorb_task(machine, entry, now);
  }
  std::sort(listed.begin(), listed.end());
  // What was seen and is listed no more is gone. What was never seen may still be started by a
  // command on its way (docs/safety.md, "One copy of a task", 5).
  std::vector<TaskKey> gone;
  for (const auto& [key, assignment] : machine.tasks)
    if (assignment.seen && !std::binary_search(listed.begin(), listed.end(), assignment.attempt))
      gone.push_back(key);
  for (const auto& key : gone) {
    const bool abandoned = machine.tasks.at(key).abandoned;
    drop(machine, key, now);
    if (!abandoned) task_lost(key);
    placing_wanted_ = true;
  }
  note_foreign(machine);
}

// Live tasks of jobs that are unknown here take room and count for a team that is unknown.
void Controller::note_foreign(Machine& machine) {
  const bool foreign =
      std::any_of(machine.reported.begin(), machine.reported.end(), [&](const TaskReport& entry) {
        return entry.state != TaskState::exited && !machine.tasks.contains(entry.task);
      });
  if (foreign)
    foreign_.insert(machine.id);
  else
    foreign_.erase(machine.id);
}

void Controller::runs_now(Assignment& assignment, Job* job, TimePoint now) {
  assignment.running_since = now;
  if (job != nullptr && !assignment.abandoned) ++job->running;
}

void Controller::absorb_task(Machine& machine, const TaskReport& entry, TimePoint now) {
  const auto found = machine.tasks.find(entry.task);
  if (found == machine.tasks.end() || found->second.attempt != entry.attempt)
    return adopt(machine, entry, now);
  auto& assignment = found->second;
  assignment.seen = true;
  if (entry.state == TaskState::exited) return absorb_exit(machine, entry, now);
  assignment.state = entry.state;
  if (entry.state == TaskState::running && !assignment.running_since) {
    const auto found_job = jobs_.find(entry.task.job);
    auto* job = found_job == jobs_.end() ? nullptr : &found_job->second;
    runs_now(assignment, job, now);
    if (job != nullptr) fleet_.touch_image(machine, assignment.image, job->spec().image_gb, true);
  }
}

void Controller::adopt(Machine& machine, const TaskReport& entry, TimePoint now) {
  const auto found = jobs_.find(entry.task.job);
  if (found == jobs_.end() || entry.task.index >= found->second.tasks.size()) return;
  auto& job = found->second;
  auto& task = job.tasks[entry.task.index];
  if (entry.state == TaskState::exited) {
    if (entry.cause == ExitCause::done && task.phase == Phase::waiting && !job.service()) {
      if (job.gang()) return gang_done(job);
      task_done(job, entry.task.index);
      progress_changed(job, entry.task.index);
    }
    return;
  }
  if (task.phase != Phase::waiting) return;  // a second copy: commands_for stops it
  Assignment assignment;
  assignment.attempt = entry.attempt;
  assignment.resources = job.spec().per_task;
  assignment.team = job.spec().team;
  assignment.job_class = job.spec().job_class;
  assignment.image = job.spec().image;
  assignment.shape = job.spec().shape;
  assignment.estimate = estimate_left(job, entry.task.index);
  assignment.checkpoint_every = job.spec().checkpoint_every;
  assignment.save_time = job.spec().save_time;
  assignment.placed = now;
  assignment.state = entry.state;
  assignment.seen = true;
  if (entry.state == TaskState::running) {
    runs_now(assignment, &job, now);
    fleet_.touch_image(machine, assignment.image, job.spec().image_gb, true);
  }
  fleet_.assign(machine, entry.task, std::move(assignment));
  job.set_assigned(entry.task.index, machine.id);
  // Two attempts of one gang: both end, then it starts anew.
  if (job.gang() && job.attempt != 0 && job.attempt != entry.attempt) {
    broken_gangs_.insert(entry.task.job);
    job.attempt = std::max(job.attempt, entry.attempt);
  } else if (job.gang()) {
    job.attempt = entry.attempt;
    if (!recovering_) broken_gangs_.insert(entry.task.job);  // it was held to be gone
  }
}

void Controller::absorb_exit(Machine& machine, const TaskReport& entry, TimePoint now) {
  const auto assignment = machine.tasks.at(entry.task);
  drop(machine, entry.task, now, entry.stored);
  placing_wanted_ = true;
  const auto found = jobs_.find(entry.task.job);
  if (found == jobs_.end()) return;
  auto& job = found->second;
  const auto index = entry.task.index;
  if (entry.cause == ExitCause::done && job.service()) {
    // A replica runs until its job is cancelled; one that ends by itself is replaced, with a pause.
    job.set_waiting(index);
    job.backoff_until = std::max(job.backoff_until, now + std::chrono::seconds(1));
    return;
  }
  if (entry.cause == ExitCause::done) {
    if (assignment.running_since && !assignment.stop)
      estimator_.finished(job.spec(), assignment.saved + Seconds(now - *assignment.running_since));
    fleet_.touch_image(machine, assignment.image, job.spec().image_gb, true);
    machine.errors = 0;
    machine.error_jobs.clear();
    if (job.gang()) return gang_done(job);
    task_done(job, index);
    progress_changed(job, index);
    return;
  }
  job.set_waiting(index);
  if (job.gang()) broken_gangs_.insert(entry.task.job);
  if (entry.cause == ExitCause::error) task_failed(machine, job, now);
  if (entry.cause == ExitCause::unknown || entry.cause == ExitCause::no_room ||
      entry.cause == ExitCause::busy)
    job.backoff_until = std::max(job.backoff_until, now + std::chrono::seconds(1));
}

void Controller::task_failed(Machine& machine, Job& job, TimePoint now) {
  ++job.failures;
  job.failed_on.insert(machine.id);
  // A job that fails on machine after machine was submitted with a mistake: it must neither be
  // tried without pause nor bring healthy machines into quarantine.
  if (job.done == 0 && job.failed_on.size() >= 3) {
    const int doublings = std::min(static_cast<int>(job.failed_on.size()) - 2, 6);
    job.backoff_until = now + std::chrono::seconds(1L << doublings);
    return;
  }
  ++machine.errors;
  machine.error_jobs.insert(job.spec().id);
  const bool several = machine.errors >= settings_.tuning.quarantine_errors;
  if (several && (machine.error_jobs.size() >= 2 || job.done > 0)) machine.quarantined = true;
}

bool Controller::forgettable(const Machine& machine, const TaskReport& entry) const {
  // Held packets may bring a start once more, and a worker that has forgotten the attempt would
  // run it anew. So an attempt whose start was ever left unanswered stays in the worker's memory
  // until the session, the token or the machine ends.
  if (machine.in_doubt.contains(entry.attempt)) return false;
  if (entry.cause != ExitCause::done) return true;
  const auto found = jobs_.find(entry.task.job);
  if (found != jobs_.end() && found->second.service()) return true;
  if (found == jobs_.end() || entry.task.index >= found->second.tasks.size()) return true;
  return found->second.tasks[entry.task.index].persisted;
}

std::vector<Command> Controller::commands_for(const Machine& machine, bool with_starts) const {
  std::vector<Command> commands;
  if (!machine.confirmed) return commands;
  for (const auto& entry : machine.reported)
    if (entry.state == TaskState::exited && forgettable(machine, entry))
      commands.push_back({Verb::forget, entry.task, entry.attempt, Seconds(0)});
  for (const auto& entry : machine.reported) {
    if (entry.state == TaskState::exited) continue;
    const auto ours = machine.tasks.find(entry.task);
    if (ours == machine.tasks.end() || ours->second.attempt != entry.attempt)
      commands.push_back({Verb::stop, entry.task, entry.attempt, Seconds(0)});
  }
  for (const auto& [key, assignment] : machine.tasks) {
    // A start that was not answered may be executed late. Where the job still runs, sending it
    // once more before the stop makes the attempt known, so that its exit is reported.
    if (with_starts && !assignment.seen && !assignment.abandoned)
      commands.push_back({Verb::start, key, assignment.attempt, Seconds(0)});
    // What saves is left to it: a second stop would end it.
    const bool saves = assignment.state == TaskState::saving && assignment.grace > Seconds(0);
    if (assignment.stop && !saves)
      commands.push_back({Verb::stop, key, assignment.attempt, assignment.grace});
  }
  return commands;
}

std::vector<Command> Controller::response_commands(const MachineId& id) const {
  const auto* machine = fleet_.find(id);
  return machine == nullptr ? std::vector<Command>{} : commands_for(*machine, false);
}

void Controller::stop_task(Machine& machine, Assignment& assignment, TimePoint now,
                           Seconds grace) {
  if (assignment.stop && assignment.grace <= grace) return;
  assignment.grace = grace;
  if (assignment.stop) return want_orders(machine);
  assignment.stop = true;
  assignment.stop_since = now;
  want_orders(machine);
}

// Stops a task that has to leave its machine. It may save if that fits into the time there is and
// gains more than it takes; of a gang all tasks must be told together, or the save fails.
void Controller::stop_saving(Machine& machine, const TaskKey& key, Assignment& assignment,
                             Seconds available, TimePoint now) {
  const auto job = jobs_.find(key.job);
  const bool saves = job != jobs_.end() && worth_saving(assignment, now) &&
                     available > assignment.save_time + kStopTravels;
  if (!saves) return stop_task(machine, assignment, now);
  // With more grace than the save takes, a worker that counts a little faster still lets it end.
  const auto grace = assignment.save_time + kStopTravels;
  if (!job->second.gang()) return stop_task(machine, assignment, now, grace);
  for (TaskIndex i = 0; i < job->second.tasks.size(); ++i) {
    if (job->second.tasks[i].phase != Phase::assigned) continue;
    auto* place = fleet_.find(job->second.tasks[i].machine);
    if (place == nullptr) continue;
    const auto mate = place->tasks.find({key.job, i});
    if (mate != place->tasks.end()) stop_task(*place, mate->second, now, grace);
  }
}

void Controller::want_orders(Machine& machine) { orders_due_.insert(machine.id); }

void Controller::send_orders(TimePoint now) {
  looks_ += orders_due_.size();
  for (auto due = orders_due_.begin(); due != orders_due_.end();) {
    const auto& id = *due;
    auto* known = fleet_.find(id);
    if (known == nullptr || !known->up() || known->releasing) {
      due = orders_due_.erase(due);
      continue;
    }
    auto& machine = *known;
    if (machine.orders_in_flight || now < machine.next_orders) {
      ++due;
      continue;
    }
    machine.orders_in_flight = true;
    auto commands = commands_for(machine, true);
    machine.starts_in_flight.clear();
    for (const auto& command : commands)
      if (command.verb == Verb::start) machine.starts_in_flight.push_back(command.attempt);
    // An empty list under our token confirms a machine; a wrong session is answered with a report
    // that tells the right one.
    actions_.push_back(SendOrders{id, machine.endpoint, std::max<std::uint64_t>(1, machine.session),
                                  std::move(commands)});
    due = orders_due_.erase(due);
  }
}

void Controller::orders_answered(const MachineId& id, const WorkerReport* answer, TimePoint now) {
  auto* machine = fleet_.find(id);
  if (machine == nullptr) return;
  machine->orders_in_flight = false;
  if (answer == nullptr) {
    machine->in_doubt.insert(machine->starts_in_flight.begin(), machine->starts_in_flight.end());
    machine->next_orders = now + kOrdersRetry;
    want_orders(*machine);
    return;
  }
  const bool was_confirmed = machine->confirmed;
  report(*answer, now);
  machine = fleet_.find(id);
  if (machine == nullptr) return;
  if (!machine->confirmed) {
    machine->next_orders = now + milliseconds(50);
    want_orders(*machine);
    return;
  }
  const auto left = commands_for(*machine, true);
  const bool urgent = std::any_of(left.begin(), left.end(),
                                  [](const Command& c) { return c.verb != Verb::forget; });
  if (urgent) {
    want_orders(*machine);
    machine->next_orders = was_confirmed ? now + milliseconds(500) : now;
  }
}

bool Controller::others_heard(TimePoint now) const {
  std::size_t up = 0;
  std::size_t heard = 0;
  for (const auto& [id, machine] : fleet_.all()) {
    if (!machine.up() || machine.releasing) continue;
    ++up;
    if (machine.heard && now - *machine.heard < to_duration(settings_.tuning.silent_after)) ++heard;
  }
  return heard * 2 >= up || up == 1;
}

void Controller::want_release(Machine& machine, const char* cause, TimePoint now) {
  if (machine.releasing) return;
  machine.releasing = true;
  machine.release_cause = cause;
  machine.release_retry = now;
  placing_wanted_ = true;
}

void Controller::watch_machines(TimePoint now) {
  const auto& tuning = settings_.tuning;
  const bool heard_from_most = others_heard(now);
  looks_ += fleet_.all().size();
  // With nothing to tell, a healthy machine is quiet for as long as its reports may be apart.
  const auto deaf_after =
      std::max(tuning.silent_after, settings_.workers.report * 1.25 + kStopTravels);
  std::size_t up = 0;
  std::size_t silent = 0;
  int images_saved = 0;
  for (auto& [id, machine] : fleet_.all()) {
    if (!machine.up()) {
      const auto type = types_.find(machine.type);
      const Seconds boot = type == types_.end() ? Seconds(60) : type->second.boot;
      const auto late = to_duration(boot * tuning.boot_late_factor + settings_.workers.report);
      if (now - machine.since > late) want_release(machine, "late to boot", now);
    } else {
      ++up;
      const auto last = machine.heard.value_or(std::max(machine.since, takeover_));
      const auto quiet = now - last;
      const auto silent_after = unconfirmed_.contains(id)
                                    ? std::min(tuning.silent_after, tuning.lost_after_takeover)
                                    : tuning.silent_after;
      if (quiet > to_duration(silent_after)) {
        if (quiet > to_duration(deaf_after)) ++silent;
        want_orders(machine);
        // After a takeover no older task starts until every machine is accounted for, so one that
        // does not answer is returned sooner.
        const auto patience =
            unconfirmed_.contains(id) ? tuning.lost_after_takeover : tuning.lost_after;
        if (quiet > to_duration(patience) && heard_from_most) want_release(machine, "silent", now);
        // The lease of a machine that answers nothing has run out, and its tasks with it.
        const auto lease_end = settings_.workers.lease * 1.001 + Seconds(1);
        if (machine.confirmed && quiet > to_duration(lease_end) && !machine.tasks.empty())
          lose_all(machine, now);
      }
      if (machine.quarantined && machine.tasks.empty()) want_release(machine, "sick", now);
      if (machine.images_changed && machine.registered && !machine.registering &&
          images_saved < kImagesPerPass) {
        ++images_saved;
        save_machine(machine);
      }
      // Starts and stops that are still open are repeated.
      for (const auto& [key, assignment] : machine.tasks)
        if (!assignment.seen || assignment.stop) want_orders(machine);
    }
  }
  release_machines(now);
  if (up >= 2 && silent == up && now - takeover_ > to_duration(tuning.silent_after * 1.5))
    actions_.push_back(Resign{"no machine is heard from"});
  std::erase_if(released_, [&](const auto& entry) { return now - entry.second > kRemembered; });
}

// Calls to the cloud are few a second: returns gather for as long as their share of them demands.
void Controller::release_machines(TimePoint now) {
  const auto gap = Seconds(1 / (kReleasesShare * settings_.cloud_calls_per_s));
  if (now - last_release_ < to_duration(gap)) return;
  std::vector<MachineId> release;
  for (auto& [id, machine] : fleet_.all())
    if (machine.releasing && machine.release_retry && now >= *machine.release_retry) {
      machine.release_retry = now + kReleaseRetry;
      release.push_back(id);
    }
  if (!release.empty()) last_release_ = now;
  for (std::size_t at = 0; at < release.size(); at += kMostReleased) {
    Release action;
    std::map<std::string, int> causes;
    for (auto i = at; i < std::min(release.size(), at + kMostReleased); ++i) {
      action.machines.push_back(release[i]);
      ++causes[fleet_.find(release[i])->release_cause];
    }
    for (const auto& [cause, count] : causes)
      action.cause += (action.cause.empty() ? "" : ", ") + std::to_string(count) + " " + cause;
    actions_.push_back(std::move(action));
  }
}

void Controller::release_answered(const std::vector<MachineId>& machines, bool ok, TimePoint now) {
  for (const auto& id : machines) {
    auto* machine = fleet_.find(id);
    if (machine == nullptr) continue;
    if (!ok) {
      machine->release_retry = now + kReleaseRetry;
      continue;
    }
    // The answer proves that the machine and all that was on it are gone.
    lose_all(*machine, now);
    rooms_.release(*machine);
    const auto bound = bound_groups_.find(id);
    if (bound != bound_groups_.end()) {
      unbind(bound->second, id);
      bound_groups_.erase(bound);
    }
    unconfirmed_.erase(id);
    released_[id] = now;
    actions_.push_back(DeleteMachine{id});
    fleet_.erase(id);
  }
  placing_wanted_ = true;
}

void Controller::cloud_listed(const std::vector<ListedMachine>& machines, TimePoint now) {
  for (const auto& listed : machines) {
    if (released_.contains(listed.id)) continue;
    auto* known = fleet_.find(listed.id);
    if (known == nullptr) {
      // Nobody here asked for it: a late request or an earlier leader's. It is used or returned.
      auto& machine = fleet_.add(listed.id);
      machine.type = listed.type;
      machine.zone = listed.zone;
      machine.spot = listed.spot;
      machine.since = now - to_duration(listed.failed ? Seconds(0) : listed.age);
      apply_type(machine);
      known = &machine;
    }
    if (listed.failed) want_release(*known, "stopped", now);
  }
}

}  // namespace violetpulley::core
