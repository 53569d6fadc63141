// After a total power loss, dispatchers without a disk query the replica groups and read the configuration
// from the few machines that store it, over links of 10 Mbit/s.
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "linked_dispatchers.h"
#include "node/configuration_reader.h"
#include "node/group_keeper.h"
#include "node/group_query_targets.h"

namespace lichenlug::node {
namespace {

constexpr std::size_t kCore = 5;
constexpr std::size_t kConfigurationBytes = 60'000;
constexpr Time kPollInterval = 100 * kMillisecond;

// As observed in logs of power losses: processes start within 0.3 s, stores open up to 0.35 s later, and each
// machine knows all members, and which of them keep a store, up to 0.7 s after its start.
constexpr Time kStartSpread = 300 * kMillisecond;
constexpr Time kOpenSpread = 350 * kMillisecond;
constexpr Time kJoinSpread = 700 * kMillisecond;

// One machine. A core machine has a store, and knows the founding group once the store is open; any other
// machine has a register node once it knows the founding group.
struct Dispatcher {
  std::vector<Member> live;
  GroupQueryTargets query_targets;
  ConfigurationReader reader{0};
  bool knows = false;  // the configuration is known
};

class Recovery : LinkedDispatchers {
 public:
  Recovery(std::size_t others, std::uint64_t seed) : LinkedDispatchers(kCore, others), random_(seed) {
    dispatchers_.resize(kCore + others);
    for (std::size_t i = 0; i < dispatchers_.size(); ++i) {
      const Time started = RandomTime(kStartSpread);
      if (i < kCore) network_.At(started + RandomTime(kOpenSpread), [this, i] { Open(i); });
      network_.At(started + RandomTime(kJoinSpread), [this, i] { Join(i); });
    }
  }

  // The time at which the last dispatcher knows the configuration; nullopt if not within `longest`.
  std::optional<Time> Run(Time longest) {
    const auto all_know = [this] { return knowing_ == dispatchers_.size(); };
    return network_.RunUntil(all_know, longest) ? std::optional(network_.now()) : std::nullopt;
  }

  double megabytes() const { return static_cast<double>(network_.bytes()) / 1e6; }

 private:
  Time RandomTime(Time max_time) { return std::uniform_int_distribution<Time>(0, max_time)(random_); }

  void Open(std::size_t index) {
    OpenStore(index, std::string(kConfigurationBytes, 'c'), random_());
    dispatchers_[index].reader.Completed(
        network_.now(),
        /*answered=*/false);  // a read started without the store ends when it opens
    ReadIfDue(index);
  }

  void Join(std::size_t index) {
    Dispatcher& joined = dispatchers_[index];
    for (std::size_t i = 0; i < dispatchers_.size(); ++i) {
      Member member;
      member.address = addresses_[i];
      if (i < kCore) member.replica_id = "store-" + store_names_[i];
      joined.live.push_back(std::move(member));
    }
    Ask(index);
  }

  void Ask(std::size_t index) {
    Dispatcher& asker = dispatchers_[index];
    if (nodes_[index]) return;
    for (const std::string& address : asker.query_targets.Next(asker.live, addresses_[index])) {
      messages::GroupHints question;
      question.set_wants_reply(true);
      const std::size_t asked = std::stoul(address);
      network_.Send(index, asked, question.ByteSizeLong(), [this, index, asked] { Answer(asked, index); });
    }
    network_.At(network_.now() + kPollInterval, [this, index] { Ask(index); });
  }

  void Answer(std::size_t asked, std::size_t asker) {
    if (!nodes_[asked]) return;
    messages::GroupHints hints;
    *hints.mutable_founding()->mutable_group() = consensus::FoundingGroup(Stores());
    for (const std::string& name : AllRegisters()) {
      messages::RegisterGroup* group = hints.add_groups();
      group->set_register_name(name);
      *group->mutable_group() = hints.founding().group();
    }
    network_.Send(asked, asker, hints.ByteSizeLong(), [this, asker] { LearnFounding(asker); });
  }

  void LearnFounding(std::size_t index) {
    if (nodes_[index]) return;
    nodes_[index] = std::make_unique<consensus::RegisterNode>(SettingsOf(index, random_()));
    dispatchers_[index].reader.RegistersKnown(network_.now());
    ReadIfDue(index);
  }

  void ReadIfDue(std::size_t index) {
    const auto timer = dispatchers_[index].reader.NextTimer();
    if (timer) network_.At(std::max(*timer, network_.now()), [this, index] { Read(index); });
  }

  void Read(std::size_t index) {
    const auto read = dispatchers_[index].reader.Next(network_.now());
    if (!read) return;
    consensus::RegisterOutput output;
    if (index < kCore)
      nodes_[index]->Submit(network_.now(), consensus::kName, consensus::Reads(), read->deadline, &output);
    else
      nodes_[index]->Read(network_.now(), consensus::kName, read->deadline, &output);
    Execute(index, std::move(output));
  }

  void Completed(std::size_t index, const consensus::Completion& completion) override {
    Dispatcher& done = dispatchers_[index];
    const bool answered = completion.outcome == consensus::Outcome::kKept;
    done.reader.Completed(network_.now(), answered);
    if (answered && !completion.payload.empty()) {
      done.reader.Confirmed();
      if (!std::exchange(done.knows, true)) ++knowing_;
    }
    ReadIfDue(index);
  }

  std::mt19937_64 random_;
  std::vector<Dispatcher> dispatchers_;
  std::size_t knowing_ = 0;
};

constexpr Time kBound =
    2 * kSecond;  // from the return of power; machines take 1.05 s of it to start and join
constexpr Time kLongest = 30 * kSecond;

}  // namespace

TEST_CASE("after a total power loss 68 and 300 dispatchers without a disk know the configuration in time") {
  for (const std::size_t others : {68, 300}) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      Recovery recovery(others, seed);
      const std::optional<Time> known = recovery.Run(kLongest);
      CAPTURE(others, seed, known, recovery.megabytes());
      REQUIRE(known);
      CHECK(*known <= kBound);
      // Each dispatcher receives the configuration once; other traffic is small.
      CHECK(recovery.megabytes() <= 0.12 * static_cast<double>(others + kCore));
    }
  }
}

}  // namespace lichenlug::node
