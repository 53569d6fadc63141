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
  Attempt* attempt = attempts_.Find(Handle::Unpack(id));
  if (attempt == nullptr) return;
  Box& box = boxes_[attempt->box];
  if (box.life == Box::Life::kSilent) {  // the dispatcher receives no reply
    attempt->box_done = true, attempt->has_connection = false;
    return DropAttempt(id);
  }
  if (box.life == Box::Life::kDown || box.epoch != attempt->epoch) return Result(id, Outcome::kReset);
  RecordColdWork(attempt->box, *attempt);
  if (box.life == Box::Life::kDown) return Result(id, Outcome::kReset);  // the work overloaded it
  if (box.fail_share > 0 && box_random_.Chance(box.fail_share)) return Result(id, Outcome::kError);
  const int box_index = attempt->box;
  const BoxJob job{id, attempt->slots, attempt->work, attempt->key, attempt->priority, site_.keys.setup > 0};
  if (!box.Offer(now_, job, &news_)) {
    HandleBoxNews(box_index);
    return Result(id, Outcome::kFull);
  }
  if (site_.reports_accepts) {
    const Time delay = net_.Delay(now_, box.zone, nodes_[attempt->node].zone);
    if (delay != kNever) Push(now_ + delay, EventType::kAttemptUpdate, 0, 0, id);
  }
  HandleBoxNews(box_index);
}

// Ends an attempt at the box and sends the result to the dispatcher.
void Testbed::Result(std::uint64_t id, Outcome outcome) {
  Attempt* attempt = attempts_.Find(Handle::Unpack(id));
  if (attempt == nullptr) return;
  attempt->box_done = true;
  Box& box = boxes_[attempt->box];
  const Time delay = net_.Delay(now_, box.zone, nodes_[attempt->node].zone);
  if (delay == kNever) {
    attempt->has_connection = false;
    return DropAttempt(id);
  }
  if (site_.reports.how == rookgw::Settings::Reports::kAnswers && outcome != Outcome::kReset)
    carried_[order_] = box.Report(now_, &box_random_);
  Push(now_ + delay, EventType::kResult, static_cast<std::uint32_t>(outcome), 0, id);
}

void Testbed::HandleBoxNews(int box_index) {
  std::vector<BoxNews> news;
  news.swap(news_);
  Box& box = boxes_[box_index];
  for (const BoxNews& item : news) {
    Attempt* attempt = attempts_.Find(Handle::Unpack(item.id));
    if (attempt == nullptr) continue;
    switch (item.kind) {
      case BoxNews::Kind::kStarted: {
        checker_.Ran(now_, attempt->job_number, attempt->request, attempt->cls, box_index, box.zone,
                     box.cell);
        const Time delay =
            site_.reports_starts ? net_.Delay(now_, box.zone, nodes_[attempt->node].zone) : kNever;
        if (delay != kNever) Push(now_ + delay, EventType::kAttemptUpdate, 1, 0, item.id);
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
        const OpenRequest* open_request = open_requests_.Find(Handle::Unpack(attempt->request));
        JobState* job = open_request != nullptr ? jobs_.Find(open_request->job) : nullptr;
        if (job != nullptr && site_.checkpoint > 0 &&
            site_.classes[attempt->cls].effect == rookgw::Effect::kRepeatable) {
          const double done = job->work - item.left;
          const double kept = std::floor(done / static_cast<double>(site_.checkpoint));
          job->work = std::max(1.0, job->work - kept * static_cast<double>(site_.checkpoint));
        }
        if (box.life == Box::Life::kSilent) {
          attempt->box_done = true, attempt->has_connection = false;
          DropAttempt(item.id);
        } else {
          Result(item.id, Outcome::kReset);
        }
        break;
      }
    }
  }
  ArmBox(box_index);
}

void Testbed::ArmBox(int box_index) {
  const Time next = std::max(boxes_[box_index].NextAt(), now_);
  if (next == kNever || next == box_armed_[box_index]) return;
  box_armed_[box_index] = next;
  Push(next, EventType::kBoxStep, static_cast<std::uint32_t>(box_index));
}

double Testbed::StoreRate() const {
  double slowdown = 1;
  for (const Fault& fault : day_.faults)
    if (fault.kind == FaultKind::kStore && fault.Active(now_)) slowdown *= fault.size;
  const double fetches = site_.keys.store_fetches / std::max(1.0, slowdown);
  if (site_.keys.store_fetches <= 0) return 1;
  return std::min(1.0, fetches / std::max<double>(1, static_cast<double>(store_.size())));
}

void Testbed::ArmStore() {
  const Time next = std::max(store_.NextEnd(), now_);
  if (next == kNever || next == store_armed_) return;
  store_armed_ = next;
  Push(next, EventType::kStoreStep);
}

// A cold box that receives more than the permitted multiple of its current capacity, over the time span of
// the rule, fails and stays down.
void Testbed::RecordColdWork(int box_index, const Attempt& attempt) {
  Box& box = boxes_[box_index];
  std::deque<ColdWork>& work = cold_work_[box_index];
  if (!box.Cold(now_)) return work.clear();
  const auto known = nodes_[attempt.node].known_start.find(box_index);
  const bool knew_start = nodes_[attempt.node].up && known != nodes_[attempt.node].known_start.end() &&
                          known->second == box.since;
  work.push_back({now_, attempt.work * attempt.slots, knew_start ? attempt.node : -1});
  while (!work.empty() && work.front().at <= now_ - site_.overload_for) work.pop_front();
  double sum = 0, work_by_informed = 0, max_class_work = 0;
  for (const ColdWork& w : work) sum += w.work, work_by_informed += w.node >= 0 ? w.work : 0;
  for (const ClassModel& class_model : site_.classes)
    max_class_work = std::max(max_class_work, static_cast<double>(class_model.work));
  const double max_work = site_.overload_factor * box.Pace(now_) * static_cast<double>(site_.overload_for);
  if (sum <= kOverloadSlack * max_work + 2 * max_class_work) return;
  checker_.Toppled(now_, box_index, work_by_informed / sum);
  ++result_.toppled;
  toppled_[box_index] = 1;
  work.clear();
  StopBox(box_index, Box::Life::kDown);
  Register(box_index, ListedWorker::State::kGone, site_.discovery.notice_silent);
}

void Testbed::StopBox(int box_index, Box::Life life) {
  boxes_[box_index].Stop(now_, life, &news_);
  HandleBoxNews(box_index);
}

void Testbed::StartBox(int box_index, bool announce) {
  if (toppled_[box_index]) return;
  StopBox(box_index, Box::Life::kDown);  // ends jobs of an earlier process
  boxes_[box_index].Start(now_, false);
  cold_work_[box_index].clear();
  if (announce) Register(box_index, ListedWorker::State::kServing, site_.discovery.notice_start);
  ArmBox(box_index);
}
}  // namespace lichenlug::lab
