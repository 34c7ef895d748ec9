#include "core/contact.hpp"

#include <algorithm>

#include "core/orders.hpp"

namespace violetpulley::core {

namespace {
// A process that looks every half second and did not for this long stood still.
constexpr std::chrono::milliseconds kStoodStill{1500};
// Reports come independently of each other: with so many expected and none heard, chance is out of
// the question for the one (about 1 in 3,000), and for the other even over a whole year.
constexpr double kNobodyNow = 8;
constexpr double kNobodyAtAll = 20;
constexpr Seconds kLeastGap{1};
constexpr Seconds kLeastDeaf{2.5};
constexpr Seconds kAskedAgain{3};  // an unanswered ask, the pause after it, and another one
// PROTOCOL, "Workers": a report is given up after 4 s, the next controller is tried 1 s later, and
// it may name another one, which takes up to half a second.
constexpr Seconds kNextController{5.5};
constexpr std::size_t kProbes = 4;
constexpr std::chrono::seconds kOthersRemembered{4};
}  // namespace

// After a cut of this leader its machines are heard again one by one, and each has been out of
// reach for as long as the cut: neither is their fault (docs/incidents/hunt-fa96.md, where 137
// healthy machines were returned at the end of one).
void Contact::heard(Machine& machine, Said said, TimePoint now) {
  fleet_.touch(machine);
  if (said == Said::report) {
    machine.renewed = last_renewed_ = now;
    machine.mute_since.reset();
  }
  if (last_heard_ && hears_nobody(now)) listening_since_ = now;
  if (last_heard_ && now - *last_heard_ > deaf_after() + to_duration(kAskedAgain))
    renewing_since_ = now;
  if (machine.unreached_since && machine.heard &&
      now - *machine.heard > to_duration(settings_.tuning.silent_after))
    machine.unreached_since = now;
  machine.heard = now;
  last_heard_ = now;
}

void Contact::arrived(Machine& machine, TimePoint now) {
  fleet_.touch(machine);
  machine.reached = now;
  machine.unreached_since.reset();
  last_reached_ = now;
}

void Contact::missed(Machine& machine, TimePoint sent) {
  if (machine.unreached_since) return;
  fleet_.touch(machine);
  machine.unreached_since = sent;
}

void Contact::new_session(Machine& machine) {
  fleet_.touch(machine);
  machine.reached.reset();
}

void Contact::look(TimePoint now, bool serving) {
  if (!serving || (last_look_ != TimePoint{} && now - last_look_ > kStoodStill))
    listening_since_ = renewing_since_ = now;
  last_look_ = now;
  up_ = heard_lately_ = out_of_reach_ = mute_ = 0;
  const auto silent_after = settings_.tuning.silent_after;
  for (auto& [id, machine] : fleet_.all()) {
    if (!machine.up() || machine.releasing) continue;
    ++up_;
    if (!machine.heard || quiet(machine, now) >= silent_after) continue;
    ++heard_lately_;
    if (machine.unreached_since) ++out_of_reach_;
    if (const auto mute = since_renewed(machine.renewed, now);
        !machine.mute_since && mute > to_duration(mute_after()))
      fleet_.set(machine, &Machine::mute_since, {now - mute});
    if (machine.mute_since) ++mute_;
  }
  if (many(mute_)) many_mute_ = now;
}

Duration Contact::since(const std::optional<TimePoint>& last, TimePoint now) const {
  return now - std::max(last.value_or(listening_since_), listening_since_);
}

Duration Contact::since_renewed(const std::optional<TimePoint>& last, TimePoint now) const {
  return now - std::max(last.value_or(renewing_since_), renewing_since_);
}

Seconds Contact::quiet(const Machine& machine, TimePoint now) const {
  return since(machine.heard.value_or(machine.since), now);
}

// The time in which so many reports should have come.
Duration Contact::gap(double reports, Seconds least, Seconds most) const {
  const auto each = settings_.workers.report / static_cast<double>(std::max<std::size_t>(1, up_));
  return to_duration(std::clamp(each * reports, least, std::max(least, most)));
}

// With nothing to tell, a healthy machine is quiet for as long as its reports may be apart.
Duration Contact::deaf_after() const {
  return to_duration(
      std::max(settings_.tuning.silent_after, settings_.workers.report * 1.25 + kOrderTravels));
}

// One report of a healthy machine may stay unanswered.
Seconds Contact::mute_after() const {
  return std::max(settings_.tuning.silent_after, settings_.workers.report * 1.25 + kNextController);
}

// So many at once: it is rather this leader, or a cut.
bool Contact::many(std::size_t machines) const {
  return static_cast<double>(machines) >
         std::max(1.0, static_cast<double>(up_) * settings_.tuning.most_given_up);
}

bool Contact::renews_nobody(TimePoint now) const {
  return since_renewed(last_renewed_, now) > to_duration(mute_after());
}

bool Contact::hears_nobody(TimePoint now) const {
  return since(last_heard_, now) >= gap(kNobodyNow, kLeastGap, Seconds(deaf_after()));
}

bool Contact::others_heard(TimePoint now) const {
  return (heard_lately_ * 2 >= up_ || up_ == 1) && !hears_nobody(now);
}

bool Contact::gives_up(const Machine& machine, Seconds boot, TimePoint now) const {
  if (!machine.unreached_since || !machine.confirmed) return false;
  // One that says nothing either is silent, and judged as that.
  if (!machine.heard || now - *machine.heard > to_duration(settings_.tuning.silent_after))
    return false;
  const Seconds out = now - *machine.unreached_since;
  if (out < settings_.tuning.lost_after) return false;
  // Where many are out of reach at once, it is rather this leader, or a cut that ends: their leases
  // run out by themselves, and nobody is in a hurry.
  if (many(out_of_reach_) && out < settings_.workers.lease + boot) return false;
  const auto lease_left =
      machine.reached ? settings_.workers.lease - Seconds(now - *machine.reached) : Seconds(0);
  bool stuck = false;
  for (const auto& [key, assignment] : machine.tasks) {
    if (!assignment.seen || assignment.stop)
      stuck = true;
    else if (remaining_of(assignment, now) < lease_left)
      return false;
  }
  return stuck || out > boot;
}

bool Contact::gives_up_mute(const Machine& machine, Seconds boot, TimePoint now) const {
  if (!machine.mute_since || !machine.confirmed) return false;
  const Seconds out = now - *machine.mute_since;
  // At the end of a cut their reports come one by one: the last of them are no few that are mute.
  const bool cut = many_mute_ && now - *many_mute_ < to_duration(mute_after());
  if (out < boot || (cut && out < settings_.workers.lease + boot)) return false;
  const auto lease_left = settings_.workers.lease - out;
  return std::none_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& entry) {
    return !entry.second.stop && remaining_of(entry.second, now) < lease_left;
  });
}

const char* Contact::cut_off(TimePoint now) const {
  if (up_ < 2 || now - listening_since_ < kLeastDeaf) return nullptr;
  // One that gave up lately does so again only if others do hear.
  const bool others = others_hear_ && now - *others_hear_ < kOthersRemembered;
  if (!settings_.resigns_when_deaf && !others) return nullptr;
  // One that has heard nobody yet has to wait until its followers' workers come to it.
  const auto patience = last_heard_ ? gap(kNobodyAtAll, kLeastDeaf, Seconds(deaf_after()))
                                    : to_duration(settings_.tuning.silent_after * 1.5);
  if (since(last_heard_, now) > patience) return "no machine is heard from";
  if (last_heard_ && out_of_reach_ >= std::min(kProbes, up_) &&
      since(last_reached_, now) > to_duration(settings_.workers.report + kAskedAgain))
    return "its machines are heard, and none of them is reached";
  if (others && renews_nobody(now)) return "its machines answer, and report to other controllers";
  return nullptr;
}

std::vector<MachineId> Contact::to_probe(TimePoint now) const {
  std::vector<MachineId> probes;
  // A leader that hears no reports asks before it takes itself for deaf.
  const bool due =
      hears_nobody(now) || since(last_reached_, now) >= to_duration(settings_.workers.report);
  if (up_ < 2 || !due) return probes;
  for (const auto& [id, machine] : fleet_.all()) {
    if (!machine.up() || machine.releasing || !machine.confirmed || !machine.heard) continue;
    if (machine.unreached_since || quiet(machine, now) >= settings_.tuning.silent_after) continue;
    probes.push_back(id);
    if (probes.size() == kProbes) break;
  }
  return probes;
}

}  // namespace violetpulley::core
