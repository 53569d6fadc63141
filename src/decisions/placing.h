// Places jobs on the least loaded member of their key's set on the ring, or queues, retries or ends them.
#pragma once

#include "decisions/gate.h"

namespace rookgw::internal {

class Placement : public DispatchGate {
 protected:
  using DispatchGate::DispatchGate;

  // Finds the set and sends to its least loaded member. False if no eligible worker can start it in time.
  bool Place(Request& r, double demand) {
    if (ring_.empty()) return false;
    Key& key = keys_[r.hash];
    const std::size_t max_steps = std::min(ring_.size(), kMaxRingSteps);
    // If a set is wider than one walk, each job walks a window of it, drawn at random by this node.
    const std::size_t home = HomeOf(r.hash) + (key.windows > 1 ? random_() % key.windows * max_steps : 0);
    demand /= static_cast<double>(key.windows), r.placed_at = now_;
    ++walk_, members_.clear(), remote_.clear();
    double capacity = 0;
    std::size_t needed = 0, step = 0;
    bool any_idle = false;
    for (; step < max_steps || (step < ring_.size() && members_.empty() && remote_.empty()); ++step) {
      const int w = ring_[(home + step) % ring_.size()].second;
      if (std::exchange(workers_[w].last_walk, walk_) == walk_ || !Eligible(r, w)) continue;
      if (IsRemote(w, r)) {
        if (remote_.size() < kMaxOverflow && !IsFull(w, r) && (!PeersKnown() || IsIdle(w, r)))
          remote_.push_back(w);
        continue;
      }
      members_.push_back(w);
      capacity += std::max(0.0, UsableCapacity(w, r));
      any_idle = any_idle || IsIdle(w, r);
      if (needed == 0 && capacity >= demand) needed = members_.size();
      if (needed == 0 || members_.size() < key.width) continue;
      const bool enough = members_.size() >= std::max(needed, key.width) + kMaxOverflow;
      if (any_idle || (enough && !PeersKnown() && !IsFull(w, r))) break;
    }
    if (max_steps < ring_.size()) {
      const double walked = 1.0 * std::min(step, max_steps) / max_steps;
      const double filled = needed == 0 ? demand / std::max(capacity, 1.0) : walked;
      const std::size_t windows =
          std::ceil(std::clamp<double>(filled * key.windows, 1, ring_.size() / max_steps));
      if (windows > key.windows || now_ - key.shrunk >= kShrinkInterval) key.windows = windows;
    }
    if (members_.empty()) members_.swap(remote_);
    if (members_.empty()) return false;
    if (needed == 0) needed = members_.size();
    if (needed >= key.width || now_ - key.shrunk >= kShrinkInterval) key.width = needed, key.shrunk = now_;
    const std::size_t width = std::min(key.width, members_.size());
    const int best = LeastLoaded(r, width);
    // A job that would queue in its set first tries workers past it: a new copy costs less than waiting, and
    // if a few keys receive most of the traffic, their sets would queue next to idle workers.
    if (IsIdle(best, r)) return Send(r, best);
    members_.insert(members_.end(), remote_.begin(), remote_.end());
    const bool overflow = overflow_chance_ >= 1 || random_() % 1024 < 1024 * overflow_chance_;
    const bool full = IsFull(best, r);
    for (std::size_t i = width; overflow && i < members_.size(); ++i)  // nearest first: groups the overflow
      if (full ? CanTake(members_[i], r) : IsIdle(members_[i], r)) return Send(r, members_[i]);
    return CanTake(best, r) && Send(r, best);
  }

  // Nodes that share a set have the same stale reports: in wide sets each ranks a random sample of members,
  // so that the nodes do not all crowd the one that looks best.
  int LeastLoaded(const Request& r, std::size_t width) {
    int best = members_[0];
    double least = std::numeric_limits<double>::infinity();
    const bool rank = width <= kMaxRanked;
    for (std::size_t i = 0; i < std::min(width, kMaxRanked); ++i) {
      const int w = members_[rank ? i : random_() % width];
      const double load = 1 - FreeSlots(workers_[w]) / TotalSlots(workers_[w]);
      if (load < least && !IsFull(w, r)) least = load, best = w;
    }
    return best;
  }

  // With a cross-zone fee, sets consist of workers in this node's zone, and others take the overflow. If this
  // zone is fuller than the others, a share of the keys use all zones: the same keys on every node with the
  // same view, so that cached copies are reused.
  bool IsRemote(int index, const Request& r) const {
    if (!Zonal() || workers_[index].zone == s_.my_zone) return false;
    return static_cast<double>(Mix(r.hash) >> 11) * 0x1p-53 >= spill_;
  }

  // All nodes of the zone see the same free slots and compete for them until the next reports: each job looks
  // past its set with a probability that leaves as many takers as slots.
  void UpdateOverflowChance() {
    double free = 1e-9;
    for (int i : listed_) free += PeersKnown(workers_[i]) ? std::max(0.0, FreeSlots(workers_[i])) : 0;
    const double takers = (arrivals_.Rate(now_) * kSweepInterval + waiting_.size()) * SharingNodes();
    overflow_chance_ = PeersKnown() ? std::min(1.0, free / takers) : 1;
  }

  void UpdateZoneSpill() {
    if (!Zonal()) return;
    Mean others;
    for (std::size_t z = 0; z < zone_free_.size(); ++z)
      if (static_cast<int>(z) != s_.my_zone && zone_free_[z].weight > 0) others.Add(zone_free_[z].value);
    const double own = zone_free_[s_.my_zone].value;  // share of slots that are free
    const double step = kSweepInterval / static_cast<double>(kRateDecay);
    if (own < std::min(kZoneMargin, others.value - kZoneMargin)) spill_ = std::min(1.0, spill_ + step);
    if (own > std::min(2 * kZoneMargin, others.value)) spill_ = std::max(0.0, spill_ - step);
  }

  bool Eligible(const Request& r, int index) {
    const Worker& w = workers_[index];
    const int kind = s_.classes[r.cls].kind;
    if (kind != kNone && w.kind != kind) return false;
    if (r.needs != 0 && !std::ranges::binary_search(w.holds, r.needs)) return false;
    const ClassHealth& h = w.health[r.cls];
    if (r.needs == 0 && now_ < h.ejected_until) return false;
    if (IsEjected(w) || (s_.reports_accepts && h.failures > 0 && h.unaccepted > 0)) return false;
    for (const Attempt& a : r.attempts)
      if (a.worker == index) return false;
    return MaySend(r, index);
  }

  double WorthDensity(const Request& r) const {
    const double worth = s_.classes[r.cls].worth * (r.over_share ? s_.over_share_worth : 1);
    return worth / std::max(1.0, r.slots * RunTime(r.cls));
  }

  void Enqueue(Request& r) {
    if (r.waiting || r.ended) return;
    r.waiting = true, r.rank = -WorthDensity(r);
    waiting_.insert({r.rank, r.sequence, r.id});
    deadlines_.push({r.latest_start, r.id});
  }

  void ServeQueue(int max_jobs) {
    if (waiting_.empty()) return;
    scratch_.clear();
    for (auto it = waiting_.begin(); it != waiting_.end() && max_jobs > 0; ++it, --max_jobs)
      scratch_.push_back(std::get<2>(*it));
    for (RequestId id : scratch_)
      if (Request* r = Find(id); r != nullptr && now_ - r->placed_at >= s_.tick) Place(*r, DemandOf(*r));
  }

  // After a failed attempt, continues clockwise past the workers already tried.
  void Retry(Request& r) {
    if (OpenAttempts(r) > 0) return;
    const bool give_up = now_ > StartDeadline(r) || static_cast<int>(r.attempts.size()) >= s_.max_attempts ||
                         (FirstThatMayHaveRun(r) != nullptr && s_.classes[r.cls].effect == Effect::kUnsafe);
    if (give_up) return End(r);
    if (!Place(r, DemandOf(r))) Enqueue(r);
  }

  // Ends requests whose time is up: queued ones at their latest start, all at the last moment for an answer.
  void ProcessDeadlines() {
    while (!deadlines_.empty() && deadlines_.top().first <= now_) {
      const RequestId id = deadlines_.top().second;
      deadlines_.pop();
      Request* r = Find(id);
      if (r == nullptr || r->ended || r->streaming) continue;
      if (now_ >= r->valid_until - EndMargin() || (r->waiting && now_ >= r->latest_start) || MissedStart(*r))
        End(*r);
      else
        CheckAcceptance(*r);
    }
  }

  void CheckAcceptance(Request& r) {
    if (!s_.reports_accepts || r.attempts.empty()) return;
    Attempt& a = r.attempts.back();
    if (!a.unaccepted || now_ < a.sent + kAcceptTimeout) return;
    if (!std::exchange(a.overdue, true)) return deadlines_.push({now_ + 10 * kMs, r.id});  // local stall?
    ClassHealth& health = workers_[a.worker].health[r.cls];
    a.unaccepted = false, --health.unaccepted;
    AddFailures(r.cls, health, 3);
    if (now_ <= r.latest_start && s_.classes[r.cls].effect != Effect::kUnsafe)
      Emit(CancelAttempt{r.id, static_cast<int>(r.attempts.size()) - 1});
  }

  double QuotaPerS(int t) const { return s_.tenants[t].quota_per_s / std::max(1, s_.instances); }
  double QuotaBurst(int t) const { return std::max(2.0, 2 * QuotaPerS(t)); }  // two seconds of quota

  bool TakeQuota(int tenant) {  // true if over its share
    return tenant != kNone && !quota_[tenant].Take(now_, QuotaPerS(tenant), QuotaBurst(tenant));
  }

  std::vector<int> members_, remote_;
  std::vector<RequestId> scratch_;
  double overflow_chance_ = 1;  // probability that a job looks past its set
  double spill_ = 0;            // share of the keys whose sets span all zones
  std::uint64_t walk_ = 0;
  std::vector<lichenlug::TokenBucket> quota_ = std::vector<lichenlug::TokenBucket>(s_.tenants.size());
};

}  // namespace rookgw::internal
