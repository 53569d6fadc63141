// Simulates candidates for one duty over a linearizable register, with delays, lost answers, changes that
// take effect late, clock drift, pauses, crashes and restarts. Time is simulated; randomness comes from a
// seed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "duties/ownership.h"
#include "duties/ownership_changes.h"

namespace lichenlug::duties {

class OwnershipSimulation {
 public:
  static constexpr Time kLease = 3 * kSecond;

  struct Node {
    std::unique_ptr<Ownership> ownership;
    std::uint64_t incarnation = 0;
    bool is_running = false;
    bool is_frozen = false;
    bool is_cut_off = false;    // from the register
    bool is_suspected = false;  // not live according to the others
    bool wanted = true;
    bool is_ready = true;
    double clock_rate = 1;
    Time clock_offset = 0;
    std::vector<std::pair<std::uint64_t, consensus::Completion>> held_back;  // arrived while it was frozen
  };
  struct Action {  // an external call by a holder
    Time at = 0;
    std::size_t node = 0;
    std::uint64_t incarnation = 0, epoch = 0;
    Time call_deadline = 0;  // like `at`, in simulation time
  };

  OwnershipSimulation(std::size_t count, std::uint64_t seed) : random_(seed) {
    nodes.resize(count);
    for (std::size_t i = 0; i < count; ++i) Start(i);
    UpdateMembers();
  }

  std::string Name(std::size_t i) const { return "dispatcher-" + std::to_string(i); }
  Time LocalTime(std::size_t i) const {
    return static_cast<Time>(static_cast<double>(now) * nodes[i].clock_rate) + nodes[i].clock_offset;
  }

  void Start(std::size_t i) {
    Node& node = nodes[i];
    const double rate = node.clock_rate;
    const Time offset = node.clock_offset;
    node = Node();
    node.clock_rate = rate;
    node.clock_offset = offset;
    // Like a clock reading at its start.
    node.incarnation = static_cast<std::uint64_t>(now) + ++incarnations_;
    node.is_running = true;
    OwnershipSettings settings;
    settings.register_name = "duties/0";
    settings.self_name = Name(i);
    settings.self_incarnation = node.incarnation;
    settings.lease = kLease;
    settings.seed = random_();
    settings.recent_loads = [this](Time) { return loads; };
    node.ownership = std::make_unique<Ownership>(settings);
  }
  void Kill(std::size_t i) { nodes[i].is_running = false; }
  void Freeze(std::size_t i) { nodes[i].is_frozen = true; }
  void Thaw(std::size_t i) {
    nodes[i].is_frozen = false;
    for (const auto& [tag, completion] : std::exchange(nodes[i].held_back, {})) Complete(i, tag, completion);
  }
  void Resign(std::size_t i) {
    OwnershipOutput output;
    nodes[i].ownership->Resign(LocalTime(i), &output);
    HandleOutput(i, &output);
  }
  void ChooseTally(std::size_t i, const messages::WindowCount& tally) {
    OwnershipOutput output;
    nodes[i].ownership->ChooseTally(LocalTime(i), tally, &output);
    HandleOutput(i, &output);
  }

  // Updates the members of each running node: those that run, are not frozen and are not suspected.
  void UpdateMembers() {
    for (std::size_t i = 0; i < nodes.size(); ++i)
      if (Runs(i)) nodes[i].ownership->SetMembers(LocalTime(i), LiveFor(i), nodes[i].wanted);
  }
  std::vector<Member> LiveFor(std::size_t observer) const {
    std::vector<Member> live;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (!Runs(i) || (nodes[i].is_suspected && i != observer)) continue;
      Member member;
      member.name = Name(i);
      member.incarnation = nodes[i].incarnation + refutations;
      member.ready = nodes[i].is_ready;
      member.replica_id = i < stores ? "replica-" + std::to_string(i) : "";
      live.push_back(member);
    }
    return live;
  }

  bool Runs(std::size_t i) const { return nodes[i].is_running && !nodes[i].is_frozen; }
  bool Holds(std::size_t i) const { return Runs(i) && nodes[i].ownership->Holds(LocalTime(i)); }
  std::optional<std::size_t> Holder() const {
    for (std::size_t i = 0; i < nodes.size(); ++i)
      if (Holds(i)) return i;
    return std::nullopt;
  }

  // Advances time in steps of 10 ms; every holder acts in each step.
  void RunFor(Time span) {
    for (const Time until = now + span; now < until;) {
      now += 10 * kMillisecond;
      while (!events_.empty() && events_.begin()->first.first <= now) {
        const auto event = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        event();
      }
      for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (!Runs(i)) continue;
        const std::optional<Time> timer = nodes[i].ownership->NextTimer();
        if (timer && *timer > LocalTime(i)) continue;
        OwnershipOutput output;
        nodes[i].ownership->Tick(LocalTime(i), &output);
        HandleOutput(i, &output);
      }
      for (std::size_t i = 0; i < nodes.size(); ++i)
        if (Holds(i)) actions.push_back(ActionOf(i));
    }
  }

  Time Random(Time bound) { return static_cast<Time>(random_() % static_cast<std::uint64_t>(bound)); }

  Time now = 1000 * kSecond;
  std::size_t stores = 100;       // the first `stores` nodes have a store
  std::uint64_t refutations = 0;  // refuted suspicions, which increase the incarnations of all members
  std::vector<Node> nodes;
  std::vector<Action> actions;
  std::string payload;                       // of the register
  std::vector<messages::LoadHistory> loads;  // recorded by any owner with its renewals
  bool is_faulty = false;
  bool replicas_notified = true;  // of proposals, before their outcome is known
  std::size_t operations = 0, changes_reported = 0;
  std::function<void()> on_change;  // after each change of the payload

 private:
  Action ActionOf(std::size_t i) const {
    const Node& node = nodes[i];
    const auto since_start = static_cast<double>(node.ownership->CallDeadline().value() - node.clock_offset);
    const auto call_deadline = static_cast<Time>(since_start / node.clock_rate);
    return {now, i, node.incarnation, node.ownership->epoch(), call_deadline};
  }

  void At(Time when, std::function<void()> event) { events_[{when, ++event_number_}] = std::move(event); }

  void HandleOutput(std::size_t i, OwnershipOutput* output) {
    if (output->changed) ++changes_reported;
    for (RegisterOperation& operation : output->operations) Submit(i, operation);
  }

  void Submit(std::size_t i, const RegisterOperation& operation) {
    ++operations;
    const Time timeout = std::max<Time>(0, operation.deadline - LocalTime(i));
    const std::uint64_t incarnation = nodes[i].incarnation;
    const auto answer = [this, i, incarnation, tag = operation.tag](const consensus::Completion& completion) {
      if (nodes[i].incarnation == incarnation) Complete(i, tag, completion);
    };
    if (nodes[i].is_cut_off || (is_faulty && Random(20) == 0)) {
      At(now + timeout, [answer] { answer({}); });  // never proposed
      return;
    }
    const bool is_slow = is_faulty && Random(8) == 0;
    const Time applied = now + kMillisecond + Random(is_slow ? 5 * kSecond : 20 * kMillisecond);
    const Time answered = applied + Random(is_slow ? 2 * kSecond : 20 * kMillisecond);
    if (answered > now + timeout) {
      consensus::Completion unknown;
      unknown.outcome = consensus::Outcome::kUnknown;
      At(now + timeout, [answer, unknown] { answer(unknown); });
      if (Random(2) == 0)
        At(applied, [this, change = operation.change] { AcceptByMinority(change); });
      else
        At(applied, [this, change = operation.change] { Apply(change); });
      return;
    }
    At(applied, [this, answer, answered, change = operation.change] {
      const consensus::Completion completion = Apply(change);
      At(answered, [answer, completion] { answer(completion); });
    });
  }

  consensus::Completion Apply(const consensus::ChangeFunction& change) {
    change("");  // an attempt that was not chosen
    consensus::Completion completion;
    const consensus::Change result = change(payload);
    if (const auto* next = std::get_if<consensus::NewPayload>(&result)) {
      payload = next->payload;
      completion.outcome = consensus::Outcome::kChosen;
      NotifyReplicas(payload);
      if (on_change) on_change();
    } else {
      completion.outcome = consensus::Outcome::kKept;
      completion.reason = std::get<consensus::KeepPayload>(result).reason;
    }
    completion.payload = payload;
    return completion;
  }

  // The change is accepted by too few replicas to be chosen.
  void AcceptByMinority(const consensus::ChangeFunction& change) {
    const consensus::Change result = change(payload);
    if (const auto* next = std::get_if<consensus::NewPayload>(&result)) NotifyReplicas(next->payload);
  }

  // Asks the candidates' local replicas to accept a payload: some later, some never.
  void NotifyReplicas(const std::string& accepting) {
    if (!replicas_notified) return;
    const std::optional<messages::OwnershipState> state = ReadState(accepting);
    if (!state) return;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (is_faulty && Random(3) == 0) continue;
      const std::uint64_t incarnation = nodes[i].incarnation;
      At(now + Random(is_faulty ? 2 * kSecond : 5 * kMillisecond), [this, i, incarnation, state] {
        const bool is_reachable = Runs(i) && !nodes[i].is_cut_off && nodes[i].incarnation == incarnation;
        if (is_reachable) nodes[i].ownership->Accepting(LocalTime(i), *state);
      });
    }
  }

  void Complete(std::size_t i, std::uint64_t tag, const consensus::Completion& completion) {
    if (!nodes[i].is_running) return;
    if (nodes[i].is_frozen) return nodes[i].held_back.emplace_back(tag, completion), void();
    OwnershipOutput output;
    nodes[i].ownership->Completed(LocalTime(i), tag, completion, &output);
    HandleOutput(i, &output);
  }

  std::mt19937_64 random_;
  std::uint64_t incarnations_ = 0;
  std::uint64_t event_number_ = 0;
  std::map<std::pair<Time, std::uint64_t>, std::function<void()>> events_;
};

}  // namespace lichenlug::duties
