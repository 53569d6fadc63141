#include "lab/model/box.h"

#include <algorithm>
#include <cmath>

namespace lichenlug::lab {
namespace {

constexpr int kRampSteps = 32;  // the pace of a box that warms up is set anew so often

}  // namespace

Box::Box(const Site& site, const KindModel& kind, int index, int in_zone, int in_cell, double speed)
    : kind_index(index),
      zone(in_zone),
      cell(in_cell),
      site_(&site),
      kind_(&kind),
      cores_(kind.cores),
      speed_(speed),
      slots_(std::max(1.0, std::round(kind.cores * kind.slots_per_core))),
      queue_most_(std::round(kind.cores * kind.queue_per_core)) {
  SetPace(0);
}

void Box::Start(Time now, bool warm) {
  held_.clear(), queue_.clear(), kept_.clear(), running_.Clear();
  used_ = used_running_ = work_done_ = 0, probes_ = connections = 0;
  reports_[0] = reports_[1] = {};
  life = Life::kUp, since = warm ? 0 : std::max<Time>(now, 1), started_ = last_work_ = now;
  warm_from_start_ = warm;
  next_ramp_ = warm ? kNever : now + kind_->cold_for / kRampSteps + 1;
  ++epoch;
  SetPace(now);
}

void Box::Stop(Time now, Life how, std::vector<BoxNews>* news) {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, held] : held_) ids.push_back(id);
  std::ranges::sort(ids);  // the table's own order differs between machines
  for (std::uint64_t id : ids) {
    const double left = running_.Remove(now, id);
    news->push_back({BoxNews::Kind::kBroken, id, left >= 0 ? left : held_.at(id).job.work});
  }
  held_.clear(), queue_.clear(), running_.Clear();
  used_ = used_running_ = 0, connections = 0, next_ramp_ = kNever;
  life = how;
  ++epoch;
}

void Box::Drain(Time now, std::vector<BoxNews>* news) {
  if (life != Life::kUp) return;
  life = Life::kDraining;
  Advance(now, news);
  if (!site_->drain_returns) return;
  for (std::uint64_t id : queue_) {
    held_.erase(id);
    news->push_back({BoxNews::Kind::kReturned, id, 0});
  }
  queue_.clear();
}

double Box::Warmth(Time now) const {
  if (warm_from_start_) return 1;
  double age = 1;
  if (kind_->cold_for > 0)
    age = kind_->warm_by == WarmBy::kTime ? static_cast<double>(now - started_) / kind_->cold_for
                                          : std::max(work_done_ / (Capacity() * kind_->cold_for), 0.0);
  return kind_->cold_from + (1 - kind_->cold_from) * std::clamp(age, 0.0, 1.0);
}

void Box::SetPace(Time now) {
  const double crowd = used_running_ > cores_ ? cores_ / used_running_ : 1;
  const double held = static_cast<double>(held_.size()) / cores_;
  const double thrash = held > kind_->thrash_at ? 1 / (1 + kind_->thrash * (held - kind_->thrash_at)) : 1;
  running_.SetRate(now, speed_ * crowd * thrash * Warmth(now) / slow_);
}

void Box::SetSlow(Time now, double factor) {
  slow_ = factor;
  SetPace(now);
}

bool Box::Keeps(std::uint64_t key) {
  const auto at = std::ranges::find(kept_, key);
  if (at == kept_.end()) return false;
  std::rotate(at, at + 1, kept_.end());
  return true;
}

void Box::Keep(std::uint64_t key) {
  if (Keeps(key)) return;
  kept_.push_back(key);
  if (kept_.size() > static_cast<std::size_t>(kind_->keys_kept)) kept_.erase(kept_.begin());
}

bool Box::Offer(Time now, const BoxJob& job, std::vector<BoxNews>* news) {
  Advance(now, news);
  if (life != Life::kUp) return false;
  Publish(now);
  if (queue_.size() >= queue_most_ && (FreeSlots() < job.slots || !queue_.empty())) return false;
  if (job.slots > slots_) return false;
  held_[job.id] = {job, Held::Stage::kQueued};
  queue_.push_back(job.id);
  Serve(now, news);
  return true;
}

// Starts what the order of the queue and the free slots allow.
void Box::Serve(Time now, std::vector<BoxNews>* news) {
  if (kind_->order == QueueOrder::kPriority)
    std::ranges::stable_sort(queue_, std::greater<>(),
                             [this](std::uint64_t id) { return held_.at(id).job.priority; });
  for (auto at = queue_.begin(); at != queue_.end() && FreeSlots() >= 1;) {
    Held& held = held_.at(*at);
    if (held.job.slots <= FreeSlots()) {
      at = queue_.erase(at);
      Begin(now, &held, news);
    } else if (kind_->order == QueueOrder::kBackfill) {
      ++at;
    } else {
      break;
    }
  }
  SetPace(now);
}

void Box::Begin(Time now, Held* held, std::vector<BoxNews>* news) {
  used_ += held->job.slots;
  news->push_back({BoxNews::Kind::kStarted, held->job.id, 0});
  if (held->job.wants_key && kind_->keys_kept > 0 && site_->keys.setup > 0 && !Keeps(held->job.key)) {
    held->stage = Held::Stage::kFetching;
    news->push_back({BoxNews::Kind::kFetch, held->job.id, 0});
    return;
  }
  Run(now, held);
}

void Box::Run(Time now, Held* held) {
  held->stage = Held::Stage::kRunning;
  used_running_ += held->job.slots;
  running_.Add(now, std::max(1.0, held->job.work), held->job.id);
  SetPace(now);
}

void Box::Fetched(Time now, std::uint64_t id, std::vector<BoxNews>* news) {
  Advance(now, news);
  const auto it = held_.find(id);
  if (it == held_.end() || it->second.stage != Held::Stage::kFetching) return;
  Keep(it->second.job.key);
  Run(now, &it->second);
}

void Box::Release(Held held, bool was_running) {
  if (held.stage == Held::Stage::kQueued) return;
  used_ -= held.job.slots;
  if (was_running) used_running_ -= held.job.slots;
}

bool Box::CallOff(Time now, std::uint64_t id, std::vector<BoxNews>* news) {
  Advance(now, news);
  const auto it = held_.find(id);
  if (it == held_.end()) return true;
  const Held held = it->second;
  const bool queued = held.stage == Held::Stage::kQueued;
  if (kind_->cancel == CancelStops::kNothing || (kind_->cancel == CancelStops::kQueued && !queued))
    return false;
  Publish(now);
  if (queued) std::erase(queue_, id);
  const bool was_running = running_.Remove(now, id) >= 0;
  held_.erase(it);
  Release(held, was_running);
  Serve(now, news);
  return true;
}

void Box::Advance(Time now, std::vector<BoxNews>* news) {
  if (life == Life::kDown || life == Life::kSilent) return;
  if (kind_->warm_by == WarmBy::kWork && !warm_from_start_ && now > last_work_) {
    work_done_ += static_cast<double>(now - last_work_) * std::min(used_running_, cores_) * speed_ *
                  Warmth(now) / slow_;
    last_work_ = now;
  }
  if (now >= next_ramp_) {
    const bool warm = Warmth(now) >= 1;
    next_ramp_ = warm ? kNever : now + std::max<Time>(kind_->cold_for / kRampSteps, kMillisecond);
    SetPace(now);
  }
  std::uint64_t id = 0;
  while (running_.TakeEnded(now, &id)) {
    Publish(now);
    const auto it = held_.find(id);
    const Held held = it->second;
    held_.erase(it);
    Release(held, true);
    news->push_back({BoxNews::Kind::kEnded, id, 0});
    Serve(now, news);
  }
}

double Box::Backlog(Time) const {
  double work = 0;
  running_.ForEach([&](std::uint64_t id, double left) { work += left * held_.at(id).job.slots; });
  for (std::uint64_t id : queue_) work += held_.at(id).job.work * held_.at(id).job.slots;
  return work;
}

bool Box::Probe(Time now) {
  if (probes_ >= kind_->max_probes) return false;
  ++probes_;
  running_.SetBack(now, Overhead(site_->probe_work));
  return true;
}

// Called before each change: the state has been the same since the last one, so all the refreshes that fell
// due meanwhile showed it. Refreshes are at whole multiples of the period, moved by the box's own place.
void Box::Publish(Time now) {
  const Time period = std::max<Time>(site_->reports.period, 1);
  const Time latest = now - (now + 7919 * (zone + 1) + 104729 * cell) % period;
  if (latest <= reports_[1].at) return;
  reports_[0] = reports_[1];
  reports_[1] = {latest, FreeSlots(), static_cast<double>(held_.size()), static_cast<double>(queue_.size())};
  if (latest - reports_[0].at > period) reports_[0] = reports_[1], reports_[0].at = latest - period;
}

rookgw::LoadReport Box::Report(Time now, Random* noise) {
  Publish(now);
  const Snapshot& shown = now - site_->reports.delay >= reports_[1].at ? reports_[1] : reports_[0];
  auto blur = [&](double x) { return std::max(0.0, x * (1 + site_->reports.noise * noise->Normal())); };
  rookgw::LoadReport report;
  report.free_slots = lies || masks_load ? slots_ : blur(shown.free);
  report.active = lies || masks_load ? 0 : blur(shown.active);
  return report;
}

}  // namespace lichenlug::lab
