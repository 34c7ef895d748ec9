#include "core/controller.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace violetpulley::core {

using std::chrono::milliseconds;

namespace {
constexpr milliseconds kPersistEvery{1000};
constexpr milliseconds kWatchEvery{500};
constexpr milliseconds kClearReplicasEvery{1000};
}  // namespace

Controller::Controller(ControllerSettings settings, Token token, TimePoint now,
                       TimePoint older_leases_end, Inheritance inheritance)
    : settings_(std::move(settings)),
      token_(token),
      // Attempts come from the token and a counter, so no two leaders ever choose the same one.
      next_attempt_((token << 24U) + 1),
      takeover_(now),
      older_leases_end_(older_leases_end),
      rental_rate_(settings_.cloud_calls_per_s * kRentalsShare,
                   std::max(1.0, settings_.cloud_calls_per_s * kRentalsShare)) {
  for (const auto& team : settings_.teams) teams_[team.name] = team;
  for (const auto& record : inheritance.jobs) {
    job_opened(record, now);
    jobs_.at(record.spec.id).carried_over = record.revision < token_;
  }
  for (const auto& progress : inheritance.progress) {
    const auto found = jobs_.find(progress.job);
    if (found == jobs_.end()) {
      actions_.push_back(DeleteProgress{progress.job, {progress.chunk}});
      continue;
    }
    auto& job = found->second;
    job.chunks_stored.insert(progress.chunk);
    const auto each = [&](const std::vector<IndexRange>& ranges, auto apply) {
      for (const auto& [first, last] : ranges)
        for (TaskIndex i = first; i <= last && i < job.tasks.size(); ++i) apply(i);
    };
    each(progress.done, [&](TaskIndex i) {
      task_done(job, i);
      job.tasks[i].persisted = true;
    });
    each(progress.restarted, [&](TaskIndex i) { job.tasks[i].restarted = true; });
  }
  for (const auto& record : inheritance.machines) {
    auto& machine = fleet_.add(record.id);
    machine.endpoint = record.endpoint;
    machine.type = record.type;
    machine.zone = record.zone;
    machine.spot = record.spot;
    machine.since = now;
    for (const auto& [name, gb] : record.images) machine.images.push_back({name, gb, true});
    if (machine.up()) {
      machine.registered = true;
      machine.up_since = now;
      want_orders(machine);
      unconfirmed_.insert(record.id);
      unconfirmed_kinds_.insert({record.type, record.zone, record.spot});
    }
  }
  check_recovered(now);
}

void Controller::set_catalog(std::vector<MachineType> types) {
  types_.clear();
  for (auto& type : types) types_[type.name] = std::move(type);
  for (auto& [id, machine] : fleet_.all()) apply_type(machine);
  placing_wanted_ = true;
}

void Controller::job_opened(const JobRecord& record, TimePoint now) {
  const auto [entry, added] = jobs_.try_emplace(record.spec.id, record);
  if (!added) return;
  entry->second.opened = now;
  placing_wanted_ = true;
}

void Controller::job_closed(const JobId& id, TimePoint now) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  auto& job = found->second;
  for (TaskIndex i = 0; i < job.tasks.size(); ++i) {
    const auto& task = job.tasks[i];
    if (task.phase != Phase::assigned) continue;
    auto* machine = fleet_.find(task.machine);
    if (machine == nullptr) continue;
    const auto assignment = machine->tasks.find({id, i});
    if (assignment == machine->tasks.end()) continue;
    assignment->second.abandoned = true;
    stop_task(*machine, assignment->second, now);
  }
  if (!job.chunks_stored.empty() || !job.chunks_in_flight.empty()) {
    auto chunks = job.chunks_stored;
    chunks.insert(job.chunks_in_flight.begin(), job.chunks_in_flight.end());
    if (!job.finishing) actions_.push_back(DeleteProgress{id, {chunks.begin(), chunks.end()}});
  }
  progress_dirty_.erase(id);
  complete_.erase(id);
  rooms_.close(fleet_, id);
  jobs_.erase(found);
  placing_wanted_ = true;
}

// The assignment ends: nothing of it is on the machine any more.
void Controller::drop(Machine& machine, const TaskKey& key, TimePoint now, bool stored) {
  const auto assignment = machine.tasks.find(key);
  if (assignment == machine.tasks.end()) return;
  const auto found = jobs_.find(key.job);
  if (assignment->second.running_since && !assignment->second.abandoned && found != jobs_.end()) {
    auto& job = found->second;
    if (job.running > 0) --job.running;
    // What a restart need not repeat. Tasks of a gang save together.
    auto& saved = job.tasks[job.gang() ? 0 : key.index].saved;
    const auto until = assignment->second.stop_since.value_or(now);
    const Seconds ran = assignment->second.saved + Seconds(until - *assignment->second.running_since);
    const auto mark = job.spec().checkpoint_every;
    if (stored)
      saved = std::max(saved, ran);
    else if (mark > Seconds(0))
      saved = std::max(saved, mark * std::floor(ran / mark));
  }
  fleet_.unassign(machine, key);
}

void Controller::progress_changed(Job& job, TaskIndex index) {
  job.chunks_dirty.insert(index / kProgressChunk);
  progress_dirty_.insert(job.spec().id);
}

void Controller::task_done(Job& job, TaskIndex index) {
  job.set_done(index);
  if (job.complete()) complete_.insert(job.spec().id);
}

void Controller::task_lost(const TaskKey& key) {
  const auto found = jobs_.find(key.job);
  if (found == jobs_.end() || key.index >= found->second.tasks.size()) return;
  found->second.set_waiting(key.index);
  if (found->second.gang()) broken_gangs_.insert(key.job);
  placing_wanted_ = true;
}

void Controller::lose_all(Machine& machine, TimePoint now) {
  while (!machine.tasks.empty()) {
    const auto key = machine.tasks.begin()->first;
    const bool abandoned = machine.tasks.begin()->second.abandoned;
    drop(machine, key, now);
    if (!abandoned) task_lost(key);
  }
  machine.reported.clear();
  note_foreign(machine);
}

// Until every machine registered at the takeover is accounted for, tasks of older jobs that were
// seen nowhere may be on any of the others (docs/safety.md, "One copy of a task", 3).
void Controller::check_recovered(TimePoint now) {
  if (!recovering_) return;
  if (now >= older_leases_end_) unconfirmed_.clear();
  if (!unconfirmed_.empty()) return;
  recovering_ = false;
  placing_wanted_ = true;
}

// A task of an older job that was seen nowhere may be on an unconfirmed machine, if its job may run
// there at all: no leader ever starts a task where its job does not allow it.
bool Controller::unaccounted(const Job& job) const {
  return recovering_ && job.carried_over &&
         std::any_of(unconfirmed_kinds_.begin(), unconfirmed_kinds_.end(),
                     [&](const OptionKey& kind) {
                       return allowed_on(job.spec(), kind.type, kind.zone, kind.spot);
                     });
}

void Controller::persist(TimePoint now) {
  if (now - last_persist_ < kPersistEvery) return;
  last_persist_ = now;
  for (auto entry = progress_dirty_.begin(); entry != progress_dirty_.end();) {
    const auto found = jobs_.find(*entry);
    if (found == jobs_.end() || found->second.complete()) {  // its end is written instead
      entry = progress_dirty_.erase(entry);
      continue;
    }
    auto& job = found->second;
    for (auto chunk = job.chunks_dirty.begin(); chunk != job.chunks_dirty.end();) {
      if (job.chunks_in_flight.contains(*chunk)) {
        ++chunk;
        continue;
      }
      job.chunks_in_flight.insert(*chunk);
      const auto first = std::size_t{*chunk} * kProgressChunk;
      actions_.push_back(SaveProgress{
          job.progress(*chunk), std::min<std::size_t>(kProgressChunk, job.tasks.size() - first)});
      chunk = job.chunks_dirty.erase(chunk);
    }
    entry = job.chunks_dirty.empty() ? progress_dirty_.erase(entry) : std::next(entry);
  }
}

void Controller::progress_saved(const SaveProgress& saved, bool ok) {
  const auto found = jobs_.find(saved.record.job);
  if (found == jobs_.end()) {
    if (ok) actions_.push_back(DeleteProgress{saved.record.job, {saved.record.chunk}});
    return;
  }
  auto& job = found->second;
  job.chunks_in_flight.erase(saved.record.chunk);
  job.chunks_stored.insert(saved.record.chunk);
  if (!ok) {
    progress_changed(job, saved.record.chunk * kProgressChunk);
    return;
  }
  for (const auto& [first, last] : saved.record.done)
    for (TaskIndex i = first; i <= last; ++i) job.tasks[i].persisted = true;
}

void Controller::finish_answered(const JobId& id, TimePoint retry) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  found->second.finishing = false;
  found->second.finish_retry = retry;
}

void Controller::finish_complete(TimePoint now) {
  for (const auto& id : complete_) {
    auto& job = jobs_.at(id);
    if (job.finishing || now < job.finish_retry) continue;
    job.finishing = true;
    auto chunks = job.chunks_stored;
    chunks.insert(job.chunks_in_flight.begin(), job.chunks_in_flight.end());
    actions_.push_back(FinishJob{id, job.record.revision, {chunks.begin(), chunks.end()}});
  }
}

void Controller::tick(TimePoint now, bool may_place) {
  check_recovered(now);
  if (now - last_watch_ >= kWatchEvery) {
    last_watch_ = now;
    watch_machines(now);
    clear_machines(now);
  }
  if (now - last_replicas_ >= kClearReplicasEvery) {
    last_replicas_ = now;
    clear_replicas(now);
  }
  mend_gangs(now);
  const bool round_due = now - last_place_ >= to_duration(settings_.tuning.round);
  const bool quick =
      placing_wanted_ && now - last_place_ >= to_duration(settings_.tuning.quick_round);
  if (may_place && (round_due || quick)) {
    last_place_ = now;
    placing_wanted_ = false;
    place(now);
  }
  finish_complete(now);
  persist(now);
  send_orders(now);
}

std::optional<JobCounts> Controller::counts(const JobId& id) const {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return std::nullopt;
  return JobCounts{found->second.done, found->second.running};
}

std::string Controller::summary() const {
  std::size_t waiting = 0;
  std::size_t bound = 0;
  for (const auto& [id, job] : jobs_) {
    waiting += job.waiting.size();
    for (const auto index : job.waiting) bound += job.tasks[index].bound.empty() ? 0 : 1;
  }
  struct TypeUse {
    std::size_t up = 0;
    std::size_t booting = 0;
    std::size_t empty = 0;
    std::size_t reserved = 0;  // for gangs that collect machines
    Resources used;
    Resources capacity;
  };
  std::map<std::string, TypeUse> types;
  std::size_t clearing = 0;
  std::size_t running = 0;
  std::size_t fetching = 0;
  for (const auto& [id, machine] : fleet_.all()) {
    auto& use = types[machine.type + (machine.spot ? " spot" : "")];
    ++(machine.up() ? use.up : use.booting);
    use.used += machine.used;
    if (machine.up()) use.capacity += machine.capacity;
    if (machine.up() && machine.tasks.empty()) ++use.empty;
    if (!machine.reserved_for.empty()) ++use.reserved;
    if (machine.clearing) ++clearing;
    for (const auto& [key, task] : machine.tasks) ++(task.running_since ? running : fetching);
  }
  std::ostringstream text;
  text << "jobs=" << jobs_.size() << " waiting=" << waiting << " bound=" << bound
       << " running=" << running << " fetching=" << fetching << " clearing=" << clearing;
  for (const auto& [name, use] : types) {
    text << " [" << name << " " << use.up << "+" << use.booting << " cpus " << use.used.cpus << "/"
         << use.capacity.cpus;
    if (use.capacity.gpus > 0) text << " gpus " << use.used.gpus << "/" << use.capacity.gpus;
    text << " empty " << use.empty;
    if (use.reserved > 0) text << " reserved " << use.reserved;
    text << "]";
  }
  if (recovering_) text << " recovering";
  return text.str();
}

}  // namespace violetpulley::core
