#include "simulation/job_registry.hpp"

namespace violetpulley::core::simulated {

void JobRegistry::open(const JobSpec& spec) {
  facts_.specs[spec.id] = spec;
  const JobRecord record{spec, environment_.wall_now(), ++store_.revision};
  store_.jobs[spec.id] = record;
  // The change reaches the leader after a delay. The change is dropped if the job has been closed
  // meanwhile or no leader exists; the next leader reads the job from the store.
  publish([this, record] {
    if (leaders_.current() != nullptr && is_open(record.spec.id))
      leaders_.feed(*leaders_.current(), JobOpened{record});
  });
}

void JobRegistry::cancel(const JobId& id) {
  if (store_.outage) return;
  facts_.cancelled_at[id] = environment_.now();
  close(id);
}

void JobRegistry::cancel_first() {
  if (!store_.jobs.empty() && !store_.outage) cancel(JobId(store_.jobs.begin()->first));
}

void JobRegistry::close(const JobId& id) {
  store_.jobs.erase(id);
  store_.placements.erase(id);
  ++store_.revision;
  publish([this, id] {
    if (leaders_.current() != nullptr) leaders_.feed(*leaders_.current(), JobClosed{id});
  });
}

void JobRegistry::publish(Store::Callback deliver) {
  store_.publish_change(std::move(deliver), [this] { return leaders_.current() != nullptr; });
}

}  // namespace violetpulley::core::simulated
