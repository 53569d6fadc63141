#include "world.h"

#include <algorithm>

#include "messages/generated/consensus.pb.h"

namespace lichenlug::consensus {

Testbed::Testbed(std::uint64_t seed, int founders, int others_with_disk, int without_disk) : random_(seed) {
  for (int i = 0; i < founders + others_with_disk + without_disk; ++i) {
    const int index = Add(/*with_disk=*/i < founders + others_with_disk);
    if (i >= founders) continue;
    machine(index).replica_id = "founder:" + machine(index).address;
    founding_.push_back(machine(index).Identity());
  }
  for (int i = 0; i < machine_count(); ++i) {
    At(now_ + static_cast<Time>(Draw(300)) * kMillisecond, [this, i] { Start(i); });
  }
}

int Testbed::Add(bool with_disk) {
  const int index = machine_count();
  auto machine = std::make_unique<Machine>();
  machine->address = "10.0.0." + std::to_string(index) + ":7660";
  machine->has_disk = with_disk;
  if (with_disk) machine->replica_id = "replica-" + std::to_string(random_());
  machine->clock_offset = static_cast<Time>(Draw(100)) * kSecond;
  machines_.push_back(std::move(machine));
  return index;
}

void Testbed::At(Time at, std::function<void()> event) {
  events_.push({at, ++last_order_, std::move(event)});
}

void Testbed::RunUntil(Time end) {
  RunUntil(end, [] { return false; });
}

bool Testbed::RunUntil(Time end, const std::function<bool()>& done) {
  while (!done()) {
    if (events_.empty() || events_.top().at > end) {
      now_ = std::max(now_, end);
      return done();
    }
    const auto event = std::move(const_cast<Event&>(events_.top()));
    events_.pop();
    now_ = std::max(now_, event.at);
    event.run();
  }
  return true;
}

std::vector<int> Testbed::Running() const {
  std::vector<int> indexes;
  for (int i = 0; i < machine_count(); ++i) {
    if (machines_[i]->IsRunning()) indexes.push_back(i);
  }
  return indexes;
}

std::vector<std::string> Testbed::Violations() const {
  std::vector<std::string> all;
  for (const auto& [name, history] : histories_) {
    for (const auto& violation : history.Violations()) all.push_back(name + ": " + violation);
  }
  return all;
}

void Testbed::Start(int index) {
  Machine& machine = *machines_[index];
  if (machine.IsRunning() || machine.removed) return;
  RegisterNodeSettings settings;
  settings.proposer = machine.address + "#" + std::to_string(++machine.incarnation);
  settings.self_address = settings.self_name = machine.address;
  settings.replica_id = machine.replica_id;
  settings.founding_group = founding_;
  settings.seed = random_();
  // Most machines send deltas even of short values; some always send full values, like an older version.
  if ((index + machine.incarnation) % 4 != 0) settings.min_delta_bytes = 0;
  machine.node = std::make_unique<RegisterNode>(settings);
  machine.frozen_until = 0;
  machine.tick_at = -1;
  if (!machine.node->Restore({machine.disk.begin(), machine.disk.end()})) {
    histories_["disk"].RecordAccepted({}, "unreadable records at " + settings.proposer);
    histories_["disk"].RecordAccepted({}, "");
  }
  ScheduleTick(index);
}

void Testbed::Kill(int index) {
  Machine& machine = *machines_[index];
  const std::uint64_t kept = Draw(machine.pending_writes.size() + 1);
  for (std::uint64_t i = 0; i < kept; ++i)
    machine.disk[machine.pending_writes[i].key] = machine.pending_writes[i].value;
  machine.pending_writes.clear();
  machine.node.reset();
  for (const auto& [id, call] : machine.pending) EndGroupCall(call, submitted_[{index, id}].first);
  machine.pending.clear();
}

void Testbed::Wipe(int index) {
  Machine& machine = *machines_[index];
  Kill(index);
  if (!machine.has_disk) return;
  machine.disk.clear();
  lost_replicas_.insert(machine.replica_id);
  last_loss_ = now_;
  machine.replica_id = "replica-" + std::to_string(random_());
}

void Testbed::Remove(int index) {
  Wipe(index);
  machines_[index]->removed = true;
}

void Testbed::Freeze(int index, Time span) { machines_[index]->frozen_until = now_ + span; }

void Testbed::ForgetReplacedLosses(const std::vector<std::string>& registers) {
  for (const auto& [call, begun] : group_calls_) {
    if (begun <= last_loss_) return;
  }
  for (const auto& name : registers) {
    const ReportedGroup& reported = reported_groups_[name];
    if (reported.submitted_at <= last_loss_ || reported.submitted_at <= old_group_call_ended_) return;
    if (reported.group.next_members_size() > 0) return;
    for (const auto& member : reported.group.members()) {
      if (lost_replicas_.contains(member.replica_id())) return;
    }
  }
  lost_replicas_.clear();
}

void Testbed::EndGroupCall(int call, const std::string& register_name) {
  const auto ended = group_calls_.extract({register_name, call});
  if (!ended.empty() && ended.mapped() <= last_loss_) old_group_call_ended_ = now_;
}

int Testbed::Append(int index, const std::string& register_name, Time timeout) {
  const int call = history(register_name).Begin(now_, History::Kind::kAppend);
  const auto change = [call](const std::string& payload) -> Change {
    return NewPayload{History::Append(payload, call)};
  };
  return Submit(index, register_name, call, change, timeout);
}

int Testbed::AppendAfter(int index, const std::string& register_name, const std::string& expected,
                         Time timeout) {
  const int call = history(register_name).Begin(now_, History::Kind::kAppendAfter, expected);
  const auto change = [call, expected](const std::string& payload) -> Change {
    if (payload != expected) return KeepPayload{1};
    return NewPayload{History::Append(payload, call)};
  };
  return Submit(index, register_name, call, change, timeout);
}

int Testbed::Read(int index, const std::string& register_name, Time timeout) {
  const int call = history(register_name).Begin(now_, History::Kind::kRead);
  const auto change = [](const std::string&) -> Change { return KeepPayload{}; };
  return Submit(index, register_name, call, change, timeout);
}

int Testbed::ChangeGroup(int index, const std::string& register_name, const NewGroup& group, Time timeout) {
  const int call = history(register_name).Begin(now_, History::Kind::kGroup);
  group_calls_[{register_name, call}] = now_;
  const auto change = [group](const std::string&) -> Change { return group; };
  return Submit(index, register_name, call, change, timeout);
}

int Testbed::Submit(int index, const std::string& register_name, int call, ChangeFunction change,
                    Time timeout) {
  Machine& machine = *machines_[index];
  RegisterOutput output;
  // The operation may end within Submit, before its id is known here.
  const Time clock = ClockOf(machine);
  const OperationId id =
      machine.node->Submit(clock, register_name, std::move(change), clock + timeout, &output);
  machine.pending[id] = call;
  submitted_[{index, id}] = {register_name, now_};
  HandleOutput(index, std::move(output));
  return call;
}

void Testbed::HandleOutput(int index, RegisterOutput output) {
  for (const auto& write : output.writes) BeginWrite(index, write);
  for (auto& send : output.sends) Send(index, std::move(send));
  for (const auto& completion : output.completions) Complete(index, completion);
  ScheduleTick(index);
}

void Testbed::Complete(int index, const Completion& completion) {
  Machine& machine = *machines_[index];
  const auto [register_name, submitted_at] = submitted_[{index, completion.operation}];
  const int call = machine.pending[completion.operation];
  machine.pending.erase(completion.operation);
  history(register_name).End(now_, call, completion);
  EndGroupCall(call, register_name);
  if (completion.outcome != Outcome::kChosen && completion.outcome != Outcome::kKept) return;
  reported_payloads_[register_name] = completion.payload;
  if (!history(register_name).HasChanged(call)) return;
  ReportedGroup& reported = reported_groups_[register_name];
  if (completion.group.version() < reported.group.version()) return;
  reported = {std::max(reported.submitted_at, submitted_at), completion.group};
}

void Testbed::ScheduleTick(int index) {
  Machine& machine = *machines_[index];
  const auto timer = machine.node->NextTimer();
  if (!timer) return;
  const Time at = std::max(now_, *timer - machine.clock_offset) + static_cast<Time>(Draw(2 * kMillisecond));
  if (machine.tick_at >= now_ && machine.tick_at <= at) return;
  machine.tick_at = at;
  At(at, [this, index, at, incarnation = machine.incarnation] {
    Machine& ticked = *machines_[index];
    if (!ticked.IsRunning() || ticked.incarnation != incarnation || ticked.tick_at != at) return;
    if (ticked.frozen_until > now_) {
      ticked.tick_at = -1;
      At(ticked.frozen_until, [this, index] {
        if (machines_[index]->IsRunning()) ScheduleTick(index);
      });
      return;
    }
    ticked.tick_at = -1;
    RegisterOutput output;
    ticked.node->Tick(ClockOf(ticked), &output);
    HandleOutput(index, std::move(output));
  });
}

}  // namespace lichenlug::consensus
