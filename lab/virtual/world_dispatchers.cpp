// The dispatchers of a day, hosted as src/core hosts the module: their events, actions and answers.
#include <algorithm>
#include <chrono>
#include <cmath>

#include "lab/virtual/world.h"

namespace lichenlug::lab {

using rookgw::AttemptEnded;
using rookgw::ListChanged;
using rookgw::ListedWorker;
using rookgw::Outcome;

namespace {

constexpr Time kCallOffTimeout = kSecond;  // a cancellation that a silent box does not acknowledge

}  // namespace

void Testbed::StartNode(int n, bool first) {
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
  Feed(n, ListChanged{ListChanged::Form::kStaleCopy, node.version, list});
  if (!first) Push(now_, What::kFrontSees);
  if (first && n + 1 == site_.dispatchers) {
    for (int i = 0; i < site_.dispatchers; ++i) front_.push_back(i);
  }
}

void Testbed::StopNode(int n) {
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

void Testbed::Feed(int n, rookgw::Event event) {
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

bool Testbed::Reachable(int node, int box) const {
  return net_.CanConnect(now_, nodes_[node].zone, boxes_[box].zone);
}

// Takes an idle connection or opens one. Returns false if the box accepts no more connections.
bool Testbed::TakeLink(int n, int b, bool* fresh) {
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
  if (box.connections >= site_.kinds[box.kind_index].max_connections) return false;
  ++link.open, ++box.connections;
  return true;
}

void Testbed::GiveLinkBack(int n, int b, bool keep) {
  if (!nodes_[n].up) return;
  const auto it = nodes_[n].links.find(b);
  if (it == nodes_[n].links.end() || it->second.epoch != boxes_[b].epoch) return;
  if (keep)
    it->second.idle.push_back(now_);
  else
    --it->second.open, --boxes_[b].connections;
}

void Testbed::Do(int n, const rookgw::Dispatch& action) {
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
    return BranchEnded(id, Outcome::kVoid, {});
  }
  judge_.Sent(now_, nodes_[n].zone != box.zone);
  if (action.timeout > 0) Push(now_ + action.timeout, What::kAttemptDeadline, 0, 0, id);
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

void Testbed::Do(int, const rookgw::Decline& a) {
  Answer(a.id, Word::kRefused, Checker::Answer::kRefused,
         site_.retry_after ? std::min(a.retry_after, site_.max_retry_after) : 0);
  DropIfDone(a.id);
}

void Testbed::Do(int, const rookgw::Fail& a) {
  Answer(a.id, Word::kFailed, Checker::Answer::kFailed, 0);
  DropIfDone(a.id);
}

void Testbed::Do(int n, const rookgw::CancelAttempt& action) {
  Try* t = tries_.Find(Handle::Unpack(action.id));
  if (t == nullptr || action.attempt >= static_cast<int>(t->attempts.size())) return;
  const std::uint64_t id = t->attempts[action.attempt];
  Attempt* a = attempts_.Find(Handle::Unpack(id));
  if (a == nullptr || a->told || std::exchange(a->called_off, true)) return;
  const Time way = net_.Delay(now_, nodes_[n].zone, boxes_[a->box].zone);
  const bool heard =
      way != kNever && boxes_[a->box].life != Box::Life::kSilent && boxes_[a->box].epoch == a->epoch;
  if (heard) Push(now_ + way, What::kCallOff, 0, 0, id);
  Push(now_ + kCallOffTimeout, What::kAttemptDeadline, 1, 0, id);
}

void Testbed::Do(int n, const rookgw::Probe& action) {
  const int b = box_by_id_.at(action.worker);
  const std::uint64_t asker = static_cast<std::uint64_t>(n) << 32 | nodes_[n].life;
  const Time way = net_.Delay(now_, nodes_[n].zone, boxes_[b].zone);
  if (way == kNever || !Reachable(n, b) || boxes_[b].life == Box::Life::kSilent)
    return Push(now_ + site_.probe_timeout, What::kProbed, static_cast<std::uint32_t>(b), 0, asker);
  Push(now_ + way, What::kProbe, static_cast<std::uint32_t>(b), 0, asker);
}

void Testbed::Do(int n, const rookgw::SetTimer& action) {
  auto [it, fresh] = token_index_.try_emplace(action.token, static_cast<std::uint32_t>(tokens_.size()));
  if (fresh) tokens_.push_back(action.token);
  Push(now_ + action.span, What::kTimer, static_cast<std::uint32_t>(n), nodes_[n].life, it->second);
}

void Testbed::Do(int n, const rookgw::Subscribe&) {
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

void Testbed::Answer(std::uint64_t request, Word word, Checker::Answer kind, Time come_back) {
  Try* t = tries_.Find(Handle::Unpack(request));
  if (t == nullptr || std::exchange(t->answered, true)) return;
  checker_.Answered(now_, request, kind);
  if (kind == Checker::Answer::kClientGone) return;
  Push(now_ + net_.ClientDelay(), What::kAnswer, static_cast<std::uint32_t>(word),
       static_cast<std::uint32_t>(come_back / kMillisecond), t->job.Packed());
}

void Testbed::BranchEnded(std::uint64_t id, Outcome outcome, const rookgw::LoadReport& report) {
  Attempt* a = attempts_.Find(Handle::Unpack(id));
  if (a == nullptr || std::exchange(a->told, true)) return;  // only the first outcome counts
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

// A request is kept until it is answered and its last attempt has ended.
void Testbed::DropIfDone(std::uint64_t request) {
  Try* t = tries_.Find(Handle::Unpack(request));
  if (t == nullptr || !t->answered) return;
  for (std::uint64_t id : t->attempts)
    if (id != 0) return;
  tries_.Erase(Handle::Unpack(request));
}

// An attempt is kept until neither the dispatcher nor the box refers to it.
void Testbed::DropAttempt(std::uint64_t id) {
  Attempt* a = attempts_.Find(Handle::Unpack(id));
  if (a == nullptr) return;
  const bool told = a->told || !Current(*a);
  if (told && a->box_done && !a->linked) attempts_.Erase(Handle::Unpack(id));
}
}  // namespace lichenlug::lab
