#include "core/machine_watch.hpp"

#include <algorithm>

namespace violetpulley::core {

namespace {
constexpr std::chrono::milliseconds kWatchEvery{500};
constexpr std::chrono::milliseconds kWatchInReckoning{200};
constexpr std::chrono::seconds kReleaseRetry{3};
constexpr std::size_t kMostReleased = 100;  // PROTOCOL, POST /rentals/release
constexpr int kImagesPerPass = 20;          // their records only spare fetches after a takeover
}  // namespace

bool MachineWatch::others_heard(TimePoint now) const {
  std::size_t up = 0;
  std::size_t heard = 0;
  for (const auto& [id, machine] : fleet_.all()) {
    if (!machine.up() || machine.releasing) continue;
    ++up;
    if (machine.heard && now - *machine.heard < to_duration(settings_.tuning.silent_after)) ++heard;
  }
  return heard * 2 >= up || up == 1;
}

void MachineWatch::want_release(Machine& machine, const std::string& cause, TimePoint now) {
  if (machine.releasing) return;
  fleet_.touch(machine);
  machine.releasing = true;
  machine.release_cause = cause;
  machine.release_retry = now;
  out_.want_placing();
}

void MachineWatch::give_up(Machine& machine, TimePoint now) {
  if (!machine.releasing && recovery_.waits_for(machine.id)) reckoning_.count(&Squared::returned);
  want_release(machine, "silent", now);
}

bool MachineWatch::watch(TimePoint now, TimePoint proved) {
  if (now - last_watch_ < (recovery_.recovering() ? kWatchInReckoning : kWatchEvery)) return false;
  last_watch_ = now;
  reckoning_.judge(now);
  const auto& tuning = settings_.tuning;
  const bool heard_from_most = others_heard(now);
  out_.looked_at(fleet_.all().size());
  // With nothing to tell, a healthy machine is quiet for as long as its reports may be apart.
  const auto deaf_after =
      std::max(tuning.silent_after, settings_.workers.report * 1.25 + kOrderTravels);
  std::size_t up = 0;
  std::size_t silent = 0;
  int images_saved = 0;
  for (auto& [id, machine] : fleet_.all()) {
    if (!machine.up()) {
      const auto type = catalog_.types().find(machine.type);
      const Seconds boot = type == catalog_.types().end() ? Seconds(60) : type->second.boot;
      const auto late = to_duration(boot * tuning.boot_late_factor + settings_.workers.report);
      if (now - machine.since > late) want_release(machine, "late to boot", now);
    } else {
      ++up;
      const auto last = machine.heard.value_or(std::max(machine.since, takeover_));
      const auto quiet = now - last;
      const auto silent_after = recovery_.waits_for(id)
                                    ? std::min(tuning.silent_after, tuning.lost_after_takeover)
                                    : tuning.silent_after;
      if (heard_from_most && reckoning_.gives_up(machine)) give_up(machine, now);
      if (quiet > to_duration(silent_after)) {
        if (quiet > to_duration(deaf_after)) ++silent;
        orders_.want(machine);
        // After a takeover no older task starts until every machine is accounted for, so one that
        // does not answer is returned sooner.
        const auto patience =
            recovery_.waits_for(id) ? tuning.lost_after_takeover : tuning.lost_after;
        // After a takeover most of 2,000 machines had not been asked yet when their time was over,
        // and a quarter of a healthy fleet was returned (docs/incidents/overload.md).
        const bool asked = !recovery_.waits_for(id) || reckoning_.silent(machine);
        if (heard_from_most && quiet > to_duration(asked ? patience : patience + tuning.lost_after))
          give_up(machine, now);
        // The lease of a machine that answers nothing has run out, and its tasks with it, unless a
        // newer leader renews it: one that is cut off and does not know yet that it was followed
        // would start them again (seed 1684 of the simulation). So nobody else may have led by the
        // time at which the lease ends.
        if (machine.confirmed && proved - last > to_duration(recovery_.whole_lease()) &&
            !machine.tasks.empty())
          assignments_.lose_all(machine, now);
      }
      if (machine.quarantined && machine.tasks.empty()) want_release(machine, "sick", now);
      if (machine.images_changed && machine.registered && !machine.registering &&
          images_saved < kImagesPerPass) {
        ++images_saved;
        registry_.save(machine);
      }
      // Starts and stops that are still open are repeated.
      for (const auto& [key, assignment] : machine.tasks)
        if (!assignment.seen || assignment.stop) orders_.want(machine);
    }
  }
  release_machines(now);
  if (settings_.resigns_when_deaf && up >= 2 && silent == up &&
      now - takeover_ > to_duration(tuning.silent_after * 1.5))
    out_.push_back(Resign{"no machine is heard from", true});
  registry_.forget_old(now);
  return true;
}

// Calls to the cloud are few a second: returns gather for as long as their share of them demands.
void MachineWatch::release_machines(TimePoint now) {
  const auto gap = Seconds(1 / (kReleasesShare * settings_.cloud_calls_per_s));
  if (now - last_release_ < to_duration(gap)) return;
  std::vector<MachineId> release;
  for (auto& [id, machine] : fleet_.all())
    if (machine.releasing && machine.release_retry && now >= *machine.release_retry) {
      fleet_.touch(machine);
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
    out_.push_back(std::move(action));
  }
}

void MachineWatch::return_failed(Machine& machine, TimePoint now) {
  fleet_.touch(machine);
  machine.release_retry = now + kReleaseRetry;
}

}  // namespace violetpulley::core
