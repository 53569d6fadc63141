// The network between zones: delays, retransmissions, partitions both ways and one way.
#pragma once

#include <cmath>
#include <vector>

#include "lab/base/random.h"
#include "lab/model/fair_share.h"

namespace lichenlug::lab {

class Network {
 public:
  Network(const Day& day, std::uint64_t seed) : day_(day), random_(seed, 21) {}

  // How long a message sent now is under way; kNever: it is lost for good. What is cut off is sent again
  // until the way is open, for ten seconds at most.
  Time Delay(Time now, int from, int to) {
    const NetworkModel& n = day_.site.net;
    Time delay = Spread(from == to ? n.same_zone : n.cross_zone);
    if (n.loss > 0 && random_.Chance(n.loss)) delay += n.retransmit;
    const Time open = OpenAgain(now, from, to);
    if (open > now) delay = open - now > kKeepTrying ? kNever : open - now + n.retransmit + delay;
    return delay;
  }

  Time ClientDelay() { return Spread(day_.site.net.client); }
  bool Cut(Time now, int from, int to) const { return OpenAgain(now, from, to) > now; }
  // A connection needs both ways.
  bool CanConnect(Time now, int from, int to) const { return !Cut(now, from, to) && !Cut(now, to, from); }

 private:
  static constexpr Time kKeepTrying = 10 * kSecond;

  Time Spread(Time mean) {
    return std::llround(random_.Lognormal(static_cast<double>(mean), day_.site.net.jitter));
  }

  Time OpenAgain(Time now, int from, int to) const {
    if (from == to) return now;
    Time open = now;
    for (const Fault& f : day_.faults) {
      if (!f.Active(open)) continue;
      const bool both = f.kind == FaultKind::kPartition && (from == f.zone || to == f.zone);
      if (both || (f.kind == FaultKind::kOneWay && from == f.zone)) open = f.start + f.length;
    }
    return open;
  }

  const Day& day_;
  Random random_;
};

}  // namespace lichenlug::lab
