#include "founding_world.h"

#include <algorithm>

#include "consensus/group.h"

namespace lichenlug::consensus {
namespace {

std::vector<std::string> SeatAddresses() { return {"10.0.0.1:7660", "10.0.0.2:7660", "10.0.0.3:7660"}; }

}  // namespace

FoundingTestbed::FoundingTestbed(const std::array<FirstStart, kSeats>& first_start) {
  for (std::size_t i = 0; i < kSeats; ++i) {
    if (first_start[i] == FirstStart::kNothingKept) {
      NewStore(i);
    } else {
      seats_[i].replica_id = FounderIdentity(Address(i));
      if (first_start[i] == FirstStart::kFounded) {
        *seats_[i].record.mutable_founding() = FirstStartFounding(SeatAddresses());
        seats_[i].record.set_established(true);
      }
    }
    Start(i);
  }
}

void FoundingTestbed::NewStore(std::size_t seat) {
  SeatState& state = seats_[seat];
  state.replica_id = bugs_.reuses_identity ? FounderIdentity(Address(seat))
                                           : std::to_string(seat) + "/" + std::to_string(++state.store_count);
  state.record.Clear();
  state.holds_values = false;
}

void FoundingTestbed::Start(std::size_t seat) {
  SeatState& state = seats_[seat];
  FoundingSettings settings;
  settings.proposer = std::to_string(seat) + "." + std::to_string(++state.start_count);
  settings.self_address = Address(seat);
  settings.replica_id = state.replica_id;
  settings.seats = SeatAddresses();
  state.agreement.emplace(std::move(settings), state.record);
}

void FoundingTestbed::BeginRound(std::size_t seat) {
  FoundingOutput output;
  seats_[seat].agreement->Tick(1'000'000'000, ReportsValues(seat), &output);
  HandleOutput(seat, std::move(output));
}

void FoundingTestbed::Deliver(const MessageInFlight& message) {
  const MessageInFlight taken = messages_.extract(message).value();
  messages::FoundingMessage parsed;
  parsed.ParseFromString(taken.bytes);
  FoundingOutput output;
  seats_[taken.to].agreement->Receive(0, Address(taken.from), parsed, ReportsValues(taken.to), &output);
  HandleOutput(taken.to, std::move(output));
}

void FoundingTestbed::HandleOutput(std::size_t seat, FoundingOutput output) {
  SeatState& state = seats_[seat];
  if (output.found) state.agreement->Learn(*output.found, output.established, &output);
  for (const FoundingSend& send : output.sends)
    messages_.insert({seat, SeatAt(send.address), send.message.SerializeAsString()});
  for (const FoundingWrite& write : output.writes) {
    const bool is_promise_only =
        write.record.founding().ballot().round() == state.record.founding().ballot().round() &&
        write.record.established() == state.record.established();
    if (!(bugs_.forgets_promises && is_promise_only)) state.record = write.record;
    FoundingOutput done;
    state.agreement->StoreDone(0, write.token, true, ReportsValues(seat), &done);
    HandleOutput(seat, std::move(done));
  }
}

void FoundingTestbed::Restart(std::size_t seat) { Start(seat); }

void FoundingTestbed::Wipe(std::size_t seat) {
  NewStore(seat);
  Start(seat);
}

void FoundingTestbed::LearnFirstFounding(std::size_t seat) {
  FoundingOutput output;
  seats_[seat].agreement->Learn(FirstStartFounding(SeatAddresses()), /*proven=*/false, &output);
  HandleOutput(seat, std::move(output));
}

std::vector<std::size_t> FoundingTestbed::Replicas(const messages::Founding& founding) const {
  std::vector<std::size_t> replicas;
  for (std::size_t i = 0; i < kSeats; ++i) {
    const auto& record = seats_[i].agreement->record();
    const bool holds = seats_[i].agreement->MayVoteInRegisters() &&
                       record.founding().SerializeAsString() == founding.SerializeAsString();
    const bool is_member =
        std::any_of(founding.group().members().begin(), founding.group().members().end(),
                    [&](const auto& member) { return member.replica_id() == seats_[i].replica_id; });
    if (holds && is_member) replicas.push_back(i);
  }
  return replicas;
}

std::vector<messages::Founding> FoundingTestbed::FoundingsWithQuorum() const {
  std::vector<messages::Founding> working;
  for (const SeatState& state : seats_) {
    const auto& record = state.agreement->record();
    if (!record.established()) continue;
    const auto replicas = Replicas(record.founding());
    const auto is_same = [&](const messages::Founding& other) {
      return other.SerializeAsString() == record.founding().SerializeAsString();
    };
    const bool known = std::any_of(working.begin(), working.end(), is_same);
    if (!known && replicas.size() * 2 > kSeats) working.push_back(record.founding());
  }
  return working;
}

void FoundingTestbed::ChooseValue(const messages::Founding& founding, std::size_t without) {
  const std::string group = founding.group().SerializeAsString();
  bool has_value = false;
  for (const std::size_t replica : Replicas(founding)) {
    if (replica == without) continue;
    has_value = has_value || seats_[replica].holds_values;
    seats_[replica].holds_values = true;
  }
  if (!chosen_group_.empty() && !has_value) broken_ = true;
  chosen_group_ = group;
}

void FoundingTestbed::DeliverAll() {
  while (!messages_.empty()) Deliver(*messages_.begin());
}

std::string FoundingTestbed::State() const {
  std::string state = chosen_group_;
  for (const SeatState& seat : seats_) {
    state += "|" + seat.replica_id + (seat.holds_values ? "+" : "-") + std::to_string(seat.start_count);
    state += seat.record.SerializeAsString() + "/" + seat.agreement->State();
  }
  for (const MessageInFlight& message : messages_)
    state += "|" + std::to_string(message.from) + std::to_string(message.to) + message.bytes;
  return state;
}

}  // namespace lichenlug::consensus
