#include "scenario.h"

#include <algorithm>

namespace lichenlug::consensus {
namespace {

const std::vector<std::string> kRegisters = {"configuration", "duties/3"};
constexpr Time kPatience = 1500 * kMillisecond;
constexpr Time kSettled = 20 * kSecond;  // by then all is well again after the last fault

class Day {
 public:
  Day(const Scenario& scenario, std::uint64_t seed)
      : scenario_(scenario),
        world_(seed, scenario.founders, scenario.others_with_disk, scenario.without_disk) {}

  std::vector<std::string> Play() {
    world_.network = scenario_.network;
    faults_end_ = world_.now() + scenario_.lasts;
    Call();
    Reconcile();
    Trouble();
    world_.RunUntil(faults_end_);
    Heal();
    auto violations = CheckProgress();
    const auto more = world_.Violations();
    violations.insert(violations.end(), more.begin(), more.end());
    return violations;
  }

 private:
  const std::string& AnyRegister() { return kRegisters[world_.Draw(kRegisters.size())]; }
  int AnyRunning() {
    const auto running = world_.Running();
    return running.empty() ? -1 : running[world_.Draw(running.size())];
  }
  bool Frozen(int index) { return world_.machine(index).frozen_until > world_.now(); }
  Time Within(Time span) { return static_cast<Time>(world_.Draw(static_cast<std::uint64_t>(span))); }

  std::string Expectation(const std::string& name) {
    return world_.Chance(0.3) ? world_.history(name).LastProposed() : world_.LastToldPayload(name);
  }

  // Calls of every kind, at any machine, while the faults last.
  void Call() {
    if (world_.now() >= faults_end_) return;
    world_.At(world_.now() + Within(60 * kMillisecond), [this] { Call(); });
    const int index = AnyRunning();
    if (index < 0 || Frozen(index)) return;
    const std::string& name = AnyRegister();
    const Time patience = Within(kPatience) + 1;
    switch (world_.Draw(3)) {
      case 0:
        world_.Append(index, name, patience);
        break;
      case 1:
        world_.AppendAfter(index, name, Expectation(name), patience);
        break;
      default:
        world_.Read(index, name, patience);
    }
  }

  // What the assembly does all the time: hints of groups go round, lost replicas are replaced.
  void Reconcile() {
    world_.At(world_.now() + Within(200 * kMillisecond), [this] { Reconcile(); });
    world_.ForgetLostWhereReplaced(kRegisters);
    const int index = AnyRunning();
    if (index < 0 || Frozen(index)) return;
    const std::string& name = AnyRegister();
    const auto group = world_.machine(index).node->KnownGroup(name);
    const int other = AnyRunning();
    world_.machine(other).node->LearnGroup(name, group);
    if (group.next_members_size() > 0) {
      world_.Read(index, name, kPatience);  // finishes it
      return;
    }
    std::vector<messages::ReplicaIdentity> members(group.members().begin(), group.members().end());
    const bool changed = ReplaceLost(&members) | (ReplacesAnyway() && ReplaceOne(&members));
    if (changed) world_.ChangeGroup(index, name, {members, group.version()}, kPatience);
  }

  bool ReplacesAnyway() {
    return scenario_.group_changes && world_.now() < faults_end_ && world_.Chance(0.3);
  }

  bool IsThere(const messages::ReplicaIdentity& member) {
    for (int i = 0; i < world_.machine_count(); ++i) {
      if (world_.machine(i).replica_id == member.replica_id()) return !world_.machine(i).removed;
    }
    return false;
  }

  bool Replace(messages::ReplicaIdentity* member, const std::vector<messages::ReplicaIdentity>& members) {
    std::vector<messages::ReplicaIdentity> spares;
    for (int i = 0; i < world_.machine_count(); ++i) {
      const Machine& machine = world_.machine(i);
      const bool is_member = std::any_of(members.begin(), members.end(), [&](const auto& other) {
        return other.replica_id() == machine.replica_id;
      });
      if (machine.Runs() && machine.has_disk && !machine.removed && !is_member) {
        spares.push_back(machine.Identity());
        if (machine.address == member->address()) spares.assign(3, machine.Identity());
      }
    }
    if (spares.empty()) return false;
    *member = spares[world_.Draw(spares.size())];
    return true;
  }

  bool ReplaceLost(std::vector<messages::ReplicaIdentity>* members) {
    for (auto& member : *members) {
      if (!IsThere(member)) return Replace(&member, *members);
    }
    return false;
  }

  bool ReplaceOne(std::vector<messages::ReplicaIdentity>* members) {
    return Replace(&(*members)[world_.Draw(members->size())], *members);
  }

  void Trouble() {
    if (world_.now() >= faults_end_) return;
    world_.At(world_.now() + Within(400 * kMillisecond), [this] { Trouble(); });
    const int index = AnyRunning();
    if (index < 0) return;
    switch (world_.Draw(7)) {
      case 0:
        if (scenario_.kills) KillSome();
        break;
      case 1:
        if (scenario_.wipes) Lose(index);
        break;
      case 2:
        if (scenario_.freezes) world_.Freeze(index, Within(kSecond));
        break;
      case 3:
        if (scenario_.cuts) Cut(index);
        break;
      case 4:
        if (scenario_.disk_troubles) world_.machine(index).disk_stalls_until = world_.now() + Within(kSecond);
        break;
      case 5:
        if (scenario_.disk_troubles) world_.machine(index).disk_fails_until = world_.now() + Within(kSecond);
        break;
      default:
        world_.cuts.clear();
    }
  }

  void KillSome() {
    const bool all = world_.Chance(0.2);
    for (const int index : world_.Running()) {
      if (!all && !world_.Chance(0.3)) continue;
      world_.Kill(index);
      world_.At(world_.now() + Within(kSecond), [this, index] { world_.Start(index); });
    }
  }

  // A machine loses its disk and returns with an empty one, or is replaced by one at another address.
  void Lose(int index) {
    const int tolerated = (scenario_.founders - 1) / 2;
    if (!world_.machine(index).has_disk || world_.replicas_lost() >= tolerated) return;
    int successor = index;
    if (world_.Chance(0.3)) {
      world_.Remove(index);
      successor = world_.Add(/*with_disk=*/true);
    } else {
      world_.Wipe(index);
    }
    world_.At(world_.now() + Within(kSecond), [this, successor] { world_.Start(successor); });
  }

  void Cut(int index) {
    for (int other = 0; other < world_.machine_count(); ++other) {
      if (world_.Chance(0.5)) world_.cuts.insert({index, other});
      if (world_.Chance(0.5)) world_.cuts.insert({other, index});
    }
  }

  void Heal() {
    world_.network = {};
    world_.cuts.clear();
    for (int i = 0; i < world_.machine_count(); ++i) {
      Machine& machine = world_.machine(i);
      machine.frozen_until = machine.disk_stalls_until = machine.disk_fails_until = 0;
      world_.Start(i);
    }
  }

  std::vector<std::string> CheckProgress() {
    std::vector<std::pair<std::string, int>> calls;
    for (const auto& name : kRegisters) {
      for (const int index : world_.Running()) {
        calls.emplace_back(name, world_.Append(index, name, kSettled));
        calls.emplace_back(name, world_.Read(index, name, kSettled));
      }
    }
    const auto done = [&] {
      return std::all_of(calls.begin(), calls.end(), [this](const auto& call) {
        return world_.history(call.first).Succeeded(call.second);
      });
    };
    if (world_.RunUntil(world_.now() + kSettled, done)) return {};
    return {"no progress after the end of the faults"};
  }

  Scenario scenario_;
  World world_;
  Time faults_end_ = 0;
};

}  // namespace

std::vector<std::string> Play(const Scenario& scenario, std::uint64_t seed) {
  return Day(scenario, seed).Play();
}

}  // namespace lichenlug::consensus
