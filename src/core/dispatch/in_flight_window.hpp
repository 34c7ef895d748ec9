// How many order lists may be under way at once. It starts small, grows by one for each quick
// answer, shrinks when answers are slow and is halved when more stay away than come, as congestion
// control does: after a takeover a thousand machines are asked in waves whose size the answers set,
// and a leader whose processor or sockets are short slows down instead of losing what it sent.
#pragma once

#include <algorithm>

#include "core/model/types.hpp"

namespace violetpulley::core {

class InFlightWindow {
 public:
  // How many sockets orders may take. The window never falls below a quarter of that: in a storm of
  // reports answers are slow whatever is asked, and with a window of 32 it took ten seconds to ask
  // the few hundred machines that the storm had left out.
  void set_share(std::size_t share) {
    share_ = std::max(share, std::size_t{1});
    size_ = std::clamp(size_, least(), share_);
  }
  bool admits(std::size_t part = 1) const { return in_flight_ * part < size_; }
  // Stops wait for sockets alone.
  bool admits_stops() const { return in_flight_ < share_; }
  std::size_t size() const { return size_; }
  std::size_t in_flight() const { return in_flight_; }
  std::size_t peak() const { return peak_; }

  void sent() { peak_ = std::max(peak_, ++in_flight_); }
  // The machine was returned: no answer comes.
  void dropped() { in_flight_ -= in_flight_ > 0 ? 1 : 0; }
  // `took`: from the sending to the moment at which the answer was looked at.
  void answered(Seconds took) {
    dropped();
    ++answers_;
    if (took < kQuick) size_ = std::min(size_ + 1, share_);
    // A machine answers within milliseconds: what is slow is this leader's own queue.
    if (took > kSlow) size_ = std::max(least(), size_ - (size_ + kShrink - 1) / kShrink);
  }
  void lost(TimePoint now) {
    dropped();
    ++losses_;
    if (now - judged_ < kJudged) return;
    // Some machines are always dead: only when most are silent is it likely to be us.
    if (losses_ > answers_) size_ = std::max(least(), size_ / 2);
    judged_ = now;
    answers_ = losses_ = 0;
  }
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.share_, s.size_, s.in_flight_, s.peak_, s.answers_, s.losses_, s.judged_);
  }

 private:
  static constexpr std::size_t kMin = 32;
  static constexpr std::chrono::milliseconds kJudged{500};
  static constexpr Seconds kQuick{0.1};
  static constexpr Seconds kSlow{0.25};
  static constexpr std::size_t kShrink = 16;  // by this part for each slow answer
  std::size_t least() const { return std::min(share_, std::max(kMin, share_ / 4)); }
  std::size_t share_ = kMin;
  std::size_t size_ = kMin;
  std::size_t in_flight_ = 0;
  std::size_t peak_ = 0;
  std::size_t answers_ = 0;  // since it was last judged
  std::size_t losses_ = 0;
  TimePoint judged_{};
};

}  // namespace violetpulley::core
