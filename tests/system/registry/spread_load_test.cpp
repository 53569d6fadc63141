// The load that propagating runner changes puts on the link of a home, where acknowledgements are delayed by
// the queue on that link. Time is simulated.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <string>
#include <vector>

#include "registry/registry.h"
#include "registry_network.h"

namespace lichenlug::registry {
namespace {

constexpr int kPeers = 74, kRunners = 37;
constexpr int kModelsPerRunner = 4, kAdaptersPerModel = 8;  // in each runner's record
constexpr double kBytesPerMicrosecond = 1.25;               // 10 Mbit/s
constexpr std::size_t kOverhead = 120;  // bytes per message: its envelope and packet headers
constexpr Time kOneWayDelay = kMillisecond;
constexpr Time kStep = kMillisecond;

messages::RunnerRecord RecordOf(int runner, std::uint64_t call_count) {
  messages::RunnerRecord record = MakeRecord("i-" + std::to_string(runner), call_count);
  for (int model = 0; model < kModelsPerRunner; ++model) {
    auto* held = record.add_models();
    held->set_name("model-" + std::to_string(runner) + "-" + std::to_string(model));
    held->set_edition(static_cast<std::int64_t>(call_count));  // changes with each call
    for (int adapter = 0; adapter < kAdaptersPerModel; ++adapter)
      held->add_adapters("a" + std::to_string(adapter));
  }
  return record;
}

// A home and its link: messages are sent one after another, and each peer acknowledges those it receives.
class LoadedHome {
 public:
  LoadedHome() : registry_(MakeRegistry()) {
    std::vector<Member> peers;
    for (int peer = 1; peer <= kPeers; ++peer) peers.push_back(MakeMember(peer));
    RegistryOutput output;
    registry_.SetMembers(now_, peers, &output);
    HandleOutput(output);
  }

  void Change(int runner) {
    RegistryOutput output;
    registry_.Heartbeat(now_, RecordOf(runner, ++call_count_), &output);
    HandleOutput(output);
  }

  void RunFor(Time span) {
    for (const Time end = now_ + span; now_ < end; now_ += kStep) {
      DeliverAcknowledgements();
      RegistryOutput output;
      registry_.Tick(now_, &output);
      HandleOutput(output);
    }
  }

  // How long a message sent now waits in the queue of the link.
  Time Queue() const { return std::max<Time>(0, free_at_ - now_); }
  std::size_t bytes() const { return bytes_; }

 private:
  struct Acknowledgement {
    Time at = 0;
    std::string from;
    std::uint64_t number = 0;
  };

  void HandleOutput(const RegistryOutput& output) {
    for (const auto& send : output.sends) {
      const std::size_t size = send.message.ByteSizeLong() + kOverhead;
      bytes_ += size;
      free_at_ =
          std::max(free_at_, now_) + static_cast<Time>(static_cast<double>(size) / kBytesPerMicrosecond);
      if (send.message.update().wants_ack())
        acknowledgements_.push_back(
            {free_at_ + 2 * kOneWayDelay, send.address, send.message.update().number()});
    }
  }

  void DeliverAcknowledgements() {
    while (!acknowledgements_.empty() && acknowledgements_.front().at <= now_) {
      messages::RegistryMessage message;
      message.mutable_ack()->set_number(acknowledgements_.front().number);
      RegistryOutput output;
      registry_.Receive(now_, acknowledgements_.front().from, message, &output);
      acknowledgements_.pop_front();
      HandleOutput(output);
    }
  }

  Registry registry_;
  Time now_ = 100 * kSecond, free_at_ = 0;
  std::uint64_t call_count_ = 0;
  std::size_t bytes_ = 0;
  std::deque<Acknowledgement> acknowledgements_;  // in sending order
};

}  // namespace

TEST_CASE("a burst of changes does not keep the home's link saturated once it is over") {
  constexpr Time kBetweenChanges = 50 * kMillisecond;  // 20 per second, as observed with 37 runners
  LoadedHome home;
  for (int round = 0; round < 2; ++round) {
    for (int runner = 0; runner < kRunners; ++runner) {  // all runners report changes within 0.2 s
      home.Change(runner);
      home.RunFor(5 * kMillisecond);
    }
  }
  Time longest_later = 0;
  constexpr int kChanges = 80, kSettledAfter = 40;
  for (int change = 0; change < kChanges; ++change) {
    home.Change(change % kRunners);
    home.RunFor(kBetweenChanges);
    if (change >= kSettledAfter) longest_later = std::max(longest_later, home.Queue());
  }
  INFO("bytes " << home.bytes());
  CHECK(longest_later < 100 * kMillisecond);
}

}  // namespace lichenlug::registry
