// The leader's brain: events and the time in, actions out. It does no input or output, holds no
// clock, and is made anew at every takeover. This front only hands events to the parts, each of
// which owns its state and says in its header what it decides.
#pragma once

#include "core/machine_clearing.hpp"
#include "core/placing.hpp"
#include "core/reckoning.hpp"
#include "core/replicas.hpp"
#include "core/reports.hpp"

namespace violetpulley::core {

struct JobCounts {
  TaskIndex done = 0;
  TaskIndex running = 0;
};

struct ListedMachine {
  MachineId id;
  std::string endpoint;
  std::string type;
  std::string zone;
  bool spot = false;
  bool failed = false;
  Seconds age{0};

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.id, s.endpoint, s.type, s.zone, s.spot, s.failed, s.age);
  }
};

class Controller {
 public:
  Controller(ControllerSettings settings, Token token, TimePoint now, TimePoint older_leases_end,
             const Inheritance& inheritance);
  // The parts refer to each other.
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  void set_catalog(std::vector<MachineType> types);

  // Only jobs that were read while leadership was proved.
  void job_opened(const JobRecord& record, TimePoint now) { jobs_.open(record, now); }
  void job_closed(const JobId& id, TimePoint now);

  void report(const WorkerReport& report, TimePoint now) { reports_.report(report, now); }
  // Every other controller has said, after it saw our key, that it does not lead.
  void no_older_leader(TimePoint now) { recovery_.no_older_leader(now); }
  // Workers come to another controller.
  void others_hear(TimePoint now) { contact_.others_hear(now); }
  // What others hear matters then.
  bool cut_off_perhaps(TimePoint now) const {
    return contact_.hears_nobody(now) || contact_.renews_nobody(now);
  }
  // Stops and forgets that travel in the answer to a report.
  std::vector<Command> response_commands(const WorkerReport& report) const {
    return orders_.response_commands(report.machine, {report.session, report.sequence});
  }
  void orders_answered(const MachineId& machine, const WorkerReport* report, TimePoint now) {
    reports_.orders_answered(machine, report, now);
  }

  void machine_saved(const MachineId& id, bool with_endpoint, bool ok) {
    registry_.saved(id, with_endpoint, ok);
  }
  void progress_saved(const SaveProgress& saved, bool ok) { jobs_.progress_saved(saved, ok); }
  void placements_saved(const JobId& job, std::uint64_t version);
  void finish_answered(const JobId& job, TimePoint retry) { jobs_.finish_answered(job, retry); }
  void rental_answered(const std::string& name, const RentalAnswer& answer, TimePoint now) {
    rentals_.answered(name, answer, now);
  }
  void release_answered(const std::vector<MachineId>& machines, bool ok, TimePoint now);
  void cloud_listed(const std::vector<ListedMachine>& machines, TimePoint now);

  // Deadlines, placing and scaling. `may_place`: leadership may still be served. `proved`: the
  // latest time of which it is known that nobody else led then (Leadership::contact).
  void tick(TimePoint now, bool may_place, TimePoint proved);
  std::vector<Action> take_actions() { return out_.take(); }
  bool placing_wanted() const { return out_.placing_wanted(); }

  std::optional<JobCounts> counts(const JobId& id) const;
  const Jobs::Table& jobs() const { return jobs_.table(); }
  const Fleet& fleet() const { return fleet_; }
  const Estimator& estimator() const { return estimator_; }
  const Market& market() const { return market_; }
  bool recovering() const { return recovery_.recovering(); }
  const Reckoning& reckoning() const { return reckoning_; }
  const Orders& orders() const { return orders_; }
  // Machines looked at so far, each time counted; tests hold it against the events.
  std::uint64_t looks() const { return out_.looks(); }
  std::string summary() const;
  // What the next leader may go by. `wall`: the time of day now.
  Beliefs beliefs(TimePoint now, WallTime wall) const;

  // Who takes a save is told of machines and jobs before they change or go.
  void before_changes(Fleet::BeforeChange machine, Jobs::BeforeChange job);

  // Calls `visit(name, part)` for every part that owns state, in the order in which saves hold
  // them.
  template <class Self, class Visit>
  static void each_part(Self& self, const Visit& visit) {
    visit("outbox", self.out_);
    visit("catalog", self.catalog_);
    visit("fleet", self.fleet_);
    visit("jobs", self.jobs_);
    visit("estimates", self.estimator_);
    visit("contact", self.contact_);
    visit("recovery", self.recovery_);
    visit("reckoning", self.reckoning_);
    visit("registry", self.registry_);
    visit("orders", self.orders_);
    visit("starts", self.starts_);
    visit("market", self.market_);
    visit("bindings", self.bindings_);
    visit("scarcity", self.scarcity_);
    visit("gangs", self.gangs_);
    visit("rentals", self.rentals_);
    visit("watch", self.watch_);
    visit("replicas", self.replicas_);
    visit("standing", self.standing_);
    visit("placing", self.placing_);
  }

 private:
  void believe(const Beliefs& beliefs, TimePoint now);

  const ControllerSettings settings_;
  Outbox out_;
  Catalog catalog_;
  Fleet fleet_;
  Jobs jobs_;
  Estimator estimator_;
  Outlooks outlooks_;
  Contact contact_;
  Recovery recovery_;
  Registry registry_;
  Orders orders_;
  Assignments assignments_;
  Starts starts_;
  Reckoning reckoning_;
  Market market_;
  Bindings bindings_;
  Scarcity scarcity_;
  Preemption preemption_;
  Gangs gangs_;
  Rentals rentals_;
  MachineWatch watch_;
  Reports reports_;
  Clearing clearing_;
  Replicas replicas_;
  Standing standing_;
  Placing placing_;
};

}  // namespace violetpulley::core
