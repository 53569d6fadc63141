// Tells from the traffic with one peer whether its connection still carries anything. A link that is cut
// reports no error: the kernel takes messages for it until its buffers are full. So each side answers the
// other's messages, with an empty message where it has nothing else to say, and a connection over which
// messages go out and none come back is dialled anew.
#pragma once

#include <chrono>
#include <optional>

namespace lichenlug::transport {

using SteadyTime = std::chrono::steady_clock::time_point;

class LinkLiveness {
 public:
  // A peer that was sent nothing for this long is due an answer to its message.
  static constexpr std::chrono::milliseconds kAnswerAfter{300};
  // Messages this much later than the first unanswered one are surely answered by a peer that gets them.
  static constexpr std::chrono::milliseconds kProbeAfter{400};
  // How long the answer to such a message may take.
  static constexpr std::chrono::milliseconds kAnswerWithin{1100};
  static constexpr std::chrono::milliseconds kBetweenRenewals{1000};
  // The same for a connection that stood and was lost.
  static constexpr std::chrono::milliseconds kBetweenReopenings{100};

  void Sent(SteadyTime now) {
    last_sent_ = now;
    if (!unanswered_since_) {
      unanswered_since_ = now;
    } else if (!probe_sent_ && now - *unanswered_since_ >= kProbeAfter) {
      probe_sent_ = now;
    }
  }

  // An answer expects no answer itself.
  void Answered(SteadyTime now) { last_sent_ = now; }

  void Received() {
    unanswered_since_.reset();
    probe_sent_.reset();
  }

  bool OwesAnswer(SteadyTime now) const { return !last_sent_ || now - *last_sent_ >= kAnswerAfter; }

  bool Unanswered(SteadyTime now) const { return probe_sent_ && now - *probe_sent_ >= kAnswerWithin; }

  bool MayRenew(SteadyTime now) const { return !renewed_ || now - *renewed_ >= kBetweenRenewals; }

  bool MayReopen(SteadyTime now) const { return !renewed_ || now - *renewed_ >= kBetweenReopenings; }

  void Renewed(SteadyTime now) {
    renewed_ = now;
    Received();
  }

 private:
  std::optional<SteadyTime> last_sent_;
  std::optional<SteadyTime> unanswered_since_;
  std::optional<SteadyTime> probe_sent_;
  std::optional<SteadyTime> renewed_;
};

}  // namespace lichenlug::transport
