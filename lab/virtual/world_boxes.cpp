// The boxes of a day: execution of attempts, their results, the store, and overload failures.
#include <algorithm>
#include <cmath>

#include "lab/virtual/world.h"

namespace lichenlug::lab {

using rookgw::ListedWorker;
using rookgw::Outcome;

namespace {

constexpr double kOverloadSlack = 1.1;  // tolerance for random variation, as in the rule

}  // namespace

void Testbed::ReachBox(std::uint64_t id) {
  Attempt* a = attempts_.Find(Handle::Unpack(id));
  if (a == nullptr) return;
  Box& box = boxes_[a->box];
  if (box.life == Box::Life::kSilent) {  // the dispatcher receives no reply
    a->box_done = true, a->linked = false;
    return DropAttempt(id);
  }
  if (box.life == Box::Life::kDown || box.epoch != a->epoch) return Result(id, Outcome::kReset);
  NoteColdWork(a->box, *a);
  if (box.life == Box::Life::kDown) return Result(id, Outcome::kReset);  // the work overloaded it
  if (box.fail_share > 0 && box_random_.Chance(box.fail_share)) return Result(id, Outcome::kError);
  const int b = a->box;
  const BoxJob job{id, a->slots, a->work, a->key, a->priority, site_.keys.setup > 0};
  if (!box.Offer(now_, job, &news_)) {
    BoxNewsCame(b);
    return Result(id, Outcome::kFull);
  }
  if (site_.reports_accepts) {
    const Time way = net_.Delay(now_, box.zone, nodes_[a->node].zone);
    if (way != kNever) Push(now_ + way, What::kNote, 0, 0, id);
  }
  BoxNewsCame(b);
}

// Ends an attempt at the box and sends the result to the dispatcher.
void Testbed::Result(std::uint64_t id, Outcome outcome) {
  Attempt* a = attempts_.Find(Handle::Unpack(id));
  if (a == nullptr) return;
  a->box_done = true;
  Box& box = boxes_[a->box];
  const Time way = net_.Delay(now_, box.zone, nodes_[a->node].zone);
  if (way == kNever) {
    a->linked = false;
    return DropAttempt(id);
  }
  if (site_.reports.how == rookgw::Settings::Reports::kAnswers && outcome != Outcome::kReset)
    carried_[order_] = box.Report(now_, &box_random_);
  Push(now_ + way, What::kResult, static_cast<std::uint32_t>(outcome), 0, id);
}

void Testbed::BoxNewsCame(int b) {
  std::vector<BoxNews> news;
  news.swap(news_);
  Box& box = boxes_[b];
  for (const BoxNews& item : news) {
    Attempt* a = attempts_.Find(Handle::Unpack(item.id));
    if (a == nullptr) continue;
    switch (item.kind) {
      case BoxNews::Kind::kStarted: {
        checker_.Ran(now_, a->job_number, a->request, a->cls, b, box.zone, box.cell);
        const Time way = site_.reports_starts ? net_.Delay(now_, box.zone, nodes_[a->node].zone) : kNever;
        if (way != kNever) Push(now_ + way, What::kNote, 1, 0, item.id);
        break;
      }
      case BoxNews::Kind::kFetch:
        store_.Add(now_, static_cast<double>(site_.keys.setup), item.id);
        store_.SetRate(now_, StoreRate());
        ArmStore();
        break;
      case BoxNews::Kind::kEnded: {
        const bool fails = box_random_.Chance(site_.kinds[box.kind_index].error_rate);
        Result(item.id, fails ? Outcome::kError : Outcome::kServed);
        break;
      }
      case BoxNews::Kind::kFailed:
        Result(item.id, Outcome::kError);
        break;
      case BoxNews::Kind::kReturned:
        Result(item.id, Outcome::kFull);
        break;
      case BoxNews::Kind::kBroken: {
        const Try* t = tries_.Find(Handle::Unpack(a->request));
        JobState* job = t != nullptr ? jobs_.Find(t->job) : nullptr;
        if (job != nullptr && site_.checkpoint > 0 &&
            site_.classes[a->cls].effect == rookgw::Effect::kRepeatable) {
          const double done = job->work - item.left;
          const double kept = std::floor(done / static_cast<double>(site_.checkpoint));
          job->work = std::max(1.0, job->work - kept * static_cast<double>(site_.checkpoint));
        }
        if (box.life == Box::Life::kSilent) {
          a->box_done = true, a->linked = false;
          DropAttempt(item.id);
        } else {
          Result(item.id, Outcome::kReset);
        }
        break;
      }
    }
  }
  ArmBox(b);
}

void Testbed::ArmBox(int b) {
  const Time next = std::max(boxes_[b].NextAt(), now_);
  if (next == kNever || next == box_armed_[b]) return;
  box_armed_[b] = next;
  Push(next, What::kBoxStep, static_cast<std::uint32_t>(b));
}

double Testbed::StoreRate() const {
  double brown = 1;
  for (const Fault& f : day_.faults)
    if (f.kind == FaultKind::kStore && f.Active(now_)) brown *= f.size;
  const double fetches = site_.keys.store_fetches / std::max(1.0, brown);
  if (site_.keys.store_fetches <= 0) return 1;
  return std::min(1.0, fetches / std::max<double>(1, static_cast<double>(store_.size())));
}

void Testbed::ArmStore() {
  const Time next = std::max(store_.NextEnd(), now_);
  if (next == kNever || next == store_armed_) return;
  store_armed_ = next;
  Push(next, What::kStoreStep);
}

// A cold box that receives more than the permitted multiple of its current capacity, over the time span of
// the rule, fails and stays down.
void Testbed::NoteColdWork(int b, const Attempt& a) {
  Box& box = boxes_[b];
  std::deque<ColdWork>& work = cold_work_[b];
  if (!box.Cold(now_)) return work.clear();
  const auto known = nodes_[a.node].known_start.find(b);
  const bool told =
      nodes_[a.node].up && known != nodes_[a.node].known_start.end() && known->second == box.since;
  work.push_back({now_, a.work * a.slots, told ? a.node : -1});
  while (!work.empty() && work.front().at <= now_ - site_.overload_for) work.pop_front();
  double sum = 0, by_told = 0, mean = 0;
  for (const ColdWork& w : work) sum += w.work, by_told += w.node >= 0 ? w.work : 0;
  for (const ClassModel& c : site_.classes) mean = std::max(mean, static_cast<double>(c.work));
  const double most = site_.overload_factor * box.Pace(now_) * static_cast<double>(site_.overload_for);
  if (sum <= kOverloadSlack * most + 2 * mean) return;
  checker_.Toppled(now_, b, by_told / sum);
  ++result_.toppled;
  toppled_[b] = 1;
  work.clear();
  StopBox(b, Box::Life::kDown);
  Register(b, ListedWorker::State::kGone, site_.discovery.notice_silent);
}

void Testbed::StopBox(int b, Box::Life life) {
  boxes_[b].Stop(now_, life, &news_);
  BoxNewsCame(b);
}

void Testbed::StartBox(int b, bool told) {
  if (toppled_[b]) return;
  StopBox(b, Box::Life::kDown);  // ends jobs of an earlier process
  boxes_[b].Start(now_, false);
  cold_work_[b].clear();
  if (told) Register(b, ListedWorker::State::kServing, site_.discovery.notice_start);
  ArmBox(b);
}
}  // namespace lichenlug::lab
