/// @file
/// The users' HTTP API: submissions, polls and cancellations. Every node answers from its job
/// replica and the state service. Owns a bounded cache of the final states of jobs.
#pragma once

#include <deque>

#include "async/lifetime.hpp"
#include "core/controller.hpp"
#include "net/http_server.hpp"
#include "store/job_replica.hpp"

namespace violetpulley::api {

class UserApi {
 public:
  /// What the responses depend on besides the state service.
  struct Environment {
    std::vector<core::Team> teams;
    std::vector<std::string> zones;
    /// Returns the machine types; empty: not known yet.
    std::function<const std::vector<core::MachineType>&()> types;
    std::function<core::JobCounts(const core::JobId&)> counts;
  };

  UserApi(asio::io_context& io, store::StoreClient& store, store::JobReplica& job_replica,
          Environment environment);
  ~UserApi();
  UserApi(const UserApi&) = delete;
  UserApi& operator=(const UserApi&) = delete;

  /// Stores a new job and responds with 201; 200 if the id is known; 400 if the submission is
  /// malformed; 422 if the job can never run; 503 if the state service does not answer or too many
  /// submissions wait for it.
  void submit(const net::Request& request, const net::Responder& respond);
  /// Responds with the status of a job; 404 if the job was never accepted.
  void poll(const core::JobId& id, const net::Responder& respond);
  /// Cancels a job if it is open, and responds with its status.
  void cancel(const core::JobId& id, const net::Responder& respond);

 private:
  /// What the state service holds about a job id; `unavailable`: it could not be read in time.
  enum class Lookup { open, done, cancelled, absent, unavailable };
  using LookupHandler = std::function<void(Lookup)>;
  struct Refusal {
    int status = 0;
    std::string problem;
  };

  void look_up(const core::JobId& id, LookupHandler done);
  void look_up_end(const core::JobId& id, const LookupHandler& done);
  Lookup lookup_from_end(const core::JobId& id, const store::GetResult& result);
  void answer(const core::JobId& id, Lookup found, const net::Responder& respond);
  nlohmann::json status_of(const core::JobId& id, Lookup found) const;

  /// Refuses a submission if too many wait for the state service already. Returns whether it was
  /// refused.
  bool shed_load(const net::Responder& respond);
  /// Returns after how long a refused submission should be repeated. Each call gets a later time,
  /// so that the repetitions are spread out.
  std::chrono::seconds retry_after(core::Duration wait);
  void accept(core::JobSpec spec, const net::Responder& respond);
  void accept_answered(core::JobRecord record, core::TimePoint received,
                       const store::TransactionResult& result, const net::Responder& respond);
  /// Responds with the refusal, or with the job's status if the job id is known.
  void refuse_unless_known(const core::JobId& id, const Refusal& refusal,
                           const net::Responder& respond);

  void try_cancel(const core::JobId& id, int remaining_tries, const net::Responder& respond);
  void cancel_answered(const core::JobId& id, int remaining_tries,
                       const store::TransactionResult& result, const net::Responder& respond);
  /// Responds if the job has ended, and tries again to cancel the job if it is open.
  void look_up_and_cancel(const core::JobId& id, int remaining_tries,
                          const net::Responder& respond);
  /// Caches a final state, which never changes, and evicts the oldest one beyond the limit.
  void cache_final_state(const core::JobId& id, core::FinalState state);

  store::StoreClient& store_;
  store::JobReplica& job_replica_;
  Environment environment_;
  std::unordered_map<core::JobId, core::FinalState> final_states_;
  std::deque<core::JobId> final_state_order_;
  core::TimePoint next_retry_at_{};  ///< When the most recently refused submission may be repeated.
  async::Lifetime lifetime_;
};

}  // namespace violetpulley::api
