// The leader's brain: events and the time in, actions out. It does no input or output, holds no
// clock, and is made anew at every takeover.
#pragma once

#include "core/actions.hpp"
#include "core/estimator.hpp"
#include "core/fleet.hpp"
#include "core/gang_rooms.hpp"
#include "core/job_table.hpp"
#include "core/packer.hpp"
#include "core/rate_limiter.hpp"
#include "core/scaler.hpp"

namespace violetpulley::core {

inline constexpr double kRentalsShare = 0.65;  // of the cloud calls
inline constexpr double kReleasesShare = 0.5;  // both rarely want all of theirs at once

// The operators' aim for a class of jobs: done within this time after submission.
struct FinishAim {
  std::string job_class;
  Seconds within{0};
};

// Done within this many times the job's deadline.
struct LateAim {
  std::string job_class;
  double times = 1;
};

struct ControllerSettings {
  std::vector<Team> teams;
  WorkerTimes workers;
  Tuning tuning;
  double cloud_calls_per_s = 1;  // for rentals and returns
  Seconds list_lag{10};
  std::vector<FinishAim> aims;
  std::vector<LateAim> late_aims;
  WallTime wall_at_start{};  // the time of day that belongs to the start's steady time
};

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
};

struct RentalAnswer {
  enum class Kind { rented, no_capacity, refused, unknown } kind = Kind::unknown;
  std::vector<MachineId> machines;
};

// What a takeover reads from the store.
struct Inheritance {
  std::vector<MachineRecord> machines;
  std::vector<JobRecord> jobs;
  std::vector<ProgressRecord> progress;
};

class Controller {
 public:
  Controller(ControllerSettings settings, Token token, TimePoint now, TimePoint older_leases_end,
             Inheritance inheritance);

  void set_catalog(std::vector<MachineType> types);

  // Only jobs that were read while leadership was proved.
  void job_opened(const JobRecord& record, TimePoint now);
  void job_closed(const JobId& id, TimePoint now);

  void report(const WorkerReport& report, TimePoint now);
  // Stops and forgets that travel in the answer to a report.
  std::vector<Command> response_commands(const MachineId& machine) const;
  void orders_answered(const MachineId& machine, const WorkerReport* report, TimePoint now);

  void machine_saved(const MachineId& id, bool with_endpoint, bool ok);
  void progress_saved(const SaveProgress& saved, bool ok);
  void finish_answered(const JobId& job, TimePoint retry);
  void rental_answered(const std::string& name, const RentalAnswer& answer, TimePoint now);
  void release_answered(const std::vector<MachineId>& machines, bool ok, TimePoint now);
  void cloud_listed(const std::vector<ListedMachine>& machines, TimePoint now);

  // Deadlines, placing and scaling. `may_place`: leadership may still be served.
  void tick(TimePoint now, bool may_place);
  std::vector<Action> take_actions() { return std::exchange(actions_, {}); }
  bool placing_wanted() const { return placing_wanted_; }

  std::optional<JobCounts> counts(const JobId& id) const;
  const std::unordered_map<JobId, Job>& jobs() const { return jobs_; }
  const Fleet& fleet() const { return fleet_; }
  bool recovering() const { return recovering_; }
  // Machines looked at so far, each time counted; tests hold it against the events.
  std::uint64_t looks() const { return looks_; }
  std::string summary() const;

 private:
  // Where fewer machines come than were asked for, those first in this order get them.
  enum class RentalRank { service, gang, array };
  // What one machine of a rental is for: the tasks bound to it, or places of a gang.
  struct RentalGroup {
    std::vector<TaskKey> tasks;
    JobId gang;
    TaskIndex places = 0;
    RentalRank rank = RentalRank::array;
  };
  struct Rental {
    Rent request;
    std::vector<RentalGroup> groups;
    TimePoint sent{};
  };
  struct OptionKey {
    std::string type;
    std::string zone;
    bool spot;
    friend auto operator<=>(const OptionKey&, const OptionKey&) = default;
  };
  using Chosen = std::map<OptionKey, std::vector<RentalGroup>>;

  // controller.cpp: jobs and recovery
  void check_recovered(TimePoint now);
  bool unaccounted(const Job& job) const;
  void persist(TimePoint now);
  void task_lost(const TaskKey& key);
  void lose_all(Machine& machine, TimePoint now);
  void drop(Machine& machine, const TaskKey& key, TimePoint now, bool stored = false);
  void task_done(Job& job, TaskIndex index);
  void progress_changed(Job& job, TaskIndex index);
  void finish_complete(TimePoint now);

  // controller_reports.cpp: machines
  void absorb_task(Machine& machine, const TaskReport& entry, TimePoint now);
  void absorb_exit(Machine& machine, const TaskReport& entry, TimePoint now);
  void task_failed(Machine& machine, Job& job, TimePoint now);
  void note_foreign(Machine& machine);
  void adopt(Machine& machine, const TaskReport& entry, TimePoint now);
  bool forgettable(const Machine& machine, const TaskReport& entry) const;
  std::vector<Command> commands_for(const Machine& machine, bool with_starts) const;
  void want_orders(Machine& machine);
  void send_orders(TimePoint now);
  void runs_now(Assignment& assignment, Job* job, TimePoint now);
  void stop_task(Machine& machine, Assignment& assignment, TimePoint now,
                 Seconds grace = Seconds(0));
  void stop_saving(Machine& machine, const TaskKey& key, Assignment& assignment, Seconds available,
                   TimePoint now);
  void apply_type(Machine& machine);
  void save_machine(Machine& machine);
  void watch_machines(TimePoint now);
  void release_machines(TimePoint now);
  void want_release(Machine& machine, const char* cause, TimePoint now);
  bool others_heard(TimePoint now) const;

  // controller_placing.cpp: packing, scaling, clearing
  bool placeable(const Machine& machine, TimePoint now) const;
  bool within_limit(const JobSpec& spec) const;
  using ZoneUse = std::map<std::string, TaskIndex>;
  ZoneUse zone_use(const Job& job) const;
  ZoneUse zone_claims(const Job& job) const;
  Seconds estimate_left(const Job& job, TaskIndex index) const;
  Resources uncertain_use() const;
  // What is left to gain: a deadline or an aim, an aim for being little late, or nothing.
  enum class Outlook { in_time, late, hopeless };
  Outlook outlook(const Job& job, TimePoint now) const;
  struct Candidate {
    Job* job;
    Seconds estimate;
    bool guaranteed;
    Outlook outlook;
    double work;    // of its waiting tasks
    bool aged;      // a gang that has waited long: smaller ones pass it no more
  };
  std::vector<Candidate> waiting_jobs(TimePoint now);
  void place(TimePoint now);
  void place_bound(Packer& packer, TimePoint now);
  void place_job(Packer& packer, const Candidate& candidate, bool holders_only, TimePoint now);
  bool start_task(Job& job, TaskIndex index, Machine& machine, Attempt attempt, TimePoint now);
  std::vector<ScalerJob> leftovers(const std::vector<Candidate>& queue) const;
  void scale(std::vector<ScalerJob> leftovers, const std::vector<Candidate>& queue, TimePoint now);
  void send_rental(const OptionKey& option, std::vector<RentalGroup> groups, TimePoint now);
  std::vector<RentalOption> rental_options(TimePoint now) const;
  Seconds longest_fetch(const JobSpec& spec) const;
  Seconds age(const Job& job, TimePoint now) const;
  Seconds time_left(const Job& job, TimePoint now) const;
  void note_narrow_types(TimePoint now);
  bool reserved_for_others(const JobSpec& spec, const std::string& type) const;
  std::vector<std::string> types_for_others(const JobSpec& spec) const;
  bool dear(const std::string& type, bool spot) const;
  void unbind(const std::vector<TaskKey>& group, const std::string& bound);
  void clear_machines(TimePoint now);

  // controller_gangs.cpp
  struct GangPlace {
    Machine* machine = nullptr;
    TaskIndex tasks = 0;
    int image_rank = 0;
  };
  std::vector<std::string> gang_regions(const JobSpec& spec) const;
  std::vector<GangPlace> gang_places(const Job& job, const std::string& region,
                                     const std::vector<Machine*>& open) const;
  static TaskIndex total(const std::vector<GangPlace>& places);
  bool gang_within_limit(const Job& job) const;
  void place_gang(const Candidate& candidate, const std::vector<Machine*>& open, TimePoint now);
  bool start_gang(Job& job, const std::vector<GangPlace>& places, TimePoint now);
  bool counts_for_gang(const Machine& machine, TimePoint now) const;
  bool rentable(const JobSpec& spec, const std::string& region, TimePoint now) const;
  std::optional<std::string> choose_region(const Job& job, const std::vector<Machine*>& open,
                                           TimePoint now) const;
  void collect(Job& job, const std::vector<Machine*>& open, TimePoint now);
  void add_gang_rentals(const std::vector<Candidate>& queue, Chosen& chosen, TimePoint now);
  void mend_gangs(TimePoint now);
  void gang_done(Job& job);

  // controller_replicas.cpp
  Machine* place_for_replica(const Job& job, const Machine& from,
                             const std::vector<Machine*>& hosts,
                             const std::map<MachineId, Resources>& taken) const;
  void clear_replicas(TimePoint now);

  // controller_preemption.cpp
  bool preemptible(const TaskKey& key, const Assignment& assignment, Priority priority) const;
  void preempt(Machine& machine, const TaskKey& key, Seconds available, TimePoint now);
  void make_room_for_services(const std::vector<Candidate>& queue, TimePoint now);
  void make_room_for_gang(const Job& job, GangRoom& room, TimePoint now);

  ControllerSettings settings_;
  Token token_;
  Attempt next_attempt_;
  std::uint64_t next_rental_ = 1;
  TimePoint takeover_;
  TimePoint older_leases_end_;
  bool recovering_ = true;
  Resources uncertain_;
  bool narrow_waits_ = false;   // some waiting task does not fit every type
  bool ordinary_work_ = false;  // some job may not use spot machines
  bool gangs_ = false;          // some job is a gang
  bool scarce_ = false;         // many tasks wait for each machine that has room
  std::set<MachineId> unconfirmed_;
  std::set<OptionKey> unconfirmed_kinds_;  // type, zone and kind of those; may tell of too many
  std::set<MachineId> foreign_;  // machines that list tasks of jobs that are unknown here

  std::unordered_map<JobId, Job> jobs_;
  Fleet fleet_;
  // What is due, so that an event costs what it changes and not a look at everything.
  std::set<MachineId> orders_due_;
  std::set<JobId> progress_dirty_;
  std::set<JobId> complete_;
  std::set<JobId> broken_gangs_;
  GangRooms rooms_;
  Estimator estimator_;
  std::map<std::string, MachineType> types_;
  std::map<std::string, Team> teams_;

  std::map<std::string, Rental> rentals_;
  std::map<MachineId, std::vector<TaskKey>> bound_groups_;
  std::map<OptionKey, TimePoint> resting_;
  std::map<OptionKey, TimePoint> last_rented_;
  std::map<std::string, TimePoint> narrow_types_;  // types that some tasks cannot do without
  std::map<MachineId, TimePoint> released_;
  RateLimiter rental_rate_;

  std::vector<Action> actions_;
  bool placing_wanted_ = true;
  std::uint64_t looks_ = 0;
  TimePoint last_place_{};
  TimePoint last_scale_{};
  TimePoint last_persist_{};
  TimePoint last_watch_{};
  TimePoint last_replicas_{};
  TimePoint last_release_{};
};

}  // namespace violetpulley::core
