#include "lab/virtual/world.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>

namespace lichenlug::lab {

using rookgw::AttemptUpdate;
using rookgw::ListChanged;
using rookgw::ListedWorker;
using rookgw::Outcome;

namespace {

constexpr Time kMaxDrainTime =
    60 * kSecond;  // a day whose jobs are unfinished this long after its end is ended

std::vector<double> KindShares(const std::vector<KindModel>& kinds) {
  std::vector<double> shares;
  for (const KindModel& kind : kinds) shares.push_back(kind.share);
  return shares;
}

}  // namespace

rookgw::Settings ToldSettings(const Site& site, int ordinal, double job_rate) {
  rookgw::Settings settings;
  settings.instances = site.dispatchers, settings.ordinal = ordinal;
  settings.zones = site.zones, settings.my_zone = ordinal % static_cast<int>(site.zones.size());
  for (const KindModel& kind : site.kinds) {
    settings.kinds.push_back(kind.name);
    settings.ramp_time = std::max(settings.ramp_time, kind.cold_for);
    settings.cold_share = std::min(settings.cold_share, kind.cold_from);
  }
  for (const ClassModel& class_model : site.classes) {
    rookgw::ClassSettings out;
    out.name = class_model.name, out.aim = class_model.aim, out.stretch = class_model.stretch,
    out.deadline = class_model.deadline, out.worth = class_model.worth;
    out.late_value = class_model.late_worth, out.effect = class_model.effect, out.scope = class_model.scope,
    out.window = class_model.window;
    out.priority = class_model.priority;
    settings.classes.push_back(out);
  }
  for (const TenantModel& tenant : site.tenants)
    settings.tenants.push_back({tenant.name, tenant.share, QuotaPerS(site, tenant, job_rate)});
  settings.over_share_worth = site.over_share_worth, settings.tick = site.tick;
  settings.max_attempts = site.max_attempts, settings.probes = site.probes,
  settings.cancelling = site.cancelling;
  settings.retry_after = site.retry_after, settings.max_retry_after = site.max_retry_after;
  settings.connect_timeout = site.net.connect_timeout;
  settings.list_on_request = site.discovery.asked;
  settings.reports_starts = site.reports_starts, settings.reports_accepts = site.reports_accepts;
  settings.reports = site.reports.how;
  settings.reports_slots = settings.reports_active = site.reports.how != rookgw::Settings::Reports::kNever;
  settings.fee_cross_zone = site.zones.size() > 1 ? site.fee_cross_zone : 0;
  settings.poll_interval = 10 * kSecond, settings.drain_grace = site.drain_grace;
  settings.overload_factor = site.overload_factor, settings.overload_for = site.overload_for;
  return settings;
}

Testbed::Testbed(const Day& day, const std::string& policy, std::uint64_t seed, std::uint64_t policy_seed)
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
      affected_(day_.faults.size()),
      checker_(site_),
      score_keeper_(day_) {
  // Assigns machine kinds by their shares in a random order, zones round robin, and cells of neighbouring
  // boxes of a zone.
  Random random(seed, 30);
  std::vector<int> kinds;
  const std::vector<double> shares = KindShares(site_.kinds);
  double sum = 0, cumulative = 0;
  for (double share : shares) sum += share;
  for (std::size_t k = 0; k < shares.size(); ++k) {
    cumulative += shares[k];
    while (kinds.size() < std::round(cumulative / sum * site_.boxes)) kinds.push_back(static_cast<int>(k));
  }
  for (std::size_t i = kinds.size(); i > 1; --i) std::swap(kinds[i - 1], kinds[random.Below(i)]);
  const int zones = static_cast<int>(site_.zones.size());
  boxes_.reserve(site_.boxes);
  for (int i = 0; i < site_.boxes; ++i) {
    const KindModel& kind = site_.kinds[kinds[i]];
    const int cell = i / zones / site_.cell_size * zones + i % zones;
    boxes_.emplace_back(site_, kind, kinds[i], i % zones, cell, random.Lognormal(kind.speed, kind.speed_cv));
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
  for (std::size_t tenant = 0; tenant < quota_.size(); ++tenant) quota_[tenant] = {0, 1e9};
  nodes_.resize(site_.dispatchers);
}

Testbed::~Testbed() = default;

double Testbed::Capacity() const {
  double cores = 0;
  for (const Box& box : boxes_) cores += box.Capacity();
  return cores;
}

void Testbed::Push(Time at, EventType type, std::uint32_t a, std::uint32_t b, std::uint64_t c) {
  events_.push({std::max(at, now_), order_++, type, a, b, c});
}

RunResult Testbed::Run() {
  using Steady = std::chrono::steady_clock;
  const auto began = Steady::now();
  for (int node_index = 0; node_index < site_.dispatchers; ++node_index)
    nodes_[node_index].zone = node_index % static_cast<int>(site_.zones.size());
  for (int node_index = 0; node_index < site_.dispatchers; ++node_index) StartNode(node_index, true);
  for (std::size_t i = 0; i < day_.faults.size(); ++i) {
    Push(day_.faults[i].start, EventType::kFaultStart, static_cast<std::uint32_t>(i));
    Push(day_.faults[i].start + day_.faults[i].length, EventType::kFaultEnd, static_cast<std::uint32_t>(i));
  }
  for (int box_index = 0; box_index < site_.boxes; ++box_index) ArmBox(box_index);
  Push(kSecond, EventType::kSample);
  ScheduleArrival();
  Time end = kNever;
  while (!events_.empty()) {
    const Event event = events_.top();
    if (arrivals_over_) {
      end = std::min(end, std::max(now_, day_.length) + kMaxDrainTime);
      if (jobs_.size() == 0 && open_requests_.size() == 0) break;
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
  result_.score = score_keeper_.result();
  result_.wall_seconds = std::chrono::duration<double>(Steady::now() - began).count();
  return result_;
}

void Testbed::Step(const Event& event) {
  const auto report_of = [&] {  // the load report carried by this event, if any
    const auto it = carried_.find(event.order);
    if (it == carried_.end()) return rookgw::LoadReport{};
    const rookgw::LoadReport report = it->second;
    carried_.erase(it);
    return report;
  };
  const Handle handle = Handle::Unpack(event.c);
  switch (event.type) {
    case EventType::kArrive:
      return Arrive();
    case EventType::kClientSend:
      return ClientSend(handle);
    case EventType::kReachNode:
      return ReachNode(static_cast<int>(event.a), handle);
    case EventType::kReachBox:
      return ReachBox(event.c);
    case EventType::kConnectFailed: {
      Attempt* attempt = attempts_.Find(handle);
      if (attempt == nullptr) return;
      attempt->box_done = true;
      return HandleAttemptEnd(event.c, Outcome::kConnectFailed, {});
    }
    case EventType::kBoxStep: {
      if (box_armed_[event.a] != now_) return;
      box_armed_[event.a] = kNever;
      boxes_[event.a].Advance(now_, &news_);
      return HandleBoxNews(static_cast<int>(event.a));
    }
    case EventType::kStoreStep: {
      if (store_armed_ != now_) return;
      store_armed_ = kNever;
      std::uint64_t id = 0;
      while (store_.TakeEnded(now_, &id)) {
        store_.SetRate(now_, StoreRate());
        Attempt* attempt = attempts_.Find(Handle::Unpack(id));
        if (attempt == nullptr) continue;
        const int box = attempt->box;
        boxes_[box].Fetched(now_, id, &news_);
        HandleBoxNews(box);
      }
      return ArmStore();
    }
    case EventType::kAttemptUpdate: {
      Attempt* attempt = attempts_.Find(handle);
      if (attempt == nullptr || attempt->outcome_known || !Current(*attempt)) return;
      const auto kind = event.a == 0 ? AttemptUpdate::Kind::kAccepted : AttemptUpdate::Kind::kStarted;
      return Feed(attempt->node, AttemptUpdate{attempt->request, attempt->number, kind, 0});
    }
    case EventType::kResult: {
      Attempt* attempt = attempts_.Find(handle);
      const rookgw::LoadReport report = report_of();
      if (attempt == nullptr) return;
      if (attempt->has_connection)
        ReleaseConnection(attempt->node, attempt->box,
                          event.a != static_cast<std::uint32_t>(Outcome::kReset));
      attempt = attempts_.Find(handle);
      attempt->has_connection = false;
      if (!Current(*attempt)) return DropAttempt(event.c);
      return HandleAttemptEnd(event.c, static_cast<Outcome>(event.a), report);
    }
    case EventType::kCancel: {
      Attempt* attempt = attempts_.Find(handle);
      if (attempt == nullptr) return;
      Box& box = boxes_[attempt->box];
      const bool was_here = box.Holds(event.c);
      const bool removed = box.CallOff(now_, event.c, &news_);
      if (removed && was_here) attempt->box_done = true;
      const Time back = net_.Delay(now_, box.zone, nodes_[attempt->node].zone);
      if (back != kNever) Push(now_ + back, EventType::kCancelled, 0, 0, event.c);
      return HandleBoxNews(attempt->box);
    }
    case EventType::kCancelled: {
      Attempt* attempt = attempts_.Find(handle);
      if (attempt == nullptr || attempt->outcome_known || !Current(*attempt)) return;
      if (attempt->has_connection && attempt->box_done)
        ReleaseConnection(attempt->node, attempt->box, true), attempt->has_connection = false;
      return HandleAttemptEnd(event.c, Outcome::kCancelled, {});
    }
    case EventType::kProbe: {
      const int node = static_cast<int>(event.c >> 32);
      Box& box = boxes_[event.a];
      const bool up = box.life == Box::Life::kUp || box.life == Box::Life::kDraining;
      const Time back = net_.Delay(now_, box.zone, nodes_[node].zone);
      const bool taken = up && box.Probe(now_);
      result_.probes_refused += up && !taken;
      if (taken) {  // a slowed box answers probes slowly, unless it masks its load
        const double pace = box.masks_load ? 1 : std::max(0.01, box.Pace(now_) / box.Capacity());
        const Time took = std::llround(static_cast<double>(site_.probe_work) / pace);
        ArmBox(static_cast<int>(event.a));
        Push(now_ + took, EventType::kProbeServed, event.a, box.epoch);
        if (back != kNever && took < site_.probe_timeout) {
          carried_[order_] = box.Report(now_, &box_random_);
          return Push(now_ + took + back, EventType::kProbed, event.a, 1, event.c);
        }
      }
      // A full or stopped box refuses at once; one that is silent, partitioned or too slow runs into the
      // timeout.
      const bool refused = !taken && box.life != Box::Life::kSilent && back != kNever;
      return Push(now_ + (refused ? back : site_.probe_timeout), EventType::kProbed, event.a, 0, event.c);
    }
    case EventType::kProbeServed:
      if (boxes_[event.a].epoch == event.b) boxes_[event.a].ProbeDone();
      return;
    case EventType::kProbed: {
      const int node = static_cast<int>(event.c >> 32);
      const rookgw::LoadReport report = report_of();
      if (!nodes_[node].up || nodes_[node].life != static_cast<std::uint32_t>(event.c)) return;
      return Feed(node, rookgw::ProbeEnded{box_ids_[event.a], event.b == 1, 0, report});
    }
    case EventType::kTimer:
      if (!nodes_[event.a].up || nodes_[event.a].life != event.b) return;
      return Feed(static_cast<int>(event.a), rookgw::TimerFired{tokens_[event.c]});
    case EventType::kRegistry:
      return Registered(event.c);
    case EventType::kListPush: {
      Node& node = nodes_[event.a];
      node.push_due = false;
      if (!node.up || node.life != event.b || !node.watching) return;
      if (IsFaultFree(FaultKind::kDiscoveryDown))
        return SendList(static_cast<int>(event.a), ListChanged::Form::kPatch);
      node.watching = !site_.discovery.asked;
      return Feed(static_cast<int>(event.a), ListChanged{ListChanged::Form::kFailed, node.version, {}});
    }
    case EventType::kListReply: {
      Node& node = nodes_[event.a];
      if (!node.up || node.life != event.b) return;
      if (event.c == 0)
        return Feed(static_cast<int>(event.a), ListChanged{ListChanged::Form::kFailed, node.version, {}});
      node.watching = true;
      return SendList(static_cast<int>(event.a), ListChanged::Form::kWhole);
    }
    case EventType::kAnswer:
      return HandleReply(handle, static_cast<Reply>(event.a), static_cast<Time>(event.b) * kMillisecond);
    case EventType::kGiveUp:
      return EndJob(handle, JobEnd::kTooLate);
    case EventType::kClientLeaves: {
      OpenRequest* open_request = open_requests_.Find(handle);
      if (open_request == nullptr || open_request->answered) return;
      const int node = open_request->node;
      EndJob(open_request->job, JobEnd::kTooLate);
      Answer(event.c, Reply::kFailed, Checker::Answer::kClientGone, 0);
      Feed(node, rookgw::RequestAbandoned{event.c});
      return DropIfDone(event.c);
    }
    case EventType::kHostDeadline: {
      OpenRequest* open_request = open_requests_.Find(handle);
      if (open_request == nullptr || !nodes_[open_request->node].up ||
          nodes_[open_request->node].life != open_request->life)
        return;
      const int node = open_request->node;
      if (!open_request->answered) {
        Answer(event.c, Reply::kFailed, Checker::Answer::kFailed, 0);
        Feed(node, rookgw::RequestAbandoned{event.c});
      }
      if (open_request = open_requests_.Find(handle); open_request == nullptr) return;
      const std::vector<std::uint64_t> attempts = open_request->attempts;
      for (std::uint64_t id : attempts)
        if (Attempt* attempt = attempts_.Find(Handle::Unpack(id));
            attempt != nullptr && !attempt->outcome_known && !attempt->cancelled)
          HandleAttemptEnd(id, Outcome::kTimeout, {});
      return DropIfDone(event.c);
    }
    case EventType::kAttemptDeadline: {
      Attempt* attempt = attempts_.Find(handle);
      if (attempt == nullptr || attempt->outcome_known || !Current(*attempt)) return;
      return HandleAttemptEnd(event.c, event.a == 1 ? Outcome::kCancelled : Outcome::kTimeout, {});
    }
    case EventType::kFaultStart:
      return StartFault(event.a);
    case EventType::kFaultEnd:
      return EndFault(event.a);
    case EventType::kNodeDown:
      StopNode(static_cast<int>(event.a));
      return Push(now_ + static_cast<Time>(event.c), EventType::kNodeUp, event.a);
    case EventType::kNodeUp:
      return StartNode(static_cast<int>(event.a), false);
    case EventType::kFrontUpdate:
      front_.clear();
      for (std::size_t node_index = 0; node_index < nodes_.size(); ++node_index)
        if (nodes_[node_index].up || now_ < nodes_[node_index].down_since + site_.clients.front_notice)
          front_.push_back(static_cast<int>(node_index));
      return;
    case EventType::kSample:
      Sample();
      return Push(now_ + kSecond, EventType::kSample);
  }
}

// ---- Clients and front end ----

void Testbed::ScheduleArrival() {
  arrivals_over_ = !workload_->Next(&next_job_);
  if (!arrivals_over_) Push(next_job_.at, EventType::kArrive);
}

bool Testbed::ExceedsQuota(int tenant) {
  if (tenant < 0) return false;
  const double rate = QuotaPerS(site_, site_.tenants[tenant], job_rate_);
  auto& [at, left] = quota_[tenant];
  left = std::min(std::max(2.0, 2 * rate), left + rate * static_cast<double>(now_ - at) / kSecond);
  at = now_;
  if (left < 1) return true;
  left -= 1;
  return false;
}

void Testbed::Arrive() {
  JobState job;
  job.spec = next_job_;
  job.over_share = ExceedsQuota(job.spec.tenant);
  job.deadline = now_ + site_.classes[job.spec.cls].deadline;
  job.work = job.spec.work;
  score_keeper_.Offered(job.spec, job.over_share);
  const Time deadline = job.deadline;
  const Handle handle = jobs_.Insert(std::move(job));
  Push(deadline + site_.answer_slack + 4 * site_.net.client, EventType::kGiveUp, 0, 0, handle.Packed());
  ClientSend(handle);
  ScheduleArrival();
}

void Testbed::ClientSend(Handle handle) {
  JobState* job = jobs_.Find(handle);
  if (job == nullptr) return;
  const std::uint64_t draw = job->spec.seed * 0x9e3779b97f4a7c15ULL + job->tries * 0xbf58476d1ce4e5b9ULL;
  ++job->tries;
  const Time delay = net_.ClientDelay();
  if (front_.empty())
    return Push(now_ + 2 * delay, EventType::kAnswer, static_cast<std::uint32_t>(Reply::kUnreachable), 0,
                handle.Packed());
  const int node = front_[(draw ^ draw >> 31) % front_.size()];
  Push(now_ + delay, EventType::kReachNode, static_cast<std::uint32_t>(node), 0, handle.Packed());
}

void Testbed::ReachNode(int node_index, Handle handle) {
  JobState* job = jobs_.Find(handle);
  if (job == nullptr) return;
  Node& node = nodes_[node_index];
  if (!node.up)
    return Push(now_ + net_.ClientDelay(), EventType::kAnswer,
                static_cast<std::uint32_t>(Reply::kUnreachable), 0, handle.Packed());
  OpenRequest fresh;
  fresh.job = handle, fresh.node = node_index, fresh.life = node.life, fresh.cls = job->spec.cls;
  fresh.answer_by = job->deadline, fresh.work = job->work, fresh.slots = job->spec.slots;
  fresh.job_number = job->spec.number, fresh.key = job->spec.key;
  const std::uint64_t id = open_requests_.Insert(std::move(fresh)).Packed();
  checker_.Took(now_, node_index, id, job->spec.cls, job->deadline);
  Push(job->deadline, EventType::kHostDeadline, 0, 0, id);
  if (site_.clients.impatient > 0 && client_random_.Chance(site_.clients.impatient))
    Push(now_ + static_cast<Time>(client_random_.Between(0.1, 1) * (job->deadline - now_)),
         EventType::kClientLeaves, 0, 0, id);
  ++result_.arrivals;
  rookgw::RequestArrived e;
  e.id = id;
  e.key = job->spec.key;
  e.slots = job->spec.slots, e.effort = job->spec.effort;
  e.valid_until = job->deadline + node.offset;
  e.tenant = job->spec.tenant, e.cls = job->spec.cls;
  Feed(node_index, std::move(e));
}

void Testbed::HandleReply(Handle handle, Reply reply, Time retry_after) {
  JobState* job = jobs_.Find(handle);
  if (job == nullptr) return;  // the client has given up
  if (reply == Reply::kServed) return EndJob(handle, JobEnd::kServed);
  const ClassModel& cls = site_.classes[job->spec.cls];
  double retry_factor = 1;
  bool no_backoff = false;
  for (const Fault& fault : day_.faults)
    if (fault.kind == FaultKind::kRetryStorm && fault.Active(now_))
      retry_factor *= fault.size, no_backoff = true;
  const bool is_retry_safe = reply == Reply::kRefused || reply == Reply::kUnreachable ||
                             cls.effect == rookgw::Effect::kRepeatable ||
                             (cls.effect == rookgw::Effect::kKeyed && cls.scope == rookgw::KeyScope::kAll &&
                              now_ < job->spec.at + cls.window);
  const JobEnd end = reply == Reply::kRefused ? JobEnd::kRefused : JobEnd::kFailed;
  if (!is_retry_safe || job->tries > site_.clients.retries * retry_factor) return EndJob(handle, end);
  Time wait = site_.clients.backoff << (site_.clients.backoff_doubles ? std::min(job->tries - 1, 10) : 0);
  wait = static_cast<Time>(static_cast<double>(wait) * client_random_.Between(0.5, 1.5));
  if (no_backoff) wait = 10 * kMillisecond;
  if (retry_after > 0 && client_random_.Chance(site_.clients.honour)) wait = std::max(wait, retry_after);
  if (now_ + wait >= job->deadline) return EndJob(handle, end);
  Push(now_ + wait, EventType::kClientSend, 0, 0, handle.Packed());
}

void Testbed::EndJob(Handle handle, JobEnd end) {
  const JobState* job = jobs_.Find(handle);
  if (job == nullptr) return;
  score_keeper_.Ended(job->spec, job->over_share, end, now_ - job->spec.at);
  digest_.Add(job->spec.number << 2 | static_cast<std::uint64_t>(end));
  digest_.Add(static_cast<std::uint64_t>(now_));
  jobs_.Erase(handle);
}
}  // namespace lichenlug::lab
