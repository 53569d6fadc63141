// The network and the disks of the testbed.
#include <algorithm>

#include "world.h"

namespace lichenlug::consensus {

void Testbed::Send(int from, RegisterSend send) {
  const std::string& name = send.message.register_name();
  const bool is_whole = send.message.has_accept() && !send.message.accept().has_base();
  if (is_whole) history(name).RecordProposed(send.message.accept().value().payload());
  const bool alters = messages_sent_++ == network.alter_message || Chance(network.alter);
  if (network.alter_message >= 0 || network.alter > 0) alterer_.Observe(send.message);
  const auto to = std::find_if(machines_.begin(), machines_.end(),
                               [&](const auto& machine) { return machine->address == send.address; });
  if (to == machines_.end()) return;
  const int target = static_cast<int>(to - machines_.begin());
  if (alters) alterer_.Alter(&send.message, network.new_checksum, &random_);
  const int copies = Chance(network.drop) ? 0 : Chance(network.duplicate) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const Time longest = Chance(network.slow) ? 500 * kMillisecond : 4 * kMillisecond;
    const Time delay = 500 + static_cast<Time>(Draw(longest));
    At(now_ + delay, [this, from, target, message = send.message] { Deliver(from, target, message); });
  }
}

void Testbed::Deliver(int from, int to, const messages::RegisterMessage& message) {
  Machine& machine = *machines_[to];
  if (!machine.IsRunning() || cuts.contains({from, to})) return;
  if (machine.frozen_until > now_) {
    At(machine.frozen_until, [this, from, to, message] { Deliver(from, to, message); });
    return;
  }
  RegisterOutput output;
  machine.node->Receive(ClockOf(machine), machines_[from]->address, message, &output);
  HandleOutput(to, std::move(output));
}

void Testbed::BeginWrite(int index, const RegisterWrite& write) {
  constexpr std::string_view kAccepted = "accepted/";
  if (write.key.starts_with(kAccepted)) {
    messages::StoredAccept stored;
    stored.ParseFromString(write.value);
    History& written = history(write.key.substr(kAccepted.size()));
    written.RecordProposed(stored.value().payload());
    written.RecordAccepted(stored.ballot(), stored.value().SerializeAsString());
  }
  Machine& machine = *machines_[index];
  machine.pending_writes.push_back({write.token, write.key, write.value});
  if (machine.pending_writes.size() == 1) ScheduleWrite(index);
}

void Testbed::ScheduleWrite(int index) {
  Machine& machine = *machines_[index];
  const Time begins = std::max(now_, machine.disk_stalls_until);
  const Time takes = 300 + static_cast<Time>(Draw(2 * kMillisecond));
  At(begins + takes, [this, index, incarnation = machine.incarnation] { FinishWrite(index, incarnation); });
}

void Testbed::FinishWrite(int index, std::uint64_t incarnation) {
  Machine& machine = *machines_[index];
  if (!machine.IsRunning() || machine.incarnation != incarnation || machine.pending_writes.empty()) return;
  if (machine.frozen_until > now_) {
    At(machine.frozen_until, [this, index, incarnation] { FinishWrite(index, incarnation); });
    return;
  }
  const DiskWrite write = std::move(machine.pending_writes.front());
  machine.pending_writes.pop_front();
  const bool written = now_ >= machine.disk_fails_until;
  if (written || Chance(0.5))
    machine.disk[write.key] = write.value;  // a failed write may persist nevertheless
  if (!machine.pending_writes.empty()) ScheduleWrite(index);
  RegisterOutput output;
  machine.node->StoreDone(ClockOf(machine), write.token, written, &output);
  HandleOutput(index, std::move(output));
}

}  // namespace lichenlug::consensus
