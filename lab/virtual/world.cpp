#include "lab/virtual/world.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>

namespace lichenlug::lab {

using rookgw::AttemptEnded;
using rookgw::AttemptNote;
using rookgw::ListChanged;
using rookgw::ListedWorker;
using rookgw::Outcome;

namespace {

constexpr Time kCallOffPatience = kSecond;  // a call-off that a silent machine leaves unanswered
constexpr Time kStillOpen = 60 * kSecond;   // a day that has not drained so long after its end is cut off
constexpr std::size_t kLoadGroups = 40;     // rows of the heat map
constexpr double kOverloadSlack = 1.1;      // for chance, as the rule allows

std::vector<double> Amounts(const std::vector<KindModel>& kinds) {
  std::vector<double> shares;
  for (const KindModel& k : kinds) shares.push_back(k.share);
  return shares;
}

}  // namespace

rookgw::Settings ToldSettings(const Site& site, int ordinal, double job_rate) {
  rookgw::Settings s;
  s.instances = site.dispatchers, s.ordinal = ordinal;
  s.zones = site.zones, s.my_zone = ordinal % static_cast<int>(site.zones.size());
  for (const KindModel& k : site.kinds) {
    s.kinds.push_back(k.name);
    s.ramp_time = std::max(s.ramp_time, k.cold_for);
    s.cold_share = std::min(s.cold_share, k.cold_from);
  }
  for (const ClassModel& c : site.classes) {
    rookgw::ClassSettings out;
    out.name = c.name, out.aim = c.aim, out.stretch = c.stretch, out.deadline = c.deadline,
    out.worth = c.worth;
    out.late_value = c.late_worth, out.effect = c.effect, out.scope = c.scope, out.window = c.window;
    out.priority = c.priority;
    s.classes.push_back(out);
  }
  for (const TenantModel& t : site.tenants)
    s.tenants.push_back({t.name, t.share, QuotaPerS(site, t, job_rate)});
  s.over_share_worth = site.over_share_worth, s.tick = site.tick;
  s.max_attempts = site.max_attempts, s.probes = site.probes, s.cancelling = site.cancelling;
  s.retry_after = site.retry_after, s.max_retry_after = site.max_retry_after;
  s.connect_timeout = site.net.connect_timeout;
  s.list_on_request = site.discovery.asked;
  s.starts_told = site.starts_told, s.takes_told = site.takes_told;
  s.reports = site.reports.how;
  s.reports_slots = s.reports_active = site.reports.how != rookgw::Settings::Reports::kNever;
  s.fee_cross_zone = site.zones.size() > 1 ? site.fee_cross_zone : 0;
  s.ask_every = 10 * kSecond, s.drain_grace = site.drain_grace;
  s.overload_factor = site.overload_factor, s.overload_for = site.overload_for;
  return s;
}

World::World(const Day& day, const std::string& policy, std::uint64_t seed, std::uint64_t policy_seed)
    : day_(day),
      site_(day_.site),
      policy_(policy),
      seed_(seed),
      policy_seed_(policy_seed),
      faults_random_(seed, 31),
      client_random_(seed, 32),
      box_random_(seed, 33),
      discovery_random_(seed, 34),
      net_(day_, seed),
      quota_(site_.tenants.size()),
      faulted_(day_.faults.size()),
      checker_(site_),
      judge_(day_) {
  // Machine kinds by their shares, in an order drawn for the day; zones in turn; cells of neighbours in a
  // zone.
  Random make(seed, 30);
  std::vector<int> kinds;
  const std::vector<double> shares = Amounts(site_.kinds);
  double sum = 0, upto = 0;
  for (double s : shares) sum += s;
  for (std::size_t k = 0; k < shares.size(); ++k) {
    upto += shares[k];
    while (kinds.size() < std::round(upto / sum * site_.boxes)) kinds.push_back(static_cast<int>(k));
  }
  for (std::size_t i = kinds.size(); i > 1; --i) std::swap(kinds[i - 1], kinds[make.Below(i)]);
  const int zones = static_cast<int>(site_.zones.size());
  boxes_.reserve(site_.boxes);
  for (int i = 0; i < site_.boxes; ++i) {
    const KindModel& kind = site_.kinds[kinds[i]];
    const int cell = i / zones / site_.cell_size * zones + i % zones;
    boxes_.emplace_back(site_, kind, kinds[i], i % zones, cell, make.Lognormal(kind.speed, kind.speed_cv));
    boxes_.back().Start(0, site_.warm_start);
    box_ids_.push_back("box-" + std::to_string(i));
    box_by_id_[box_ids_[i]] = i;
    first_list_.push_back(
        {box_ids_[i], ListedWorker::State::kServing, boxes_[i].since, cell, kinds[i], i % zones, 1});
  }
  box_armed_.assign(boxes_.size(), kNever), toppled_.assign(boxes_.size(), 0),
      cold_work_.resize(boxes_.size());
  store_.SetRate(0, 1);
  workload_ = std::make_unique<Workload>(day_, Capacity(), seed);
  job_rate_ = workload_->rate() / day_.load;
  for (std::size_t t = 0; t < quota_.size(); ++t) quota_[t] = {0, 1e9};
  nodes_.resize(site_.dispatchers);
}

World::~World() = default;

double World::Capacity() const {
  double cores = 0;
  for (const Box& box : boxes_) cores += box.Capacity();
  return cores;
}

void World::Push(Time at, What what, std::uint32_t a, std::uint32_t b, std::uint64_t c) {
  events_.push({std::max(at, now_), order_++, what, a, b, c});
}

RunResult World::Run() {
  using Steady = std::chrono::steady_clock;
  const auto began = Steady::now();
  for (int n = 0; n < site_.dispatchers; ++n) nodes_[n].zone = n % static_cast<int>(site_.zones.size());
  for (int n = 0; n < site_.dispatchers; ++n) StartNode(n, true);
  for (std::size_t i = 0; i < day_.faults.size(); ++i) {
    Push(day_.faults[i].start, What::kFaultStart, static_cast<std::uint32_t>(i));
    Push(day_.faults[i].start + day_.faults[i].length, What::kFaultEnd, static_cast<std::uint32_t>(i));
  }
  for (int b = 0; b < site_.boxes; ++b) ArmBox(b);
  Push(kSecond, What::kSample);
  ScheduleArrival();
  Time end = kNever;
  while (!events_.empty()) {
    const Event event = events_.top();
    if (arrivals_over_) {
      end = std::min(end, std::max(now_, day_.length) + kStillOpen);
      if (jobs_.size() == 0 && tries_.size() == 0) break;
      if (event.at > end) {
        result_.drained = false;
        break;
      }
    }
    events_.pop();
    now_ = event.at;
    ++result_.events;
    Step(event);
  }
  checker_.Finish(now_);
  result_.digest = digest_.Value();
  result_.breaches = checker_.first(), result_.breach_count = checker_.count();
  result_.rule_checks = checker_.checks();
  result_.score = judge_.result();
  result_.wall_seconds = std::chrono::duration<double>(Steady::now() - began).count();
  return result_;
}

void World::Step(const Event& e) {
  const auto report_of = [&] {  // the load report that came with this event, if one did
    const auto it = carried_.find(e.order);
    if (it == carried_.end()) return rookgw::LoadReport{};
    const rookgw::LoadReport report = it->second;
    carried_.erase(it);
    return report;
  };
  const Handle handle = Handle::Unpack(e.c);
  switch (e.what) {
    case What::kArrive:
      return Arrive();
    case What::kClientSend:
      return ClientSend(handle);
    case What::kReachNode:
      return ReachNode(static_cast<int>(e.a), handle);
    case What::kReachBox:
      return ReachBox(e.c);
    case What::kConnectFailed: {
      Attempt* a = attempts_.Find(handle);
      if (a == nullptr) return;
      a->box_done = true;
      return BranchEnded(e.c, Outcome::kConnectFailed, {});
    }
    case What::kBoxStep: {
      if (box_armed_[e.a] != now_) return;
      box_armed_[e.a] = kNever;
      boxes_[e.a].Advance(now_, &news_);
      return BoxNewsCame(static_cast<int>(e.a));
    }
    case What::kStoreStep: {
      if (store_armed_ != now_) return;
      store_armed_ = kNever;
      std::uint64_t id = 0;
      while (store_.TakeEnded(now_, &id)) {
        store_.SetRate(now_, StoreRate());
        Attempt* a = attempts_.Find(Handle::Unpack(id));
        if (a == nullptr) continue;
        const int box = a->box;
        boxes_[box].Fetched(now_, id, &news_);
        BoxNewsCame(box);
      }
      return ArmStore();
    }
    case What::kNote: {
      Attempt* a = attempts_.Find(handle);
      if (a == nullptr || a->told || !Current(*a)) return;
      const auto kind = e.a == 0 ? AttemptNote::Kind::kTaken : AttemptNote::Kind::kStarted;
      return Feed(a->node, AttemptNote{a->request, a->number, kind, 0});
    }
    case What::kResult: {
      Attempt* a = attempts_.Find(handle);
      const rookgw::LoadReport report = report_of();
      if (a == nullptr) return;
      if (a->linked) GiveLinkBack(a->node, a->box, e.a != static_cast<std::uint32_t>(Outcome::kReset));
      a = attempts_.Find(handle);
      a->linked = false;
      if (!Current(*a)) return DropAttempt(e.c);
      return BranchEnded(e.c, static_cast<Outcome>(e.a), report);
    }
    case What::kCallOff: {
      Attempt* a = attempts_.Find(handle);
      if (a == nullptr) return;
      Box& box = boxes_[a->box];
      const bool was_here = box.Holds(e.c);
      const bool gone = box.CallOff(now_, e.c, &news_);
      if (gone && was_here) a->box_done = true;
      const Time back = net_.Delay(now_, box.zone, nodes_[a->node].zone);
      if (back != kNever) Push(now_ + back, What::kCalledOff, 0, 0, e.c);
      return BoxNewsCame(a->box);
    }
    case What::kCalledOff: {
      Attempt* a = attempts_.Find(handle);
      if (a == nullptr || a->told || !Current(*a)) return;
      if (a->linked && a->box_done) GiveLinkBack(a->node, a->box, true), a->linked = false;
      return BranchEnded(e.c, Outcome::kCancelled, {});
    }
    case What::kProbe: {
      const int node = static_cast<int>(e.c >> 32);
      Box& box = boxes_[e.a];
      const bool up = box.life == Box::Life::kUp || box.life == Box::Life::kDraining;
      const Time back = net_.Delay(now_, box.zone, nodes_[node].zone);
      const bool taken = up && box.Probe(now_);
      result_.probes_refused += up && !taken;
      if (taken) {  // what it is slowed by shows, unless it masks that
        const double pace = box.masks_load ? 1 : std::max(0.01, box.Pace(now_) / box.Capacity());
        const Time took = std::llround(static_cast<double>(site_.probe_work) / pace);
        ArmBox(static_cast<int>(e.a));
        Push(now_ + took, What::kProbeServed, e.a, box.epoch);
        if (back != kNever && took < site_.probe_timeout) {
          carried_[order_] = box.Report(now_, &box_random_);
          return Push(now_ + took + back, What::kProbed, e.a, 1, e.c);
        }
      }
      // Refused at once by what is full or down; nothing is heard of what is silent, cut off or too slow.
      const bool refused = !taken && box.life != Box::Life::kSilent && back != kNever;
      return Push(now_ + (refused ? back : site_.probe_timeout), What::kProbed, e.a, 0, e.c);
    }
    case What::kProbeServed:
      if (boxes_[e.a].epoch == e.b) boxes_[e.a].ProbeDone();
      return;
    case What::kProbed: {
      const int node = static_cast<int>(e.c >> 32);
      const rookgw::LoadReport report = report_of();
      if (!nodes_[node].up || nodes_[node].life != static_cast<std::uint32_t>(e.c)) return;
      return Feed(node, rookgw::ProbeEnded{box_ids_[e.a], e.b == 1, 0, report});
    }
    case What::kTimer:
      if (!nodes_[e.a].up || nodes_[e.a].life != e.b) return;
      return Feed(static_cast<int>(e.a), rookgw::TimerFired{tokens_[e.c]});
    case What::kRegistry:
      return Registered(e.c);
    case What::kListPush: {
      Node& node = nodes_[e.a];
      node.push_due = false;
      if (!node.up || node.life != e.b || !node.watching) return;
      if (Spared(FaultKind::kDiscoveryDown))
        return TellList(static_cast<int>(e.a), ListChanged::Form::kPatch);
      node.watching = !site_.discovery.asked;
      return Feed(static_cast<int>(e.a), ListChanged{ListChanged::Form::kFailed, node.version, {}});
    }
    case What::kListReply: {
      Node& node = nodes_[e.a];
      if (!node.up || node.life != e.b) return;
      if (e.c == 0)
        return Feed(static_cast<int>(e.a), ListChanged{ListChanged::Form::kFailed, node.version, {}});
      node.watching = true;
      return TellList(static_cast<int>(e.a), ListChanged::Form::kWhole);
    }
    case What::kAnswer:
      return ClientHears(handle, static_cast<Word>(e.a), static_cast<Time>(e.b) * kMillisecond);
    case What::kGiveUp:
      return EndJob(handle, JobEnd::kTooLate);
    case What::kClientLeaves: {
      Try* t = tries_.Find(handle);
      if (t == nullptr || t->answered) return;
      const int node = t->node;
      EndJob(t->job, JobEnd::kTooLate);
      Answer(e.c, Word::kFailed, Checker::Answer::kClientGone, 0);
      Feed(node, rookgw::RequestGone{e.c});
      return DropIfDone(e.c);
    }
    case What::kLastMoment: {
      Try* t = tries_.Find(handle);
      if (t == nullptr || !nodes_[t->node].up || nodes_[t->node].life != t->life) return;
      const int node = t->node;
      if (!t->answered) {
        Answer(e.c, Word::kFailed, Checker::Answer::kFailed, 0);
        Feed(node, rookgw::RequestGone{e.c});
      }
      if (t = tries_.Find(handle); t == nullptr) return;
      const std::vector<std::uint64_t> attempts = t->attempts;
      for (std::uint64_t id : attempts)
        if (Attempt* a = attempts_.Find(Handle::Unpack(id)); a != nullptr && !a->told && !a->called_off)
          BranchEnded(id, Outcome::kTimeout, {});
      return DropIfDone(e.c);
    }
    case What::kAttemptDeadline: {
      Attempt* a = attempts_.Find(handle);
      if (a == nullptr || a->told || !Current(*a)) return;
      return BranchEnded(e.c, e.a == 1 ? Outcome::kCancelled : Outcome::kTimeout, {});
    }
    case What::kFaultStart:
      return FaultStarts(e.a);
    case What::kFaultEnd:
      return FaultEnds(e.a);
    case What::kNodeDown:
      StopNode(static_cast<int>(e.a));
      return Push(now_ + static_cast<Time>(e.c), What::kNodeUp, e.a);
    case What::kNodeUp:
      return StartNode(static_cast<int>(e.a), false);
    case What::kFrontSees:
      front_.clear();
      for (std::size_t n = 0; n < nodes_.size(); ++n)
        if (nodes_[n].up || now_ < nodes_[n].down_since + site_.clients.front_notice)
          front_.push_back(static_cast<int>(n));
      return;
    case What::kSample:
      Sample();
      return Push(now_ + kSecond, What::kSample);
  }
}

// ---- Clients and front ----

void World::ScheduleArrival() {
  arrivals_over_ = !workload_->Next(&next_job_);
  if (!arrivals_over_) Push(next_job_.at, What::kArrive);
}

bool World::TakeQuota(int tenant) {
  if (tenant < 0) return false;
  const double rate = QuotaPerS(site_, site_.tenants[tenant], job_rate_);
  auto& [at, left] = quota_[tenant];
  left = std::min(std::max(2.0, 2 * rate), left + rate * static_cast<double>(now_ - at) / kSecond);
  at = now_;
  if (left < 1) return true;
  left -= 1;
  return false;
}

void World::Arrive() {
  JobState job;
  job.spec = next_job_;
  job.over_share = TakeQuota(job.spec.tenant);
  job.deadline = now_ + site_.classes[job.spec.cls].deadline;
  job.work = job.spec.work;
  judge_.Offered(job.spec, job.over_share);
  const Time deadline = job.deadline;
  const Handle handle = jobs_.Insert(std::move(job));
  Push(deadline + site_.answer_slack + 4 * site_.net.client, What::kGiveUp, 0, 0, handle.Packed());
  ClientSend(handle);
  ScheduleArrival();
}

void World::ClientSend(Handle handle) {
  JobState* job = jobs_.Find(handle);
  if (job == nullptr) return;
  const std::uint64_t draw = job->spec.seed * 0x9e3779b97f4a7c15ULL + job->tries * 0xbf58476d1ce4e5b9ULL;
  ++job->tries;
  const Time way = net_.ClientDelay();
  if (front_.empty())
    return Push(now_ + 2 * way, What::kAnswer, static_cast<std::uint32_t>(Word::kUnreachable), 0,
                handle.Packed());
  const int node = front_[(draw ^ draw >> 31) % front_.size()];
  Push(now_ + way, What::kReachNode, static_cast<std::uint32_t>(node), 0, handle.Packed());
}

void World::ReachNode(int n, Handle handle) {
  JobState* job = jobs_.Find(handle);
  if (job == nullptr) return;
  Node& node = nodes_[n];
  if (!node.up)
    return Push(now_ + net_.ClientDelay(), What::kAnswer, static_cast<std::uint32_t>(Word::kUnreachable), 0,
                handle.Packed());
  Try fresh;
  fresh.job = handle, fresh.node = n, fresh.life = node.life, fresh.cls = job->spec.cls;
  fresh.answer_by = job->deadline, fresh.work = job->work, fresh.slots = job->spec.slots;
  fresh.job_number = job->spec.number, fresh.key = job->spec.key;
  const std::uint64_t id = tries_.Insert(std::move(fresh)).Packed();
  checker_.Took(now_, n, id, job->spec.cls, job->deadline);
  Push(job->deadline, What::kLastMoment, 0, 0, id);
  if (site_.clients.impatient > 0 && client_random_.Chance(site_.clients.impatient))
    Push(now_ + static_cast<Time>(client_random_.Between(0.1, 1) * (job->deadline - now_)),
         What::kClientLeaves, 0, 0, id);
  ++result_.arrivals;
  rookgw::RequestArrived e;
  e.id = id;
  e.key = job->spec.key;
  e.slots = job->spec.slots, e.effort = job->spec.effort;
  e.valid_until = job->deadline + node.offset;
  e.tenant = job->spec.tenant, e.cls = job->spec.cls;
  Feed(n, std::move(e));
}

void World::ClientHears(Handle handle, Word word, Time come_back) {
  JobState* job = jobs_.Find(handle);
  if (job == nullptr) return;  // it has given up
  if (word == Word::kServed) return EndJob(handle, JobEnd::kServed);
  const ClassModel& cls = site_.classes[job->spec.cls];
  double storm = 1;
  bool no_backoff = false;
  for (const Fault& f : day_.faults)
    if (f.kind == FaultKind::kRetryStorm && f.Active(now_)) storm *= f.size, no_backoff = true;
  const bool harmless = word == Word::kRefused || word == Word::kUnreachable ||
                        cls.effect == rookgw::Effect::kRepeatable ||
                        (cls.effect == rookgw::Effect::kKeyed && cls.scope == rookgw::KeyScope::kAll &&
                         now_ < job->spec.at + cls.window);
  const JobEnd end = word == Word::kRefused ? JobEnd::kRefused : JobEnd::kFailed;
  if (!harmless || job->tries > site_.clients.retries * storm) return EndJob(handle, end);
  Time wait = site_.clients.backoff << (site_.clients.backoff_doubles ? std::min(job->tries - 1, 10) : 0);
  wait = static_cast<Time>(static_cast<double>(wait) * client_random_.Between(0.5, 1.5));
  if (no_backoff) wait = 10 * kMillisecond;
  if (come_back > 0 && client_random_.Chance(site_.clients.honour)) wait = std::max(wait, come_back);
  if (now_ + wait >= job->deadline) return EndJob(handle, end);
  Push(now_ + wait, What::kClientSend, 0, 0, handle.Packed());
}

void World::EndJob(Handle handle, JobEnd end) {
  const JobState* job = jobs_.Find(handle);
  if (job == nullptr) return;
  judge_.Ended(job->spec, job->over_share, end, now_ - job->spec.at);
  digest_.Add(job->spec.number << 2 | static_cast<std::uint64_t>(end));
  digest_.Add(static_cast<std::uint64_t>(now_));
  jobs_.Erase(handle);
}

// ---- Dispatchers ----

void World::StartNode(int n, bool first) {
  Node& node = nodes_[n];
  if (node.up) return;
  ++node.life;
  node.up = true, node.watching = !site_.discovery.asked, node.push_due = false;
  node.offset = 0;
  PolicyInputs inputs;
  inputs.settings = ToldSettings(site_, n, job_rate_);
  inputs.seed = (seed_ + 0x9e3779b9 * policy_seed_) * 1000003 + n * 7919 + node.life;
  inputs.truth = this;
  node.policy = MakePolicy(policy_, std::move(inputs));
  actions_.clear();
  node.policy->Start(now_, &actions_);
  const std::vector<rookgw::Action> actions = actions_;
  for (const rookgw::Action& action : actions) std::visit([&](const auto& a) { Do(n, a); }, action);
  const std::vector<ListedWorker> list = ListAt(node.version);
  for (const ListedWorker& entry : list) {
    const int box = box_by_id_.at(entry.id);
    node.known_start[box] = entry.since;
    checker_.Told(now_, n, box, entry.state);
  }
  Feed(n, ListChanged{ListChanged::Form::kSaved, node.version, list});
  if (!first) Push(now_, What::kFrontSees);
  if (first && n + 1 == site_.dispatchers) {
    for (int i = 0; i < site_.dispatchers; ++i) front_.push_back(i);
  }
}

void World::StopNode(int n) {
  Node& node = nodes_[n];
  if (!node.up) return;
  node.up = false, node.down_since = now_;
  node.policy.reset();
  node.events.clear();
  for (auto& [box, link] : node.links)
    if (link.epoch == boxes_[box].epoch) boxes_[box].connections -= link.open;
  node.links.clear(), node.known_start.clear();
  checker_.Restarted(n);
  std::vector<std::uint64_t> attempts;
  tries_.ForEach([&](Handle handle, Try& t) {
    if (t.node != n) return;
    if (!t.answered)
      Push(now_ + net_.ClientDelay(), What::kAnswer, static_cast<std::uint32_t>(Word::kLost), 0,
           t.job.Packed());
    attempts.insert(attempts.end(), t.attempts.begin(), t.attempts.end());
    tries_.Erase(handle);
  });
  for (std::uint64_t id : attempts)
    if (Attempt* a = attempts_.Find(Handle::Unpack(id))) a->linked = false, DropAttempt(id);
  Push(now_ + site_.clients.front_notice, What::kFrontSees);
}

void World::Feed(int n, rookgw::Event event) {
  using Steady = std::chrono::steady_clock;
  Node& node = nodes_[n];
  node.events.push_back(std::move(event));
  if (std::exchange(node.feeding, true)) return;
  std::vector<rookgw::Action> actions;
  while (!node.events.empty() && node.up) {
    const rookgw::Event next = std::move(node.events.front());
    node.events.pop_front();
    actions.clear();
    const auto began = Steady::now();
    node.policy->Handle(now_ + node.offset, next, &actions);
    const double took = std::chrono::duration<double>(Steady::now() - began).count();
    result_.policy_seconds += took, ++result_.policy_events;
    result_.seconds_by_event[next.index()] += took, ++result_.count_by_event[next.index()];
    digest_.Add(static_cast<std::uint64_t>(now_));
    digest_.Add(static_cast<std::uint64_t>(n) << 16 | next.index() << 8 | actions.size());
    for (const rookgw::Action& action : actions) {
      digest_.Add(action.index());
      std::visit([&](const auto& a) { Do(n, a); }, action);
    }
  }
  node.feeding = false;
}

bool World::Reachable(int node, int box) const {
  return net_.CanConnect(now_, nodes_[node].zone, boxes_[box].zone);
}

// An idle connection or a new one; false: the box takes no more.
bool World::TakeLink(int n, int b, bool* fresh) {
  Box& box = boxes_[b];
  Link& link = nodes_[n].links[b];
  if (link.epoch != box.epoch) link = {box.epoch, 0, {}};
  const auto kept =
      std::ranges::find_if(link.idle, [&](Time since) { return now_ - since < site_.net.idle_close; });
  const int closed = static_cast<int>(kept - link.idle.begin());
  link.idle.erase(link.idle.begin(), kept);
  link.open -= closed, box.connections -= closed;
  *fresh = link.idle.empty();
  if (!*fresh) {
    link.idle.pop_back();
    return true;
  }
  if (box.connections >= site_.kinds[box.kind_index].most_connections) return false;
  ++link.open, ++box.connections;
  return true;
}

void World::GiveLinkBack(int n, int b, bool keep) {
  if (!nodes_[n].up) return;
  const auto it = nodes_[n].links.find(b);
  if (it == nodes_[n].links.end() || it->second.epoch != boxes_[b].epoch) return;
  if (keep)
    it->second.idle.push_back(now_);
  else
    --it->second.open, --boxes_[b].connections;
}

void World::Do(int n, const rookgw::Dispatch& action) {
  Try* t = tries_.Find(Handle::Unpack(action.id));
  const int b = box_by_id_.at(action.worker);
  const Box& box = boxes_[b];
  digest_.Add(static_cast<std::uint64_t>(b));
  if (t == nullptr) return checker_.Sent(now_, action.id, 0, b, box.zone, box.cell);
  const JobState* job = jobs_.Find(t->job);
  Attempt fresh;
  fresh.request = action.id, fresh.node = n, fresh.box = b, fresh.life = nodes_[n].life, fresh.cls = t->cls;
  fresh.number = static_cast<int>(t->attempts.size());
  fresh.epoch = box.epoch, fresh.sent = now_;
  fresh.slots = t->slots, fresh.work = job != nullptr ? job->work : t->work;
  fresh.key = job != nullptr ? job->spec.key : 0, fresh.job_number = t->job_number;
  fresh.priority = site_.classes[t->cls].priority;
  const int number = fresh.number;
  const std::uint64_t id = attempts_.Insert(std::move(fresh)).Packed();
  t->attempts.push_back(id);
  checker_.Sent(now_, action.id, number, b, box.zone, box.cell);
  Attempt& a = *attempts_.Find(Handle::Unpack(id));
  if (t->answered || number >= site_.max_attempts || now_ >= t->answer_by) {
    a.box_done = true;
    return BranchEnded(id, Outcome::kMoot, {});
  }
  judge_.Sent(now_, nodes_[n].zone != box.zone);
  if (action.give_up_after > 0) Push(now_ + action.give_up_after, What::kAttemptDeadline, 0, 0, id);
  const NetworkModel& net = site_.net;
  bool new_link = false;
  const bool linked = TakeLink(n, b, &new_link);
  if (new_link && (!Reachable(n, b) || box.life == Box::Life::kSilent))
    return Push(now_ + net.connect_timeout, What::kConnectFailed, 0, 0, id);
  const Time way = net_.Delay(now_, nodes_[n].zone, box.zone);
  if (!linked) return Push(now_ + net.connect_timeout, What::kConnectFailed, 0, 0, id);
  if (box.life == Box::Life::kDown) {
    GiveLinkBack(n, b, false);
    return Push(now_ + 2 * std::min(way, net.connect_timeout), What::kConnectFailed, 0, 0, id);
  }
  a.linked = true;
  if (new_link) boxes_[b].Handshake(now_), ArmBox(b);
  if (way == kNever) {
    a.box_done = true;
    return;
  }
  const Time shake = new_link ? static_cast<Time>(net.handshake_rtts * 2 * static_cast<double>(way)) : 0;
  Push(now_ + shake + way, What::kReachBox, 0, 0, id);
}

void World::Do(int, const rookgw::Decline& a) {
  Answer(a.id, Word::kRefused, Checker::Answer::kRefused,
         site_.retry_after ? std::min(a.retry_after, site_.max_retry_after) : 0);
  DropIfDone(a.id);
}

void World::Do(int, const rookgw::Fail& a) {
  Answer(a.id, Word::kFailed, Checker::Answer::kFailed, 0);
  DropIfDone(a.id);
}

void World::Do(int n, const rookgw::CancelAttempt& action) {
  Try* t = tries_.Find(Handle::Unpack(action.id));
  if (t == nullptr || action.attempt >= static_cast<int>(t->attempts.size())) return;
  const std::uint64_t id = t->attempts[action.attempt];
  Attempt* a = attempts_.Find(Handle::Unpack(id));
  if (a == nullptr || a->told || std::exchange(a->called_off, true)) return;
  const Time way = net_.Delay(now_, nodes_[n].zone, boxes_[a->box].zone);
  const bool heard =
      way != kNever && boxes_[a->box].life != Box::Life::kSilent && boxes_[a->box].epoch == a->epoch;
  if (heard) Push(now_ + way, What::kCallOff, 0, 0, id);
  Push(now_ + kCallOffPatience, What::kAttemptDeadline, 1, 0, id);
}

void World::Do(int n, const rookgw::Probe& action) {
  const int b = box_by_id_.at(action.worker);
  const std::uint64_t asker = static_cast<std::uint64_t>(n) << 32 | nodes_[n].life;
  const Time way = net_.Delay(now_, nodes_[n].zone, boxes_[b].zone);
  if (way == kNever || !Reachable(n, b) || boxes_[b].life == Box::Life::kSilent)
    return Push(now_ + site_.probe_timeout, What::kProbed, static_cast<std::uint32_t>(b), 0, asker);
  Push(now_ + way, What::kProbe, static_cast<std::uint32_t>(b), 0, asker);
}

void World::Do(int n, const rookgw::SetTimer& action) {
  auto [it, fresh] = token_index_.try_emplace(action.token, static_cast<std::uint32_t>(tokens_.size()));
  if (fresh) tokens_.push_back(action.token);
  Push(now_ + action.span, What::kTimer, static_cast<std::uint32_t>(n), nodes_[n].life, it->second);
}

void World::Do(int n, const rookgw::Subscribe&) {
  const DiscoveryModel& d = site_.discovery;
  const std::uint32_t node = static_cast<std::uint32_t>(n), life = nodes_[n].life;
  const Time way = 2 * net_.ClientDelay();
  if (!Spared(FaultKind::kDiscoveryDown)) return Push(now_ + way, What::kListReply, node, life, 0);
  const Time begins = std::max(now_, discovery_busy_until_);
  const Time takes = static_cast<Time>(static_cast<double>(boxes_.size()) / d.lines_per_s * kSecond);
  if (begins + takes - now_ > d.timeout) return Push(now_ + d.timeout, What::kListReply, node, life, 0);
  discovery_busy_until_ = begins + takes;
  Push(begins + takes + way, What::kListReply, node, life, 1);
}

void World::Answer(std::uint64_t request, Word word, Checker::Answer kind, Time come_back) {
  Try* t = tries_.Find(Handle::Unpack(request));
  if (t == nullptr || std::exchange(t->answered, true)) return;
  checker_.Answered(now_, request, kind);
  if (kind == Checker::Answer::kClientGone) return;
  Push(now_ + net_.ClientDelay(), What::kAnswer, static_cast<std::uint32_t>(word),
       static_cast<std::uint32_t>(come_back / kMillisecond), t->job.Packed());
}

void World::BranchEnded(std::uint64_t id, Outcome outcome, const rookgw::LoadReport& report) {
  Attempt* a = attempts_.Find(Handle::Unpack(id));
  if (a == nullptr || std::exchange(a->told, true)) return;  // one outcome only: the first
  const std::uint64_t request = a->request;
  Try* t = tries_.Find(Handle::Unpack(request));
  if (t == nullptr) return DropAttempt(id);
  checker_.Ended(now_, request, a->number, outcome);
  if (outcome == Outcome::kServed) Answer(request, Word::kServed, Checker::Answer::kServed, 0);
  AttemptEnded ended;
  ended.id = request, ended.attempt = a->number, ended.worker = box_ids_[a->box], ended.outcome = outcome;
  ended.complete = t->answered, ended.took = now_ - a->sent, ended.report = report;
  const int node = a->node;
  t->attempts[a->number] = 0;
  DropAttempt(id);
  Feed(node, std::move(ended));
  DropIfDone(request);
}

// A transaction is kept until its last branch is over.
void World::DropIfDone(std::uint64_t request) {
  Try* t = tries_.Find(Handle::Unpack(request));
  if (t == nullptr || !t->answered) return;
  for (std::uint64_t id : t->attempts)
    if (id != 0) return;
  tries_.Erase(Handle::Unpack(request));
}

// An attempt is kept until neither the dispatcher nor the box has it.
void World::DropAttempt(std::uint64_t id) {
  Attempt* a = attempts_.Find(Handle::Unpack(id));
  if (a == nullptr) return;
  const bool told = a->told || !Current(*a);
  if (told && a->box_done && !a->linked) attempts_.Erase(Handle::Unpack(id));
}

// ---- Boxes ----

void World::ReachBox(std::uint64_t id) {
  Attempt* a = attempts_.Find(Handle::Unpack(id));
  if (a == nullptr) return;
  Box& box = boxes_[a->box];
  if (box.life == Box::Life::kSilent) {  // nobody will ever say
    a->box_done = true, a->linked = false;
    return DropAttempt(id);
  }
  if (box.life == Box::Life::kDown || box.epoch != a->epoch) return Result(id, Outcome::kReset);
  NoteColdWork(a->box, *a);
  if (box.life == Box::Life::kDown) return Result(id, Outcome::kReset);  // that was too much for it
  if (box.fail_share > 0 && box_random_.Chance(box.fail_share)) return Result(id, Outcome::kError);
  const int b = a->box;
  const BoxJob job{id, a->slots, a->work, a->key, a->priority, site_.keys.setup > 0};
  if (!box.Offer(now_, job, &news_)) {
    BoxNewsCame(b);
    return Result(id, Outcome::kFull);
  }
  if (site_.takes_told) {
    const Time way = net_.Delay(now_, box.zone, nodes_[a->node].zone);
    if (way != kNever) Push(now_ + way, What::kNote, 0, 0, id);
  }
  BoxNewsCame(b);
}

// An attempt has come to its end at the box; word of it goes back.
void World::Result(std::uint64_t id, Outcome outcome) {
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

void World::BoxNewsCame(int b) {
  std::vector<BoxNews> news;
  news.swap(news_);
  Box& box = boxes_[b];
  for (const BoxNews& item : news) {
    Attempt* a = attempts_.Find(Handle::Unpack(item.id));
    if (a == nullptr) continue;
    switch (item.kind) {
      case BoxNews::Kind::kStarted: {
        checker_.Ran(now_, a->job_number, a->request, a->cls, b, box.zone, box.cell);
        const Time way = site_.starts_told ? net_.Delay(now_, box.zone, nodes_[a->node].zone) : kNever;
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

void World::ArmBox(int b) {
  const Time next = std::max(boxes_[b].NextAt(), now_);
  if (next == kNever || next == box_armed_[b]) return;
  box_armed_[b] = next;
  Push(next, What::kBoxStep, static_cast<std::uint32_t>(b));
}

double World::StoreRate() const {
  double brown = 1;
  for (const Fault& f : day_.faults)
    if (f.kind == FaultKind::kStore && f.Active(now_)) brown *= f.size;
  const double fetches = site_.keys.store_fetches / std::max(1.0, brown);
  if (site_.keys.store_fetches <= 0) return 1;
  return std::min(1.0, fetches / std::max<double>(1, static_cast<double>(store_.size())));
}

void World::ArmStore() {
  const Time next = std::max(store_.NextEnd(), now_);
  if (next == kNever || next == store_armed_) return;
  store_armed_ = next;
  Push(next, What::kStoreStep);
}

// A cold box that gets more than its multiple of what it can do now, over the rule's span, falls and stays
// down.
void World::NoteColdWork(int b, const Attempt& a) {
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

void World::StopBox(int b, Box::Life life) {
  boxes_[b].Stop(now_, life, &news_);
  BoxNewsCame(b);
}

void World::StartBox(int b, bool told) {
  if (toppled_[b]) return;
  StopBox(b, Box::Life::kDown);  // what an earlier process still held
  boxes_[b].Start(now_, false);
  cold_work_[b].clear();
  if (told) Register(b, ListedWorker::State::kServing, site_.discovery.notice_start);
  ArmBox(b);
}

// ---- Discovery ----

bool World::Spared(FaultKind kind) const {
  return std::ranges::none_of(day_.faults, [&](const Fault& f) { return f.kind == kind && f.Active(now_); });
}

void World::Register(int b, ListedWorker::State state, Time after) {
  const Box& box = boxes_[b];
  ListedWorker entry{box_ids_[b], state, box.since, box.cell, box.kind_index, box.zone, 1};
  changes_.push_back({b, std::move(entry)});
  Push(now_ + after, What::kRegistry, 0, 0, changes_.size() - 1);
}

void World::Registered(std::uint64_t change) {
  log_.push_back(change);
  for (std::size_t n = 0; n < nodes_.size(); ++n) {
    Node& node = nodes_[n];
    if (!node.up || !node.watching || std::exchange(node.push_due, true)) continue;
    const Time wait =
        static_cast<Time>(discovery_random_.Uniform() * static_cast<double>(site_.discovery.period));
    Push(now_ + wait, What::kListPush, static_cast<std::uint32_t>(n), node.life);
  }
}

std::vector<ListedWorker> World::ListAt(std::int64_t version) const {
  std::vector<ListedWorker> list = first_list_;
  std::unordered_map<std::string, std::size_t> at;
  for (std::size_t i = 0; i < list.size(); ++i) at[list[i].id] = i;
  for (std::int64_t v = 0; v < version; ++v) {
    const ListedWorker& entry = changes_[log_[v]].entry;
    const auto [it, fresh] = at.try_emplace(entry.id, list.size());
    if (fresh)
      list.push_back(entry);
    else
      list[it->second] = entry;
  }
  std::erase_if(list, [](const ListedWorker& e) { return e.state == ListedWorker::State::kGone; });
  return list;
}

void World::TellList(int n, ListChanged::Form form) {
  Node& node = nodes_[n];
  const std::int64_t version = static_cast<std::int64_t>(log_.size());
  std::vector<ListedWorker> entries;
  const bool half = !Spared(FaultKind::kDiscoveryHalf);
  if (half) form = ListChanged::Form::kWhole;
  if (form == ListChanged::Form::kPatch) {
    for (std::int64_t v = node.version; v < version; ++v) entries.push_back(changes_[log_[v]].entry);
  } else {
    entries = ListAt(version);
    if (half)
      for (std::size_t i = 0; i < entries.size(); ++i)
        if (i % 2 == 1) entries[i].state = ListedWorker::State::kGone;
    if (half)
      std::erase_if(entries, [](const ListedWorker& e) { return e.state == ListedWorker::State::kGone; });
    // Who is not in a whole list is gone.
    std::vector<char> named(boxes_.size());
    for (const ListedWorker& e : entries) named[box_by_id_.at(e.id)] = 1;
    for (std::size_t b = 0; b < boxes_.size(); ++b)
      if (!named[b]) checker_.Told(now_, n, static_cast<int>(b), ListedWorker::State::kGone);
  }
  for (const ListedWorker& entry : entries) {
    const int box = box_by_id_.at(entry.id);
    if (entry.id == box_ids_[box]) {  // the machine that is there now
      checker_.Told(now_, n, box, entry.state);
      node.known_start[box] = entry.since;
    }
  }
  node.version = version;
  if (form == ListChanged::Form::kPatch && entries.empty()) return;
  Feed(n, ListChanged{form, version, entries});
}

// ---- Faults ----

// A share of n, drawn for this fault alone, in order.
std::vector<int> World::PartOf(std::size_t i, int n) {
  Random draw(seed_, 1000 + i);
  std::vector<int> all(n);
  for (int k = 0; k < n; ++k) all[k] = k;
  for (int k = n; k > 1; --k) std::swap(all[k - 1], all[draw.Below(k)]);
  all.resize(std::clamp<std::size_t>(static_cast<std::size_t>(std::llround(day_.faults[i].part * n)), 1, n));
  std::ranges::sort(all);
  return all;
}

void World::FaultStarts(std::size_t i) {
  const Fault& f = day_.faults[i];
  const int boxes = static_cast<int>(boxes_.size());
  auto each = [&](auto call) {
    faulted_[i] = PartOf(i, boxes);
    for (int b : faulted_[i]) call(b);
  };
  switch (f.kind) {
    case FaultKind::kVanish:
      return each([&](int b) {
        if (toppled_[b]) return;
        StopBox(b, Box::Life::kSilent);
        Register(b, ListedWorker::State::kGone, site_.discovery.notice_silent);
      });
    case FaultKind::kKill:
      return each([&](int b) {
        if (toppled_[b]) return;
        StopBox(b, Box::Life::kDown);
        Register(b, ListedWorker::State::kGone, site_.discovery.notice);
      });
    case FaultKind::kReplace:
      return each([&](int b) {
        if (toppled_[b]) return;
        StopBox(b, Box::Life::kDown);
        Register(b, ListedWorker::State::kGone, site_.discovery.notice);
        box_ids_[b] += "r";  // another machine at the same place
        box_by_id_[box_ids_[b]] = b;
        StartBox(b, true);
      });
    case FaultKind::kShrink:
      return each([&](int b) {
        if (toppled_[b]) return;
        boxes_[b].Drain(now_, &news_);
        BoxNewsCame(b);
        Register(b, ListedWorker::State::kDraining, site_.discovery.notice);
      });
    case FaultKind::kSlow:
    case FaultKind::kGrey:
      return each([&](int b) {
        boxes_[b].Advance(now_, &news_);
        boxes_[b].SetSlow(now_, std::max(f.size, 1e-3));
        boxes_[b].masks_load = f.kind == FaultKind::kGrey;
        BoxNewsCame(b);
      });
    case FaultKind::kFail:
      return each([&](int b) { boxes_[b].fail_share = std::min(f.size, 1.0); });
    case FaultKind::kLie:
      return each([&](int b) { boxes_[b].lies = true; });
    case FaultKind::kRoll: {
      faulted_[i] = PartOf(i, site_.dispatchers);
      const Time step = f.length / static_cast<Time>(faulted_[i].size());
      for (std::size_t k = 0; k < faulted_[i].size(); ++k)
        Push(now_ + static_cast<Time>(k) * step, What::kNodeDown, static_cast<std::uint32_t>(faulted_[i][k]),
             0, static_cast<std::uint64_t>(f.size * kSecond));
      return;
    }
    case FaultKind::kClockJump:
      faulted_[i] = PartOf(i, site_.dispatchers);
      for (int n : faulted_[i]) nodes_[n].offset += static_cast<Time>(f.size * kSecond);
      return;
    case FaultKind::kStore:
      store_.SetRate(now_, StoreRate());
      return ArmStore();
    default:
      return;  // looked up where it counts
  }
}

void World::FaultEnds(std::size_t i) {
  const Fault& f = day_.faults[i];
  // A fault that another one of the same kind still holds on a box ends only for the others.
  auto still = [&](int b) {
    for (std::size_t j = 0; j < day_.faults.size(); ++j)
      if (j != i && day_.faults[j].kind == f.kind && day_.faults[j].Active(now_) &&
          std::ranges::binary_search(faulted_[j], b))
        return true;
    return false;
  };
  for (int b : faulted_[i]) {
    if (f.kind == FaultKind::kRoll || f.kind == FaultKind::kClockJump) continue;
    if (still(b)) continue;
    switch (f.kind) {
      case FaultKind::kVanish:
      case FaultKind::kKill:
      case FaultKind::kShrink:
        StartBox(b, true);
        break;
      case FaultKind::kSlow:
      case FaultKind::kGrey:
        boxes_[b].Advance(now_, &news_);
        boxes_[b].SetSlow(now_, 1), boxes_[b].masks_load = false;
        BoxNewsCame(b);
        break;
      case FaultKind::kFail:
        boxes_[b].fail_share = 0;
        break;
      case FaultKind::kLie:
        boxes_[b].lies = false;
        break;
      default:
        break;
    }
  }
  if (f.kind == FaultKind::kStore) store_.SetRate(now_, StoreRate()), ArmStore();
  // What changed meanwhile was not told to those who could not be reached.
  if (f.kind == FaultKind::kDiscoveryHalf)
    for (std::size_t n = 0; n < nodes_.size(); ++n)
      if (nodes_[n].up && nodes_[n].watching) TellList(static_cast<int>(n), ListChanged::Form::kWhole);
}

// ---- What is measured ----

void World::Sample() {
  const std::size_t groups = std::min(kLoadGroups, boxes_.size());
  std::vector<double> used(groups), cores(groups);
  for (std::size_t b = 0; b < boxes_.size(); ++b) {
    const std::size_t group = b * groups / boxes_.size();
    used[group] += boxes_[b].UsedCores();
    cores[group] += site_.kinds[boxes_[b].kind_index].cores;
  }
  for (std::size_t g = 0; g < groups; ++g) used[g] /= cores[g];
  judge_.LoadOf(now_, used);
}

double World::EndAt(const std::string& id, rookgw::RequestId job) const {
  const auto it = box_by_id_.find(id);
  const Try* t = const_cast<World*>(this)->tries_.Find(Handle::Unpack(job));
  if (it == box_by_id_.end() || t == nullptr) return 1e18;
  const Box& box = boxes_[it->second];
  if (box.life != Box::Life::kUp || box.fail_share > 0.5) return 1e18;
  const double pace = std::max(box.Pace(now_), 1e-9);
  const bool fetch =
      site_.keys.setup > 0 && site_.kinds[box.kind_index].keys_kept > 0 && !box.KeepsKey(t->key);
  const double own =
      t->work * box.Slots() / pace + (fetch ? site_.keys.setup / std::max(StoreRate(), 1e-3) : 0);
  const double wait = box.FreeSlots() >= t->slots && box.Waiting() == 0 ? 0 : box.Backlog(now_) / pace;
  return wait + own;
}

double World::WorkOf(rookgw::RequestId id) const {
  const Try* t = const_cast<World*>(this)->tries_.Find(Handle::Unpack(id));
  return t != nullptr ? t->work : 0;
}

nlohmann::json World::ReportJson() const {
  nlohmann::json out = judge_.ToJson();
  out["policy"] = policy_, out["seed"] = seed_, out["day"] = day_.file, out["site"] = site_.name;
  out["boxes"] = site_.boxes, out["dispatchers"] = site_.dispatchers, out["load"] = day_.load;
  char digest[20];
  std::snprintf(digest, sizeof digest, "%016llx", static_cast<unsigned long long>(result_.digest));
  out["digest"] = digest, out["drained"] = result_.drained, out["events"] = result_.events;
  out["toppled"] = result_.toppled, out["rule_checks"] = result_.rule_checks;
  nlohmann::json& faults = out["faults"] = nlohmann::json::array();
  for (const Fault& f : day_.faults)
    faults.push_back({{"what", FaultName(f.kind)},
                      {"start_s", static_cast<double>(f.start) / kSecond},
                      {"length_s", static_cast<double>(f.length) / kSecond},
                      {"part", f.part},
                      {"size", f.size}});
  nlohmann::json& breaches = out["breaches"] = nlohmann::json::array();
  for (const auto& [rule, breach] : result_.breaches)
    breaches.push_back({{"rule", rule},
                        {"at_us", breach.at},
                        {"what", breach.what},
                        {"box", breach.box},
                        {"count", result_.breach_count.at(rule)}});
  return out;
}

}  // namespace lichenlug::lab
