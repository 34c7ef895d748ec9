// What users ask: submissions, polls and cancellations. Any node answers, against the state
// service.
#pragma once

#include <deque>

#include "core/controller.hpp"
#include "net/http_server.hpp"
#include "store/job_replica.hpp"

namespace violetpulley::api {

class UserApi {
 public:
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

  void submit(const net::Request& request, const net::Responder& respond);
  void poll(const core::JobId& id, const net::Responder& respond);
  void cancel(const core::JobId& id, const net::Responder& respond);

 private:
  // What the store holds about an id; empty: it could not tell.
  enum class Known { open, done, cancelled, absent };
  using Callback = std::function<void(std::optional<Known>)>;
  void look_up(const core::JobId& id, Callback done);
  void answer(const core::JobId& id, Known known, const net::Responder& respond);
  std::chrono::seconds turn(core::Duration wait);
  void accept(core::JobSpec spec, const net::Responder& respond);
  void try_cancel(const core::JobId& id, int tries, const net::Responder& respond);
  void refuse_unless_known(const core::JobId& id, int status, const std::string& problem,
                           const net::Responder& respond);
  void remember(const core::JobId& id, core::FinalState state);

  store::StoreClient& store_;
  store::JobReplica& job_replica_;
  Environment environment_;
  std::unordered_map<core::JobId, core::FinalState> ended_;
  std::deque<core::JobId> ended_order_;
  core::TimePoint next_turn_{};  // of a refused submission
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace violetpulley::api
