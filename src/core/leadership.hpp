// What a node may conclude about its own leadership. Pure bookkeeping: the store shell reports
// what it sent and what came back.
#pragma once

#include "core/types.hpp"

namespace violetpulley::core {

class Leadership {
 public:
  Leadership(WorkerTimes times, std::chrono::milliseconds clock_skew)
      : times_(times), margin_(Seconds(0.5) + 2 * Seconds(clock_skew) + times.cancel * 0.001) {}

  // The key was created by a transaction sent at `sent`; its revision is the token.
  void won(Token token, std::uint64_t hold, TimePoint sent) {
    token_ = token;
    hold_ = hold;
    contact_ = sent;
  }
  // A request sent at `sent` proved that the key is still ours.
  void proved(TimePoint sent) {
    if (leading() && sent > contact_) contact_ = sent;
  }
  void lost() { token_ = 0; }

  bool leading() const { return token_ != 0; }
  Token token() const { return token_; }
  std::uint64_t hold() const { return hold_; }
  TimePoint contact() const { return contact_; }

  // docs/safety.md, "Serving limit": contact + serving + lease + margin < contact + cancel.
  Seconds serving_time() const {
    return std::max(Seconds(0), times_.cancel - times_.lease - margin_);
  }
  bool may_serve(TimePoint now) const {
    return leading() && now - contact_ < to_duration(serving_time());
  }
  // Earliest time at which an unconfirmed machine's lease has run out under any older leader.
  TimePoint older_leases_end(TimePoint takeover) const {
    return takeover + to_duration(serving_time() + times_.lease + 2 * margin_);
  }

 private:
  WorkerTimes times_;
  Seconds margin_;
  Token token_ = 0;
  std::uint64_t hold_ = 0;
  TimePoint contact_{};
};

}  // namespace violetpulley::core
