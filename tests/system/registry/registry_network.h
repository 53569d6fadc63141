// Registries on a simulated network: messages are lost, duplicated, delayed and reordered at random from a
// seed or by a hook; runners send heartbeats as in production. Time is simulated.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "registry/registry.h"

namespace lichenlug::registry {

inline constexpr Time kHeartbeatInterval = 1200 * kMillisecond;

inline messages::RunnerRecord MakeRecord(const std::string& runner_id, std::uint64_t call_count,
                                         messages::RunnerState state = messages::RUNNER_READY) {
  messages::RunnerRecord record;
  record.set_runner_id(runner_id);
  record.set_service("service");
  record.set_address("10.1.0.1:" + std::to_string(1000 + std::hash<std::string>()(runner_id) % 60000));
  record.set_zone("zone-0");
  record.set_slots(8);
  record.set_state(state);
  record.set_call_count(call_count);
  return record;
}

// A single registry, of dispatcher-0 in zone-0, whose peers are given by the test.
inline Registry MakeRegistry(std::size_t max_runners = 100, bool has_store = false) {
  RegistrySettings settings;
  settings.has_store = has_store;
  settings.self_name = "dispatcher-0";
  settings.zone = "zone-0";
  settings.heartbeat_interval = kHeartbeatInterval;
  settings.max_runners = max_runners;
  return Registry(settings);
}

inline Member MakeMember(int number, const std::string& zone = "zone-0") {
  Member member;
  member.name = "dispatcher-" + std::to_string(number);
  member.incarnation = 1;
  member.address = "10.0.0." + std::to_string(number) + ":7000";
  member.control_address = "10.0.0." + std::to_string(number) + ":8000";
  member.zone = zone;
  return member;
}

inline std::vector<messages::RegistryUpdate> UpdatesIn(const RegistryOutput& output) {
  std::vector<messages::RegistryUpdate> updates;
  for (const auto& send : output.sends)
    if (send.message.has_update()) updates.push_back(send.message.update());
  return updates;
}

struct SentMessage {
  std::size_t from = 0, to = 0;
  messages::RegistryMessage message;
};

class RegistryNetwork {
 public:
  struct Runner {
    messages::RunnerRecord record;
    std::size_t reports_to = 0;  // the dispatcher that it reports to
    bool sends_heartbeats = true;
    Time next_heartbeat = 0;
  };
  struct Node {
    std::unique_ptr<Registry> registry;
    std::uint64_t incarnation = 0;
    bool is_running = false;
    bool is_frozen = false;
    std::vector<std::pair<std::string, messages::RegistryMessage>> held_back;  // arrived while frozen
  };
  // Returns the delays after which copies of a message arrive (none: it is lost). May modify the message.
  using DeliveryFunction = std::function<std::vector<Time>(SentMessage* message)>;

  RegistryNetwork(std::size_t count, std::uint64_t seed, std::size_t zones = 3)
      : zones_(zones), random_(seed) {
    nodes.resize(count);
    for (std::size_t i = 0; i < count; ++i) Start(i);
    UpdateMembers();
  }

  std::string Address(std::size_t i) const { return "10.0.0." + std::to_string(i) + ":7000"; }
  std::string Control(std::size_t i) const { return "10.0.0." + std::to_string(i) + ":8000"; }
  std::string Zone(std::size_t i) const { return "zone-" + std::to_string(i % zones_); }
  std::string Name(std::size_t i) const { return "dispatcher-" + std::to_string(i); }

  Member MemberOf(std::size_t i) const {
    Member member;
    member.name = Name(i);
    member.incarnation = nodes[i].incarnation;
    member.address = Address(i);
    member.control_address = Control(i);
    member.zone = Zone(i);
    return member;
  }

  void Start(std::size_t i) {
    Node& node = nodes[i];
    node = Node();
    node.incarnation = ++incarnations_;
    RegistrySettings settings;
    settings.self_name = Name(i);
    settings.zone = Zone(i);
    settings.heartbeat_interval = kHeartbeatInterval;
    settings.seed = random_();
    node.registry = std::make_unique<Registry>(settings);
    node.is_running = true;
    ScheduleTick(i, now);
  }
  void Kill(std::size_t i) { nodes[i].is_running = false; }

  void Freeze(std::size_t i) { nodes[i].is_frozen = true; }
  void Thaw(std::size_t i) {
    Node& node = nodes[i];
    node.is_frozen = false;
    for (const auto& [from, message] : std::exchange(node.held_back, {})) Deliver(i, from, message);
    ScheduleTick(i, now);
  }

  bool CanReach(std::size_t from, std::size_t to) const { return sides.empty() || sides[from] == sides[to]; }

  // Updates all members as an immediate and perfect failure detector would; a frozen node stays live.
  void UpdateMembers() {
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (!nodes[i].is_running) continue;
      std::vector<Member> live;
      for (std::size_t k = 0; k < nodes.size(); ++k)
        if (k != i && nodes[k].is_running && CanReach(i, k)) live.push_back(MemberOf(k));
      RegistryOutput output;
      nodes[i].registry->SetMembers(now, live, &output);
      HandleOutput(i, &output);
    }
  }

  bool Heartbeat(std::size_t i, const messages::RunnerRecord& record, std::string* report_to = nullptr) {
    if (!nodes[i].is_running || nodes[i].is_frozen) return false;
    RegistryOutput output;
    const auto answer = nodes[i].registry->Heartbeat(now, record, &output);
    HandleOutput(i, &output);
    if (report_to != nullptr) *report_to = answer.report_to;
    return answer.taken;
  }
  void Delete(std::size_t i, const std::string& runner_id) {
    RegistryOutput output;
    nodes[i].registry->Delete(now, runner_id, &output);
    HandleOutput(i, &output);
  }

  // Adds a runner that sends heartbeats from now on, first to a random dispatcher, then to its home.
  Runner& AddRunner(const std::string& runner_id, std::size_t zone = 0) {
    Runner& runner = runners[runner_id];
    runner.record = MakeRecord(runner_id, 0);
    runner.record.set_zone("zone-" + std::to_string(zone));
    runner.reports_to = random_() % nodes.size();
    runner.next_heartbeat = now;
    ScheduleHeartbeat(runner_id);
    return runner;
  }
  // Sends a heartbeat of a runner, with retries at other dispatchers until one accepts it. Returns that one.
  std::optional<std::size_t> SendHeartbeat(Runner* runner) {
    for (std::size_t attempt = 0; attempt < 2 * nodes.size(); ++attempt) {
      runner->record.set_call_count(runner->record.call_count() + 1);
      const std::size_t called = runner->reports_to;
      std::string report_to;
      if (Heartbeat(called, runner->record, &report_to)) {
        for (std::size_t i = 0; i < nodes.size(); ++i)
          if (Control(i) == report_to) runner->reports_to = i;
        return called;
      }
      runner->reports_to = random_() % nodes.size();
    }
    return std::nullopt;
  }

  void RunUntil(Time until) {
    while (!events_.empty() && events_.begin()->first.first <= until) {
      const auto first = events_.begin();
      now = first->first.first;
      const auto event = std::move(first->second);
      events_.erase(first);
      event();
    }
    now = until;
  }
  void RunFor(Time span) { RunUntil(now + span); }

  RunnerList Runners(std::size_t i) const { return nodes[i].registry->Runners(); }
  std::optional<messages::RunnerState> StateAt(std::size_t i, const std::string& runner_id) const {
    for (const auto& record : Runners(i))
      if (record->runner_id() == runner_id) return record->state();
    return std::nullopt;
  }
  std::string TableAt(std::size_t i) const {  // everything that must be equal on all nodes
    std::string table;
    for (const SharedRunnerRecord& shared_record : Runners(i)) {
      messages::RunnerRecord record = *shared_record;
      record.clear_cold_ms();
      record.clear_remaining_ms();
      table += record.ShortDebugString() + "\n";
    }
    return table;
  }
  bool AllKnow(const std::string& runner_id, std::optional<messages::RunnerState> state) const {
    for (std::size_t i = 0; i < nodes.size(); ++i)
      if (nodes[i].is_running && !nodes[i].is_frozen && StateAt(i, runner_id) != state) return false;
    return true;
  }
  bool AllAgree() const {
    std::set<std::string> tables;
    for (std::size_t i = 0; i < nodes.size(); ++i)
      if (nodes[i].is_running) tables.insert(TableAt(i));
    return tables.size() == 1;
  }

  Time Random(Time bound) { return static_cast<Time>(random_() % static_cast<std::uint64_t>(bound)); }

  Time now = 1000 * kSecond;
  std::vector<Node> nodes;
  std::map<std::string, Runner> runners;
  std::vector<int> sides;     // of a network partition, by node; empty: no partition
  DeliveryFunction delivery;  // none: each message arrives once, after 1 to 4 ms
  std::size_t messages_sent = 0;
  std::function<void(const SentMessage&)> on_send;

 private:
  void At(Time when, std::function<void()> event) { events_[{when, ++event_number_}] = std::move(event); }

  void ScheduleTick(std::size_t i, Time when) {
    const std::uint64_t incarnation = nodes[i].incarnation;
    At(when, [this, i, incarnation] {
      Node& node = nodes[i];
      if (!node.is_running || node.is_frozen || node.incarnation != incarnation) return;
      RegistryOutput output;
      node.registry->Tick(now, &output);
      HandleOutput(i, &output);
      ScheduleTick(i, std::max(now + kMillisecond, node.registry->NextTimer().value_or(now + kSecond)));
    });
  }
  void ScheduleHeartbeat(const std::string& runner_id) {
    At(runners[runner_id].next_heartbeat, [this, runner_id] {
      const auto found = runners.find(runner_id);
      if (found == runners.end() || !found->second.sends_heartbeats) return;
      SendHeartbeat(&found->second);
      found->second.next_heartbeat =
          now + kHeartbeatInterval - 50 * kMillisecond + Random(100 * kMillisecond);
      ScheduleHeartbeat(runner_id);
    });
  }

  void HandleOutput(std::size_t from, RegistryOutput* output) {
    for (RegistrySend& send : output->sends) {
      for (std::size_t to = 0; to < nodes.size(); ++to) {
        if (Address(to) != send.address) continue;
        Transmit({from, to, std::move(send.message)});
        break;
      }
    }
  }
  void Transmit(SentMessage sent) {
    ++messages_sent;
    if (on_send) on_send(sent);
    const std::vector<Time> delays =
        delivery ? delivery(&sent) : std::vector<Time>{kMillisecond + Random(3 * kMillisecond)};
    if (!CanReach(sent.from, sent.to)) return;
    for (const Time delay : delays)
      At(now + delay, [this, sent] { Deliver(sent.to, Address(sent.from), sent.message); });
  }
  void Deliver(std::size_t to, const std::string& from_address, const messages::RegistryMessage& message) {
    Node& node = nodes[to];
    if (!node.is_running) return;
    if (node.is_frozen) return node.held_back.emplace_back(from_address, message), void();
    messages::RegistryMessage read;  // goes through serialization, as on the wire
    if (!read.ParseFromString(message.SerializeAsString())) return;
    RegistryOutput output;
    node.registry->Receive(now, from_address, read, &output);
    HandleOutput(to, &output);
  }

  std::size_t zones_;
  std::mt19937_64 random_;
  std::uint64_t incarnations_ = 0;
  std::uint64_t event_number_ = 0;
  std::map<std::pair<Time, std::uint64_t>, std::function<void()>> events_;
};

}  // namespace lichenlug::registry
