#include "checkpoints/checkpoints.h"

#include <algorithm>
#include <cmath>

#include "checkpoints/deal.h"

namespace lichenlug {
namespace {

constexpr char kLivesMessage = 1;
constexpr std::size_t kMaxLivesPerMessage = (PeerProtocol::kMaxBody - 1) / kLifeBytes;
constexpr double kMillionth = 1e-6;

Time IntervalFor(double rate) {
  return rate <= 1e-7 ? 0 : static_cast<Time>(std::ceil(1000 / rate)) * kMillisecond;
}
double Seconds(Time span) { return static_cast<double>(span) / kSecond; }

}  // namespace

Checkpoints::Checkpoints(const Settings& settings, const Place& place, std::uint64_t life, std::uint64_t seed,
                         Time now)
    : settings_(settings),
      place_(place),
      lending_({place.number, place.tier}, static_cast<Amount>(settings.saves_a_second / kMillionth), life,
               now),
      random_(static_cast<std::uint32_t>(seed)),
      due_(now + kSecond),
      next_exchange_(now + kSecond) {}

void Checkpoints::Seen(std::string_view runner, int zone, int kind, Time up_since, Time now) {
  const LifeKey key{Facts::RunnerHash(runner), up_since / kTick};
  Life life;
  life.zone = zone < 0 || zone > 254 ? 255 : zone, life.kind = std::clamp(kind, 0, 255);
  life.until = std::max(now / kTick, key.start);
  if (!Facts::IsPlausible(key, life, now)) {
    ++refused_;
    return;
  }
  Ticks start = 0;
  if (const Life* last = facts_.NewestLife(key.runner, &start); last != nullptr && start != key.start) {
    if (start > key.start) return;  // a delayed report of a life that has ended
    Life former = *last;
    EndLife({key.runner, start}, &former, false, now);
  }
  facts_.Join(key, life);
}

void Checkpoints::Draining(std::string_view runner, Time now) {
  Ticks start = 0;
  const std::uint32_t id = Facts::RunnerHash(runner);
  if (const Life* last = facts_.NewestLife(id, &start)) {
    Life life = *last;
    if (!life.planned) EndLife({id, start}, &life, true, now);
  }
}

void Checkpoints::Lost(std::string_view runner, Time now) {
  Ticks start = 0;
  const std::uint32_t id = Facts::RunnerHash(runner);
  if (const Life* last = facts_.NewestLife(id, &start)) {
    Life life = *last;
    if (life.ended == 0) life.until = std::max(life.until, now / kTick);  // it was alive until now
    EndLife({id, start}, &life, false, now);
  }
}

void Checkpoints::EndLife(const LifeKey& key, Life* life, bool planned, Time now) {
  const auto own = static_cast<std::uint16_t>(1U << (place_.zone < 0 ? 15 : std::min(place_.zone, 15)));
  const bool whole = place_.tier == 1 || tier_.whole();
  const bool ended = life->ended > 0 && life->until <= life->ended;
  if (!planned && ended && (life->seen_zones & own) != 0 && (life->seen_by_majority || !whole))
    return;  // already reported
  // A drain in progress isn't an end: exposure continues until the life is no longer observed.
  if (!planned) life->ended = std::max(now / kTick, life->until);
  life->planned |= planned;
  life->seen_by_majority |= whole;
  life->seen_zones |= own;
  facts_.Join(key, *life);
  if (pending_ends_.size() >= Facts::Bounds().lives) return;
  // Other dispatchers see it too: the random delay lets a report received from one of them cancel ours.
  const Time spread = std::min<Time>(5 * kSecond, 20 * kMillisecond * place_.tier);
  const Time at = now + static_cast<Time>(random_()) % spread;
  pending_ends_.emplace_back(key, at), ScheduleSend(at);
}

const Rates& Checkpoints::rates(Time now) {
  // Computed for the same instant on all dispatchers: clocks within a site agree far better than
  // kRatesPeriod.
  if (const Time at = now / kRatesPeriod * kRatesPeriod; at != rates_at_) {
    facts_.DropExpired(at);
    rates_ = Rates(facts_, at), rates_at_ = at;
  }
  return rates_;
}

Job Checkpoints::MakeJob(const Running& running, Time now) {
  const JobFacts& facts = running.facts;
  const std::uint32_t runner = Facts::RunnerHash(facts.runner);
  Ticks start = 0;
  int zone = 255, kind = 0;
  double age = 0;
  if (const Life* life = facts_.NewestLife(runner, &start)) {
    zone = life->zone, kind = life->kind;
    age = Seconds(now - start * kTick);
  }
  const Costs& costs = costs_[facts.cls];
  const Rate rate = rates(now).RateOver(runner, kind, zone, age, facts.work);
  Job job;
  job.work = facts.work;
  job.save = costs.save.mean(), job.restart = costs.restart.mean() + costs.restart.standard_error();
  job.rate = rate.mean + rate.sd / 2;
  job.worth_a_second = std::max(1e-9, facts.worth_a_second);
  job.slack = facts.slack, job.lost_when_late = facts.lost_when_late;
  return job;
}

double Checkpoints::HeldRate(const Running& it, Time now) {
  const double own = now < it.plan.until ? it.rate : it.then_rate;
  return std::max({own, it.then_rate, now < it.old_until ? it.old_rate : 0.0});
}

double Checkpoints::Committed(Time now) const {
  double sum = 0;
  for (const auto& [id, running] : jobs_) sum += HeldRate(running, now);
  return sum;
}

void Checkpoints::SetRate(Running* running, double rate, double then_rate, Time now) {
  if (now < running->plan.until) {
    running->old_rate = std::max(running->rate, now < running->old_until ? running->old_rate : 0.0);
    running->old_until = std::max(running->plan.until, running->old_until);
  }
  running->rate = rate, running->then_rate = std::min(rate, then_rate);
  running->plan = {IntervalFor(rate), lending_.LeaseEnd(now), IntervalFor(running->then_rate)};
}

SavePlan Checkpoints::Begin(JobId id, const JobFacts& facts, Time now) {
  if (jobs_.size() >= kMaxJobs && !jobs_.contains(id)) {
    ++refused_;
    return {};
  }
  costs_.try_emplace(facts.cls, Costs{Cost(settings_.save_cost), Cost(settings_.restart_cost)});
  Running running;
  running.facts = facts;
  const Choice choice = Choose(MakeJob(running, now));
  const double unconstrained = choice.saves > 0 ? 1 / choice.interval : 0;
  double then = static_cast<double>(lending_.reserved(now)) * kMillionth;
  for (const auto& [other, it] : jobs_) then -= it.then_rate;
  const double left = static_cast<double>(lending_.Allowed(now)) * kMillionth - Committed(now);
  // Takes at most a tenth of the remainder when it is short: the next allocation is only seconds away.
  const double rate =
      std::max(0.0, std::min(unconstrained, unconstrained * 2 < left ? unconstrained : left / 10));
  SetRate(&running, rate, std::max(0.0, std::min(rate, then)), now);
  const SavePlan plan = running.plan;
  jobs_[id] = std::move(running);
  lending_.SetDemand(static_cast<Amount>(std::ceil(Committed(now) / kMillionth)),
                     static_cast<Amount>(std::max(0.0, unconstrained - rate) / kMillionth),
                     facts.worth_a_second, now);
  return plan;
}

void Checkpoints::Noted(JobId id, double took, double worked, int saves, bool restarted, Time) {
  const auto at = jobs_.find(id);
  if (at == jobs_.end() || !(took >= 0) || !(worked >= 0) || saves < 0) return;
  JobFacts& facts = at->second.facts;
  facts.work = std::max(0.0, facts.work - worked);
  if (facts.slack >= 0) facts.slack = std::max(0.0, facts.slack - took);
  Costs& costs = costs_.find(facts.cls)->second;
  restarted ? costs.NoteRestart(took, worked, saves) : costs.Note(took, worked, saves);
}

void Checkpoints::Moved(JobId id, std::string_view runner, Time) {
  if (const auto at = jobs_.find(id); at != jobs_.end()) at->second.facts.runner = runner;
}

void Checkpoints::End(JobId id) { jobs_.erase(id); }

std::vector<std::pair<Checkpoints::JobId, SavePlan>> Checkpoints::Retold(Time now) {
  std::vector<std::pair<JobId, SavePlan>> updates;
  if (now - allocated_at_ < kAllocationPeriod) return updates;
  allocated_at_ = now;
  std::vector<Wish> wishes;
  wishes.reserve(jobs_.size());
  for (const auto& [id, running] : jobs_) wishes.push_back({running.facts.tenant, MakeJob(running, now)});
  const double all = static_cast<double>(lending_.Allowed(now)) * kMillionth;
  const double allowed = std::max(0.0, all - static_cast<double>(lending_.Yield(now)) * kMillionth);
  const DealResult allocation = Deal(&wishes, allowed);
  const double reserved = static_cast<double>(lending_.reserved(now)) * kMillionth;
  double then_left = reserved;
  for (const auto& [id, running] : jobs_) then_left -= running.then_rate;
  struct Change {
    JobId id;
    double rate;
  };
  std::vector<Change> raised;
  double raise = 0;
  const auto update = [&](JobId id, double rate) {
    Running& running = jobs_[id];
    then_left += running.then_rate;
    const double part = allocation.given <= reserved ? rate : reserved * rate / allocation.given;
    SetRate(&running, rate, std::max(0.0, std::min(part, then_left)), now);
    then_left -= running.then_rate;
    updates.emplace_back(id, running.plan);
  };
  std::size_t i = 0;
  for (auto& [id, running] : jobs_) {
    const Wish& wish = wishes[i++];
    const double has = now < running.plan.until ? running.rate : running.then_rate;
    const auto loss = [&](double rate) { return LossAt(wish.job, rate > 0 ? 1 / rate : 0); };
    const double old = loss(has), fresh = loss(wish.given);
    const bool gains = old - fresh > settings_.update_cost * wish.job.worth_a_second + old / 20;
    const bool expires =
        running.then_rate < 0.999 * running.rate && running.plan.until - now < Lending::kLease / 2;
    const bool over = allocation.wanted > allowed && wish.given < 0.9 * has;
    if (!gains && !expires && !over) continue;
    const double rate = gains || over ? wish.given : has;
    if (rate <= HeldRate(running, now) * (1 + 1e-12)) {
      update(id, rate);
    } else {
      raised.push_back({id, rate}), raise += rate - HeldRate(running, now);
    }
  }
  const double left = std::max(0.0, all - Committed(now));
  const double part = raise > left ? left / raise * (1 - 1e-9) : 1;
  for (const Change& change : raised) {
    const double held = HeldRate(jobs_[change.id], now);
    update(change.id, held + part * (change.rate - held));
  }
  const double used = Committed(now);
  lending_.SetDemand(static_cast<Amount>(std::ceil(used / kMillionth)),
                     static_cast<Amount>(std::max(0.0, allocation.wanted - allowed) / kMillionth),
                     allocation.gain, now);
  if (allocation.wanted > allowed) ScheduleSend(now);
  return updates;
}

std::vector<PeerProtocol::Datagram> Checkpoints::MakeDatagrams(Time now) {
  std::vector<Datagram> datagrams;
  std::swap(datagrams, answers_);
  std::string body(1, kLivesMessage);
  const auto flush = [&](int peer) {
    if (body.size() > 1) datagrams.push_back({peer, body});
    body.resize(1);
  };
  const auto add = [&](const LifeKey& key, const Life& life, int peer) {
    AppendLife(&body, key, life);
    if (body.size() + kLifeBytes > kMaxBody) flush(peer);
  };
  for (const auto& [key, at] : pending_ends_)
    if (at <= now)
      if (const auto life = facts_.lives().find(key); life != facts_.lives().end())
        add(key, life->second, kAll);
  flush(kAll);
  std::erase_if(pending_ends_, [now](const auto& it) { return it.second <= now; });
  if (next_exchange_ <= now) {
    next_exchange_ = now + kSecond;
    std::vector<int> others;
    for (const TierMember& member : tier_.members)
      if (member.number != place_.number && TierView::Counts(member.status)) others.push_back(member.number);
    if (!others.empty() && !facts_.lives().empty()) {
      const int peer = others[random_() % others.size()];
      auto at = facts_.lives().lower_bound(next_life_);
      const std::size_t count = std::min(kMaxLivesPerMessage, facts_.lives().size());
      for (std::size_t i = 0; i < count; ++i, ++at) {
        if (at == facts_.lives().end()) at = facts_.lives().begin();
        add(at->first, at->second, peer);
      }
      flush(peer);
      next_life_ = at == facts_.lives().end() ? LifeKey{} : at->first;
    }
  }
  for (Datagram& datagram : lending_.MakeRequests(tier_, now)) datagrams.push_back(std::move(datagram));
  due_ = next_exchange_;
  for (const auto& [key, at] : pending_ends_) due_ = std::min(due_, at);
  return datagrams;
}

bool Checkpoints::HandleMessage(int peer, std::string_view body, Time now) {
  if (body.empty()) return false;
  if (body[0] != kLivesMessage) {
    const bool handled = lending_.HandleMessage(peer, body, now, &answers_);
    if (!answers_.empty()) ScheduleSend(now);
    return handled;
  }
  body.remove_prefix(1);
  if (body.size() % kLifeBytes == 1 && body.back() == '\0') body.remove_suffix(1);
  if (body.empty() || body.size() % kLifeBytes != 0) return false;
  std::vector<std::pair<LifeKey, Life>> received;
  for (; !body.empty(); body.remove_prefix(kLifeBytes)) {
    LifeKey key;
    Life life;
    if (!ReadLife(body, &key, &life) || !Facts::IsPlausible(key, life, now)) return false;
    received.emplace_back(key, life);
  }
  const Ticks oldest = (now - Facts::kHorizon) / kTick;
  for (const auto& [key, life] : received) {
    if (life.until < oldest) continue;
    facts_.Join(key, life);
    if (life.seen_by_majority)
      std::erase_if(pending_ends_, [&k = key](const auto& it) { return it.first == k; });
  }
  return true;
}

void Checkpoints::TierChanged(const TierView& view, Time) { tier_ = view; }

}  // namespace lichenlug
