// Detects from the traffic with one peer whether the connection to it still works. A broken link reports no
// error: the kernel accepts messages until its buffers are full. Each side therefore acknowledges the other's
// messages, with an empty message if it has nothing else to send, and a connection on which messages are sent
// but none come back is reopened.
#pragma once

#include <chrono>
#include <optional>

namespace lichenlug::transport {

using SteadyTime = std::chrono::steady_clock::time_point;

class LinkLiveness {
 public:
  // A message of a peer is acknowledged if nothing was sent to that peer for this long.
  static constexpr std::chrono::milliseconds kAckDelay{300};
  // A message sent this long after the first unacknowledged one must be acknowledged if it is received.
  static constexpr std::chrono::milliseconds kProbeAfter{400};
  // Timeout of the acknowledgement of such a message.
  static constexpr std::chrono::milliseconds kAckTimeout{1100};
  // Minimum time between two reopenings of an unresponsive connection.
  static constexpr std::chrono::milliseconds kStaleReopenInterval{1000};
  // Shorter minimum for a connection that was established and then lost.
  static constexpr std::chrono::milliseconds kLostReopenInterval{100};

  void Sent(SteadyTime now) {
    last_sent_ = now;
    if (!unacknowledged_since_) {
      unacknowledged_since_ = now;
    } else if (!probe_sent_ && now - *unacknowledged_since_ >= kProbeAfter) {
      probe_sent_ = now;
    }
  }

  // Acknowledgements are not acknowledged.
  void AckSent(SteadyTime now) { last_sent_ = now; }

  void Received() {
    unacknowledged_since_.reset();
    probe_sent_.reset();
  }

  bool AckDue(SteadyTime now) const { return !last_sent_ || now - *last_sent_ >= kAckDelay; }

  bool AckOverdue(SteadyTime now) const { return probe_sent_ && now - *probe_sent_ >= kAckTimeout; }

  bool MayReopenStale(SteadyTime now) const {
    return !reopened_at_ || now - *reopened_at_ >= kStaleReopenInterval;
  }

  bool MayReopenLost(SteadyTime now) const {
    return !reopened_at_ || now - *reopened_at_ >= kLostReopenInterval;
  }

  void Reopened(SteadyTime now) {
    reopened_at_ = now;
    Received();
  }

 private:
  std::optional<SteadyTime> last_sent_;
  std::optional<SteadyTime> unacknowledged_since_;
  std::optional<SteadyTime> probe_sent_;
  std::optional<SteadyTime> reopened_at_;
};

}  // namespace lichenlug::transport
