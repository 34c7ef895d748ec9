/// @file
/// The users' HTTP interface: submissions, polls and cancellations. Every node answers, from its
/// job replica and the state service. Owns a bounded memory of final states.
#pragma once

#include <deque>

#include "core/controller.hpp"
#include "net/http_server.hpp"
#include "store/job_replica.hpp"

namespace violetpulley::api {

class UserApi {
 public:
  /// What the answers depend on besides the state service.
  struct Environment {
    std::vector<core::Team> teams;
    std::vector<std::string> zones;
    std::function<const std::vector<core::MachineType>&()> types;
    std::function<core::JobCounts(const core::JobId&)> counts;
  };

  UserApi(asio::io_context& io, store::StoreClient& store, store::JobReplica& job_replica,
          Environment environment);
  ~UserApi();
  UserApi(const UserApi&) = delete;
  UserApi& operator=(const UserApi&) = delete;

  /// Stores a new job: 201; 200 if its id is known; 400 malformed; 422 if the job can never run;
  /// 503 if the state service does not answer or too many submissions wait for it.
  void submit(const net::Request& request, const net::Responder& respond);
  /// Answers with the status of a job; 404 if it was never accepted.
  void poll(const core::JobId& id, const net::Responder& respond);
  /// Ends a job that is open, and answers with its status.
  void cancel(const core::JobId& id, const net::Responder& respond);

 private:
  /// What the state service holds about a job id.
  enum class Known { open, done, cancelled, absent };
  /// Null: the state service could not be read in time.
  using Callback = std::function<void(std::optional<Known>)>;
  void look_up(const core::JobId& id, Callback done);
  void answer(const core::JobId& id, Known known, const net::Responder& respond);
  /// Returns after how long a refused submission should be repeated; each call gets a later time.
  std::chrono::seconds turn(core::Duration wait);
  void accept(core::JobSpec spec, const net::Responder& respond);
  void try_cancel(const core::JobId& id, int tries, const net::Responder& respond);
  /// Answers with the error unless the job id is known: then with the job's status.
  void refuse_unless_known(const core::JobId& id, int status, const std::string& problem,
                           const net::Responder& respond);
  /// Keeps a final state, which never changes, and drops the oldest beyond a bound.
  void remember(const core::JobId& id, core::FinalState state);

  store::StoreClient& store_;
  store::JobReplica& job_replica_;
  Environment environment_;
  std::unordered_map<core::JobId, core::FinalState> ended_;
  std::deque<core::JobId> ended_order_;
  core::TimePoint next_turn_{};  ///< When the last refused submission may be repeated.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace violetpulley::api
