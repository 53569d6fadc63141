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

constexpr Time kCancelTimeout = kSecond;  // a cancellation that a silent box does not acknowledge

}  // namespace

void Testbed::StartNode(int node_index, bool first) {
  Node& node = nodes_[node_index];
  if (node.up) return;
  ++node.life;
  node.up = true, node.watching = !site_.discovery.asked, node.push_due = false;
  node.offset = 0;
  PolicyInputs inputs;
  inputs.settings = ToldSettings(site_, node_index, job_rate_);
  inputs.seed = (seed_ + 0x9e3779b9 * policy_seed_) * 1000003 + node_index * 7919 + node.life;
  inputs.truth = this;
  node.policy = MakePolicy(policy_, std::move(inputs));
  actions_.clear();
  node.policy->Start(now_, &actions_);
  const std::vector<rookgw::Action> actions = actions_;
  for (const rookgw::Action& action : actions)
    std::visit([&](const auto& each) { Execute(node_index, each); }, action);
  const std::vector<ListedWorker> list = ListAt(node.version);
  for (const ListedWorker& entry : list) {
    const int box = box_by_id_.at(entry.id);
    node.known_start[box] = entry.since;
    checker_.Told(now_, node_index, box, entry.state);
  }
  Feed(node_index, ListChanged{ListChanged::Form::kStaleCopy, node.version, list});
  if (!first) Push(now_, EventType::kFrontUpdate);
  if (first && node_index + 1 == site_.dispatchers) {
    for (int i = 0; i < site_.dispatchers; ++i) front_.push_back(i);
  }
}

void Testbed::StopNode(int node_index) {
  Node& node = nodes_[node_index];
  if (!node.up) return;
  node.up = false, node.down_since = now_;
  node.policy.reset();
  node.events.clear();
  for (auto& [box, pool] : node.connection_pools)
    if (pool.epoch == boxes_[box].epoch) boxes_[box].connections -= pool.open;
  node.connection_pools.clear(), node.known_start.clear();
  checker_.Restarted(node_index);
  std::vector<std::uint64_t> attempts;
  open_requests_.ForEach([&](Handle handle, OpenRequest& open_request) {
    if (open_request.node != node_index) return;
    if (!open_request.answered)
      Push(now_ + net_.ClientDelay(), EventType::kAnswer, static_cast<std::uint32_t>(Reply::kLost), 0,
           open_request.job.Packed());
    attempts.insert(attempts.end(), open_request.attempts.begin(), open_request.attempts.end());
    open_requests_.Erase(handle);
  });
  for (std::uint64_t id : attempts)
    if (Attempt* attempt = attempts_.Find(Handle::Unpack(id)))
      attempt->has_connection = false, DropAttempt(id);
  Push(now_ + site_.clients.front_notice, EventType::kFrontUpdate);
}

void Testbed::Feed(int node_index, rookgw::Event event) {
  using Steady = std::chrono::steady_clock;
  Node& node = nodes_[node_index];
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
    digest_.Add(static_cast<std::uint64_t>(node_index) << 16 | next.index() << 8 | actions.size());
    for (const rookgw::Action& action : actions) {
      digest_.Add(action.index());
      std::visit([&](const auto& each) { Execute(node_index, each); }, action);
    }
  }
  node.feeding = false;
}

bool Testbed::Reachable(int node, int box) const {
  return net_.CanConnect(now_, nodes_[node].zone, boxes_[box].zone);
}

// Takes an idle connection or opens one. Returns false if the box accepts no more connections.
bool Testbed::AcquireConnection(int node_index, int box_index, bool* fresh) {
  Box& box = boxes_[box_index];
  ConnectionPool& pool = nodes_[node_index].connection_pools[box_index];
  if (pool.epoch != box.epoch) pool = {box.epoch, 0, {}};
  const auto kept =
      std::ranges::find_if(pool.idle, [&](Time since) { return now_ - since < site_.net.idle_close; });
  const int closed = static_cast<int>(kept - pool.idle.begin());
  pool.idle.erase(pool.idle.begin(), kept);
  pool.open -= closed, box.connections -= closed;
  *fresh = pool.idle.empty();
  if (!*fresh) {
    pool.idle.pop_back();
    return true;
  }
  if (box.connections >= site_.kinds[box.kind_index].max_connections) return false;
  ++pool.open, ++box.connections;
  return true;
}

void Testbed::ReleaseConnection(int node_index, int box_index, bool keep) {
  if (!nodes_[node_index].up) return;
  const auto it = nodes_[node_index].connection_pools.find(box_index);
  if (it == nodes_[node_index].connection_pools.end() || it->second.epoch != boxes_[box_index].epoch) return;
  if (keep)
    it->second.idle.push_back(now_);
  else
    --it->second.open, --boxes_[box_index].connections;
}

void Testbed::Execute(int node_index, const rookgw::Dispatch& action) {
  OpenRequest* open_request = open_requests_.Find(Handle::Unpack(action.id));
  const int box_index = box_by_id_.at(action.worker);
  const Box& box = boxes_[box_index];
  digest_.Add(static_cast<std::uint64_t>(box_index));
  if (open_request == nullptr) return checker_.Sent(now_, action.id, 0, box_index, box.zone, box.cell);
  const JobState* job = jobs_.Find(open_request->job);
  Attempt fresh;
  fresh.request = action.id, fresh.node = node_index, fresh.box = box_index,
  fresh.life = nodes_[node_index].life, fresh.cls = open_request->cls;
  fresh.number = static_cast<int>(open_request->attempts.size());
  fresh.epoch = box.epoch, fresh.sent = now_;
  fresh.slots = open_request->slots, fresh.work = job != nullptr ? job->work : open_request->work;
  fresh.key = job != nullptr ? job->spec.key : 0, fresh.job_number = open_request->job_number;
  fresh.priority = site_.classes[open_request->cls].priority;
  const int number = fresh.number;
  const std::uint64_t id = attempts_.Insert(std::move(fresh)).Packed();
  open_request->attempts.push_back(id);
  checker_.Sent(now_, action.id, number, box_index, box.zone, box.cell);
  Attempt& attempt = *attempts_.Find(Handle::Unpack(id));
  if (open_request->answered || number >= site_.max_attempts || now_ >= open_request->answer_by) {
    attempt.box_done = true;
    return HandleAttemptEnd(id, Outcome::kVoid, {});
  }
  score_keeper_.Sent(now_, nodes_[node_index].zone != box.zone);
  if (action.timeout > 0) Push(now_ + action.timeout, EventType::kAttemptDeadline, 0, 0, id);
  const NetworkModel& net = site_.net;
  bool is_new_connection = false;
  const bool has_connection = AcquireConnection(node_index, box_index, &is_new_connection);
  if (is_new_connection && (!Reachable(node_index, box_index) || box.life == Box::Life::kSilent))
    return Push(now_ + net.connect_timeout, EventType::kConnectFailed, 0, 0, id);
  const Time delay = net_.Delay(now_, nodes_[node_index].zone, box.zone);
  if (!has_connection) return Push(now_ + net.connect_timeout, EventType::kConnectFailed, 0, 0, id);
  if (box.life == Box::Life::kDown) {
    ReleaseConnection(node_index, box_index, false);
    return Push(now_ + 2 * std::min(delay, net.connect_timeout), EventType::kConnectFailed, 0, 0, id);
  }
  attempt.has_connection = true;
  if (is_new_connection) boxes_[box_index].Handshake(now_), ArmBox(box_index);
  if (delay == kNever) {
    attempt.box_done = true;
    return;
  }
  const Time handshake_delay =
      is_new_connection ? static_cast<Time>(net.handshake_rtts * 2 * static_cast<double>(delay)) : 0;
  Push(now_ + handshake_delay + delay, EventType::kReachBox, 0, 0, id);
}

void Testbed::Execute(int, const rookgw::Decline& action) {
  Answer(action.id, Reply::kRefused, Checker::Answer::kRefused,
         site_.retry_after ? std::min(action.retry_after, site_.max_retry_after) : 0);
  DropIfDone(action.id);
}

void Testbed::Execute(int, const rookgw::Fail& action) {
  Answer(action.id, Reply::kFailed, Checker::Answer::kFailed, 0);
  DropIfDone(action.id);
}

void Testbed::Execute(int node_index, const rookgw::CancelAttempt& action) {
  OpenRequest* open_request = open_requests_.Find(Handle::Unpack(action.id));
  if (open_request == nullptr || action.attempt >= static_cast<int>(open_request->attempts.size())) return;
  const std::uint64_t id = open_request->attempts[action.attempt];
  Attempt* attempt = attempts_.Find(Handle::Unpack(id));
  if (attempt == nullptr || attempt->outcome_known || std::exchange(attempt->cancelled, true)) return;
  const Time delay = net_.Delay(now_, nodes_[node_index].zone, boxes_[attempt->box].zone);
  const bool reachable = delay != kNever && boxes_[attempt->box].life != Box::Life::kSilent &&
                         boxes_[attempt->box].epoch == attempt->epoch;
  if (reachable) Push(now_ + delay, EventType::kCancel, 0, 0, id);
  Push(now_ + kCancelTimeout, EventType::kAttemptDeadline, 1, 0, id);
}

void Testbed::Execute(int node_index, const rookgw::Probe& action) {
  const int box_index = box_by_id_.at(action.worker);
  const std::uint64_t requester = static_cast<std::uint64_t>(node_index) << 32 | nodes_[node_index].life;
  const Time delay = net_.Delay(now_, nodes_[node_index].zone, boxes_[box_index].zone);
  if (delay == kNever || !Reachable(node_index, box_index) || boxes_[box_index].life == Box::Life::kSilent)
    return Push(now_ + site_.probe_timeout, EventType::kProbed, static_cast<std::uint32_t>(box_index), 0,
                requester);
  Push(now_ + delay, EventType::kProbe, static_cast<std::uint32_t>(box_index), 0, requester);
}

void Testbed::Execute(int node_index, const rookgw::SetTimer& action) {
  auto [it, fresh] = token_index_.try_emplace(action.token, static_cast<std::uint32_t>(tokens_.size()));
  if (fresh) tokens_.push_back(action.token);
  Push(now_ + action.span, EventType::kTimer, static_cast<std::uint32_t>(node_index), nodes_[node_index].life,
       it->second);
}

void Testbed::Execute(int node_index, const rookgw::Subscribe&) {
  const DiscoveryModel& discovery = site_.discovery;
  const std::uint32_t node = static_cast<std::uint32_t>(node_index), life = nodes_[node_index].life;
  const Time delay = 2 * net_.ClientDelay();
  if (!IsFaultFree(FaultKind::kDiscoveryDown))
    return Push(now_ + delay, EventType::kListReply, node, life, 0);
  const Time begins = std::max(now_, discovery_busy_until_);
  const Time takes = static_cast<Time>(static_cast<double>(boxes_.size()) / discovery.lines_per_s * kSecond);
  if (begins + takes - now_ > discovery.timeout)
    return Push(now_ + discovery.timeout, EventType::kListReply, node, life, 0);
  discovery_busy_until_ = begins + takes;
  Push(begins + takes + delay, EventType::kListReply, node, life, 1);
}

void Testbed::Answer(std::uint64_t request, Reply reply, Checker::Answer kind, Time retry_after) {
  OpenRequest* open_request = open_requests_.Find(Handle::Unpack(request));
  if (open_request == nullptr || std::exchange(open_request->answered, true)) return;
  checker_.Answered(now_, request, kind);
  if (kind == Checker::Answer::kClientGone) return;
  Push(now_ + net_.ClientDelay(), EventType::kAnswer, static_cast<std::uint32_t>(reply),
       static_cast<std::uint32_t>(retry_after / kMillisecond), open_request->job.Packed());
}

void Testbed::HandleAttemptEnd(std::uint64_t id, Outcome outcome, const rookgw::LoadReport& report) {
  Attempt* attempt = attempts_.Find(Handle::Unpack(id));
  if (attempt == nullptr || std::exchange(attempt->outcome_known, true))
    return;  // only the first outcome counts
  const std::uint64_t request = attempt->request;
  OpenRequest* open_request = open_requests_.Find(Handle::Unpack(request));
  if (open_request == nullptr) return DropAttempt(id);
  checker_.Ended(now_, request, attempt->number, outcome);
  if (outcome == Outcome::kServed) Answer(request, Reply::kServed, Checker::Answer::kServed, 0);
  AttemptEnded ended;
  ended.id = request, ended.attempt = attempt->number, ended.worker = box_ids_[attempt->box],
  ended.outcome = outcome;
  ended.complete = open_request->answered, ended.took = now_ - attempt->sent, ended.report = report;
  const int node = attempt->node;
  open_request->attempts[attempt->number] = 0;
  DropAttempt(id);
  Feed(node, std::move(ended));
  DropIfDone(request);
}

// A request is kept until it is answered and its last attempt has ended.
void Testbed::DropIfDone(std::uint64_t request) {
  OpenRequest* open_request = open_requests_.Find(Handle::Unpack(request));
  if (open_request == nullptr || !open_request->answered) return;
  for (std::uint64_t id : open_request->attempts)
    if (id != 0) return;
  open_requests_.Erase(Handle::Unpack(request));
}

// An attempt is kept until neither the dispatcher nor the box refers to it.
void Testbed::DropAttempt(std::uint64_t id) {
  Attempt* attempt = attempts_.Find(Handle::Unpack(id));
  if (attempt == nullptr) return;
  const bool outcome_known = attempt->outcome_known || !Current(*attempt);
  if (outcome_known && attempt->box_done && !attempt->has_connection) attempts_.Erase(Handle::Unpack(id));
}
}  // namespace lichenlug::lab
