#include "simulated_network.h"

#include <algorithm>

namespace lichenlug::membership_ring {
namespace {

constexpr Time kMinDelay = kMillisecond, kDelaySpread = 4 * kMillisecond;
constexpr Time kTimerDelay = kMillisecond;

}  // namespace

SimulatedNetwork::SimulatedNetwork(const NetworkSettings& settings)
    : settings_(settings), random_(settings.seed) {
  for (int i = 0; i < settings.members; ++i) AddNode("member-" + std::to_string(i));
}

void SimulatedNetwork::AddNode(const std::string& name) {
  const std::size_t number = nodes_.size();
  Node node;
  node.name = name;
  node.address = "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1) + ":7660";
  nodes_.push_back(std::move(node));
}

int SimulatedNetwork::AddReplacement(const std::string& name) {
  AddNode(name);
  return size() - 1;
}

void SimulatedNetwork::Start(int number) {
  Node& node = At(number);
  ++node.start_number;
  node.paused = false;
  node.undelivered.clear();
  node.timer_at = 0;
  MembershipSettings settings;
  settings.self.name = node.name;
  settings.self.address = node.address;
  settings.self.control_address = node.address + "0";
  settings.self.zone = "zone-" + std::to_string(number % 3);
  settings.self.region = "region";
  settings.self.counts_for_quorum = number < 3;
  settings.self.incarnation = static_cast<std::uint64_t>(now_ + node.clock_offset);
  node.first_incarnation = settings.self.incarnation;
  settings.seed = random_.Next();
  for (int i = 0; i < std::min(settings_.seeds, size()); ++i) settings.seed_addresses.push_back(AddressOf(i));
  node.membership = std::make_unique<Membership>(settings);
  node.live.reset();
  MembershipOutput output;
  node.membership->Start(now_, &output);
  Transmit(number, output);
}

void SimulatedNetwork::StartAll(Time within) {
  std::vector<std::pair<Time, int>> order;
  for (int i = 0; i < size(); ++i) {
    order.emplace_back(now_ + static_cast<Time>(random_.Below(static_cast<std::uint64_t>(within + 1))), i);
  }
  std::ranges::sort(order);
  for (const auto& [at, node] : order) {
    RunFor(at - now_);
    Start(node);
  }
}

void SimulatedNetwork::Kill(int node) {
  At(node).membership.reset();
  At(node).undelivered.clear();
}

void SimulatedNetwork::Leave(int node) {
  MembershipOutput output;
  At(node).membership->Leave(now_, &output);
  Transmit(node, output);
  Kill(node);
}

bool SimulatedNetwork::UpdateSelf(int node, bool ready, const std::string& replica_id) {
  MembershipOutput output;
  At(node).membership->UpdateSelf(now_, ready, replica_id, &output);
  Transmit(node, output);
  return output.changed;
}

void SimulatedNetwork::Pause(int node) { At(node).paused = true; }

void SimulatedNetwork::Resume(int number) {
  Node& node = At(number);
  node.paused = false;
  for (const auto& [from, bytes] : std::exchange(node.undelivered, {})) Deliver(number, from, bytes);
  Tick(number);
}

void SimulatedNetwork::Transmit(int from, const MembershipOutput& output) {
  if (output.changed) At(from).live.reset();
  for (const MembershipSend& send : output.sends) {
    ++messages_sent_;
    std::string bytes = send.message.SerializeAsString();
    if (mutator_) bytes = mutator_(send.message).value_or(std::move(bytes));
    bytes_sent_ += bytes.size();
    const int to = NodeAt(send.address);
    const bool lost = static_cast<double>(random_.Below(1'000'000)) < settings_.loss * 1e6;
    if (to < 0 || lost || !IsRunning(to) || (is_blocked_ && is_blocked_(from, to))) continue;
    const Time delay = kMinDelay + static_cast<Time>(random_.Below(kDelaySpread));
    Push({now_ + delay, ++event_count_, to, At(to).start_number, AddressOf(from), std::move(bytes)});
  }
  SetTimer(from);
}

void SimulatedNetwork::SetTimer(int number) {
  Node& node = At(number);
  if (node.membership == nullptr) return;
  const auto next = node.membership->NextTimer();
  if (!next || (node.timer_at > now_ && node.timer_at <= *next)) return;
  node.timer_at = std::max(*next, now_) + kTimerDelay;
  Push({node.timer_at, ++event_count_, number, node.start_number, {}, {}});
}

void SimulatedNetwork::Push(Event event) {
  events_.push_back(std::move(event));
  std::ranges::push_heap(events_, std::greater<>());
}

void SimulatedNetwork::Deliver(int number, const std::string& from, const std::string& bytes) {
  messages::MembershipMessage message;
  if (!message.ParseFromString(bytes)) return;
  MembershipOutput output;
  At(number).membership->Receive(now_, from, message, &output);
  Transmit(number, output);
}

void SimulatedNetwork::Tick(int number) {
  At(number).timer_at = 0;
  MembershipOutput output;
  At(number).membership->Tick(now_, &output);
  Transmit(number, output);
}

void SimulatedNetwork::Handle(const Event& event) {
  Node& node = At(event.node);
  if (node.membership == nullptr || node.start_number != event.start_number) return;
  if (event.from.empty()) {
    if (!node.paused && node.timer_at == event.at) Tick(event.node);
  } else if (node.paused) {
    node.undelivered.emplace_back(event.from, event.bytes);
  } else {
    Deliver(event.node, event.from, event.bytes);
  }
}

void SimulatedNetwork::RunFor(Time span) {
  const Time end = now_ + span;
  while (!events_.empty() && events_.front().at <= end) {
    std::ranges::pop_heap(events_, std::greater<>());
    const Event event = std::move(events_.back());
    events_.pop_back();
    now_ = event.at;
    Handle(event);
  }
  now_ = end;
}

std::optional<Time> SimulatedNetwork::RunUntil(const std::function<bool()>& condition, Time timeout) {
  const Time start = now_;
  while (!condition()) {
    if (now_ - start >= timeout) return std::nullopt;
    RunFor(10 * kMillisecond);
  }
  return now_ - start;
}

std::vector<int> SimulatedNetwork::Running() const {
  std::vector<int> running;
  for (int i = 0; i < size(); ++i) {
    if (IsRunning(i)) running.push_back(i);
  }
  return running;
}

const std::vector<Member>& SimulatedNetwork::LiveOf(int node) const {
  const Node& observer = nodes_[static_cast<std::size_t>(node)];
  if (!observer.live) observer.live = observer.membership->Live();
  return *observer.live;
}

bool SimulatedNetwork::Sees(int observer, int other) const {
  return std::ranges::binary_search(LiveOf(observer), NameOf(other), {}, &Member::name);
}

bool SimulatedNetwork::SeesAll(int observer, const std::vector<int>& others) const {
  return std::ranges::all_of(others, [&](int other) { return Sees(observer, other); });
}

bool SimulatedNetwork::SeesExactly(int observer, const std::vector<std::string>& sorted_names) const {
  return std::ranges::equal(LiveOf(observer), sorted_names, {}, &Member::name);
}

bool SimulatedNetwork::AllSeeExactly(const std::vector<int>& group) const {
  std::vector<std::string> names;
  for (const int node : group) names.push_back(NameOf(node));
  std::ranges::sort(names);
  return std::ranges::all_of(group, [&](int node) { return SeesExactly(node, names); });
}

bool SimulatedNetwork::SameRecords(const std::vector<int>& group) const {
  std::vector<Member> expected;
  for (const int node : group) expected.push_back(member(node).self());
  std::ranges::sort(expected, {}, &Member::name);
  return std::ranges::all_of(group, [&](int node) { return LiveOf(node) == expected; });
}

std::uint64_t SimulatedNetwork::Refutations() const {
  std::uint64_t sum = 0;
  for (const int node : Running()) {
    sum += member(node).self().incarnation - nodes_[static_cast<std::size_t>(node)].first_incarnation;
  }
  return sum;
}

int SimulatedNetwork::NodeAt(const std::string& address) const {
  // If machines share an address, it belongs to the newest one.
  for (int i = size() - 1; i >= 0; --i) {
    if (nodes_[static_cast<std::size_t>(i)].address == address) return i;
  }
  return -1;
}

}  // namespace lichenlug::membership_ring
