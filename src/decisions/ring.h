// The worker list and the consistent-hash ring that assigns homes.
#pragma once

#include "decisions/world.h"

namespace rookgw::internal {

class Ring : public DecisionState {
 protected:
  using DecisionState::DecisionState;

  void ApplyList(const ListChanged& e) {
    if (e.form == ListChanged::Form::kFailed) {
      subscribed_ = false;
      list_failures_ = std::min(list_failures_ + 1, 4);
      const Time backoff = kSecond / 4 << list_failures_;
      subscribe_at_ = now_ + backoff / 2 + static_cast<Time>(random_() % backoff);
      return;
    }
    if (e.form != ListChanged::Form::kStaleCopy) subscribed_ = true, list_failures_ = 0;
    if (e.form != ListChanged::Form::kPatch)
      for (Worker& w : workers_) w.listed = false;
    for (const ListedWorker& entry : e.workers) {
      auto [it, fresh] = index_.try_emplace(entry.id, static_cast<int>(workers_.size()));
      if (fresh) {
        if (unused_.empty()) unused_.push_back(static_cast<int>(workers_.size())), workers_.emplace_back();
        it->second = unused_.back(), unused_.pop_back();
        Worker& added = workers_[it->second] = Worker{};
        added.id = entry.id, added.hash = HashText(entry.id), added.health.resize(s_.classes.size());
      }
      Worker& w = workers_[it->second];
      if (entry.since != w.since) w.span = -1, w.report_at = -1, w.learned = 0;
      w.listed = entry.state != ListedWorker::State::kGone;
      w.state = entry.state, w.since = entry.since, w.cell = entry.cell;
      w.kind = entry.kind, w.zone = entry.zone, w.weight = entry.weight, w.holds = entry.holds;
      if (w.slots != entry.slots) w.learned = w.slots = entry.slots;
    }
    BuildRing();
  }

  // Ring points are proportional to a worker's size: homes follow capacity, and one worker's overflow spreads
  // over many others. Live sizes fall with load; since moving homes loses cached copies, all workers of a
  // kind then get the largest size reported for the kind.
  void BuildRing() {
    double sum = 0;
    std::size_t listed = 0;
    for (Worker& w : workers_) {
      if (s_.weights_live && w.kind != kNone) kind_size_[w.kind] = std::max(kind_size_[w.kind], w.weight);
      if (!w.listed) continue;
      sum += SizeOf(w), ++listed;
    }
    const double mean = listed > 0 && sum > 0 ? sum / listed : 1;
    if (mean > 1.25 * mean_size_ || mean < 0.8 * mean_size_) mean_size_ = mean;
    bool changed = false;
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      Worker& w = workers_[i];
      const int points =
          w.listed ? std::clamp(std::round(kRingPoints * SizeOf(w) / mean_size_), 1.0, kMaxRingPoints) : 0;
      changed = changed || points != w.points;
      w.points = points;
      if (w.listed) {
        w.unlisted_at = 0;
      } else if (w.unlisted_at == 0) {
        w.unlisted_at = now_;
      } else if (w.used == 0 && !w.id.empty() && now_ - w.unlisted_at > kUnlistedRetention) {
        index_.erase(w.id);
        w.id.clear();
        unused_.push_back(static_cast<int>(i));
      }
    }
    if (!changed) return;
    ring_.clear(), listed_.clear();
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      const Worker& w = workers_[i];
      if (w.listed) listed_.push_back(static_cast<int>(i));
      for (int p = 0; p < w.points; ++p) ring_.push_back({Mix(w.hash + p), static_cast<int>(i)});
    }
    auto id = [this](int i) { return std::string_view(workers_[i].id); };
    std::ranges::sort(ring_, {}, [&id](const auto& p) { return std::pair{p.first, id(p.second)}; });
    std::ranges::sort(listed_, {}, id);
  }

  double SizeOf(const Worker& w) const {
    const double size = s_.weights_live && w.kind != kNone ? kind_size_[w.kind] : w.weight;
    return size > 0 ? size : 1;
  }

  void SubscribeToList() {
    Emit(Subscribe{});
    subscribe_at_ = now_ + std::max<Time>(s_.poll_interval / 2, kSecond);
  }

  std::size_t HomeOf(std::uint64_t hash) const {  // the ring's size wraps around to its first point
    return std::lower_bound(ring_.begin(), ring_.end(), std::pair{hash, -1}) - ring_.begin();
  }

  std::vector<std::pair<std::uint64_t, int>> ring_;  // hash and index of all listed workers
  std::vector<int> unused_;
  std::vector<double> kind_size_ = std::vector<double>(s_.kinds.size());
  double mean_size_ = 1e-9;
  bool subscribed_ = false;
  int list_failures_ = 0;
  Time subscribe_at_ = 0;
};

}  // namespace rookgw::internal
