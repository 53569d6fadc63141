// Power returns after a total loss in a deployment with a large configuration and seven stores, of which two
// may be lost. Each process knows only itself at first. This must not change a replica group, let proposers
// preempt one another for long, or send the configuration more often than needed.
#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "linked_dispatchers.h"
#include "node/configuration_reader.h"
#include "node/group_mover.h"

namespace lichenlug::node {
namespace {

constexpr std::size_t kStores = 7;
constexpr std::size_t kOthers = 20;
constexpr int kTolerated = 2;
constexpr std::size_t kConfigurationBytes = 60'000;
constexpr std::size_t kPushBytes = 400;  // size of a pushed difference
constexpr Time kPollInterval = 300 * kMillisecond;
constexpr Time kCheckInterval = 300 * kMillisecond;

// As observed in logs of power losses.
constexpr Time kStartSpread = 600 * kMillisecond;
constexpr Time kOpenSpread = 350 * kMillisecond;
constexpr Time kJoinSpread = 700 * kMillisecond;

constexpr Time kCallTime = 800 * kMillisecond;  // operators' calls, while processes are still starting
constexpr Time kCallTimeout = 900 * kMillisecond;
constexpr Time kCallRetryDelay = 200 * kMillisecond;
constexpr Time kRunTime = 15 * kSecond;

// The payload of a configuration: a constant text, followed by one letter for each accepted change.
std::string Payload(const std::string& changes) { return std::string(kConfigurationBytes, 'c') + changes; }
std::size_t RevisionOf(const std::string& payload) {
  return payload.empty() ? 0 : 1 + payload.size() - kConfigurationBytes;
}

struct Dispatcher {
  Dispatcher(const std::string& name, std::uint64_t seed) : reader(seed), mover(name, kTolerated, seed) {}

  ConfigurationReader reader;
  GroupMover mover;
  std::optional<consensus::OperationId> reading, moving;
  Time started_at = 0, joined_at = 0;
  std::string known;  // the newest configuration in force here
};

struct OperatorCall {
  char letter = 'x';
  std::size_t asked = 0;  // index of the dispatcher that is called
  std::optional<consensus::OperationId> operation;
  std::optional<Time> acknowledged_at;
};

class StartOfStores : LinkedDispatchers {
 public:
  explicit StartOfStores(std::uint64_t seed) : LinkedDispatchers(kStores, kOthers), random_(seed) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Dispatcher& dispatcher = dispatchers_.emplace_back(std::to_string(i), random_());
      dispatcher.started_at = RandomTime(kStartSpread);
      dispatcher.joined_at = dispatcher.started_at + RandomTime(kJoinSpread);
      const Time opens_at =
          i < kStores ? dispatcher.started_at + RandomTime(kOpenSpread) : dispatcher.joined_at;
      network_.At(opens_at, [this, i] { Open(i); });
      network_.At(dispatcher.started_at, [this, i] { CheckGroups(i); });
    }
  }

  void CallAt(Time at, char letter, std::size_t asked) {
    calls_.push_back({letter, asked, {}, {}});
    network_.At(at, [this, call = calls_.size() - 1] { Call(call); });
  }

  // This dispatcher crashes after sending its first Accept of a configuration, before distributing the
  // result.
  void CrashesAfterAccept(std::size_t index) { crashes_after_accept_ = index; }

  void Run(Time until) {
    network_.At(until, [] {});
    network_.RunUntil([] { return false; }, until);
  }

  // The time since which the change of this letter is in force on all live dispatchers; nullopt if it isn't.
  std::optional<Time> InForceSince(char letter) const {
    Time last = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!nodes_[i]) continue;
      const auto since = in_force_.find({letter, i});
      if (since == in_force_.end()) return std::nullopt;
      last = std::max(last, since->second);
    }
    return last;
  }

  const std::vector<OperatorCall>& calls() const { return calls_; }
  std::optional<Time> crashed_at() const { return crashed_at_; }
  int group_moves() const { return group_moves_; }
  double megabytes() const { return static_cast<double>(network_.bytes()) / 1e6; }

 private:
  Time RandomTime(Time max_time) { return std::uniform_int_distribution<Time>(0, max_time)(random_); }

  void Open(std::size_t index) {
    if (index < kStores)
      OpenStore(index, Payload(""), random_());
    else
      nodes_[index] = std::make_unique<consensus::RegisterNode>(SettingsOf(index, random_()));
    dispatchers_[index].reader.RegistersKnown(network_.now());
    ReadIfDue(index);
  }

  // The members that this dispatcher knows: only itself at first; once joined, all that have started by then.
  std::vector<Member> LiveFor(std::size_t index) const {
    std::vector<Member> live;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const bool joined = network_.now() >= dispatchers_[index].joined_at;
      const bool is_discovered = network_.now() >= dispatchers_[i].started_at + 100 * kMillisecond;
      if (i != index && !(joined && is_discovered)) continue;
      Member member;
      member.name = std::to_string(i);
      member.address = addresses_[i];
      member.counts_for_quorum = i < kStores;
      if (i < kStores && nodes_[i]) member.replica_id = "store-" + store_names_[i];
      live.push_back(std::move(member));
    }
    std::sort(live.begin(), live.end(), [](const Member& a, const Member& b) { return a.name < b.name; });
    return live;
  }

  void CheckGroups(std::size_t index) {
    network_.At(network_.now() + kCheckInterval, [this, index] { CheckGroups(index); });
    if (!nodes_[index]) return;
    auto move = dispatchers_[index].mover.Next(network_.now(), consensus::kName,
                                               nodes_[index]->KnownGroup(consensus::kName), LiveFor(index),
                                               /*may_change=*/index < kStores);
    if (!move) return;
    ++group_moves_;
    const consensus::NewGroup change{std::move(move->members), move->if_version};
    dispatchers_[index].moving = Submit(
        index, [change](const std::string&) { return change; }, move->deadline);
  }

  void Call(std::size_t number) {
    OperatorCall& call = calls_[number];
    if (call.acknowledged_at) return;
    if (!nodes_[call.asked])  // not running yet: the connection is refused
      return network_.At(network_.now() + kCallRetryDelay, [this, number] { Call(number); });
    const auto change = [letter = call.letter](const std::string& payload) -> consensus::Change {
      if (payload.find(letter, kConfigurationBytes) != std::string::npos) return consensus::KeepPayload{};
      return consensus::NewPayload{payload + letter};
    };
    call.operation = Submit(call.asked, change, network_.now() + kCallTimeout);
  }

  consensus::OperationId Submit(std::size_t index, consensus::ChangeFunction change, Time deadline) {
    consensus::RegisterOutput output;
    const auto id =
        nodes_[index]->Submit(network_.now(), consensus::kName, std::move(change), deadline, &output);
    // Immediate completions are delivered after the caller has stored the operation's id.
    network_.At(network_.now(), [this, index, output] { Execute(index, output); });
    return id;
  }

  void ReadIfDue(std::size_t index) {
    const auto timer = dispatchers_[index].reader.NextTimer();
    if (timer) network_.At(std::max(*timer, network_.now()), [this, index] { Read(index); });
  }

  void Read(std::size_t index) {
    if (!nodes_[index]) return;
    const auto read = dispatchers_[index].reader.Next(network_.now());
    if (!read) return;
    consensus::RegisterOutput output;
    dispatchers_[index].reading =
        index < kStores ? nodes_[index]->Submit(network_.now(), consensus::kName, consensus::Reads(),
                                                read->deadline, &output)
                        : nodes_[index]->Read(network_.now(), consensus::kName, read->deadline, &output);
    pushes_.insert_or_assign(index, read->push);
    network_.At(network_.now(), [this, index, output] { Execute(index, output); });
  }

  void Receive(std::size_t index, std::size_t from, const messages::RegisterMessage& message) override {
    if (!nodes_[index]) return;
    consensus::RegisterOutput output;
    nodes_[index]->Receive(network_.now(), addresses_[from], message, &output);
    for (const consensus::RegisterProposal& proposal : output.proposals) {
      const std::string& payload = proposal.value->payload();
      if (RevisionOf(payload) <= RevisionOf(dispatchers_[index].known)) continue;
      dispatchers_[index].reader.OnAcceptRequest(network_.now(), payload.size() * kStores);
      ReadIfDue(index);
    }
    Execute(index, std::move(output));
  }

  void Completed(std::size_t index, const consensus::Completion& completion) override {
    Dispatcher& dispatcher = dispatchers_[index];
    const bool succeeded =
        completion.outcome == consensus::Outcome::kChosen || completion.outcome == consensus::Outcome::kKept;
    if (dispatcher.reading == completion.operation) {
      dispatcher.reader.Completed(network_.now(), succeeded);
      if (succeeded) dispatcher.reader.Confirmed();
      if (succeeded) Learn(index, completion.payload, pushes_[index]);
      ReadIfDue(index);
    } else if (dispatcher.moving == completion.operation) {
      dispatcher.mover.Completed(network_.now(), consensus::kName, succeeded);
    }
    for (std::size_t i = 0; i < calls_.size(); ++i) {
      if (calls_[i].asked != index || calls_[i].operation != completion.operation) continue;
      if (succeeded) calls_[i].acknowledged_at = network_.now();
      if (succeeded) Learn(index, completion.payload, completion.outcome == consensus::Outcome::kChosen);
      if (!succeeded) network_.At(network_.now() + kCallRetryDelay, [this, i] { Call(i); });
    }
  }

  void Learn(std::size_t index, const std::string& payload, bool push) {
    Dispatcher& dispatcher = dispatchers_[index];
    if (RevisionOf(payload) <= RevisionOf(dispatcher.known)) return;
    dispatcher.known = payload;
    dispatcher.reader.Installed();
    for (const char letter : payload.substr(kConfigurationBytes))
      in_force_.try_emplace({letter, index}, network_.now());
    if (!push) return;
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
      if (to != index) network_.Send(index, to, kPushBytes, [this, to, payload] { Pushed(to, payload); });
    }
  }

  // A dispatcher that knows no configuration can't apply a difference; it polls again later.
  void Pushed(std::size_t index, const std::string& payload) {
    if (!nodes_[index]) return;
    if (!dispatchers_[index].known.empty()) return Learn(index, payload, false);
    network_.At(network_.now() + kPollInterval, [this, index, payload] { Pushed(index, payload); });
  }

  void Sending(std::size_t index, const consensus::RegisterSend& send) override {
    if (crashes_after_accept_ != index || !send.message.has_accept() || crashed_at_) return;
    crashed_at_ = network_.now();
    network_.At(network_.now() + kMillisecond, [this, index] { nodes_[index].reset(); });
  }

  std::mt19937_64 random_;
  std::vector<Dispatcher> dispatchers_;
  std::vector<OperatorCall> calls_;
  std::map<std::size_t, bool> pushes_;  // whether the read in flight pushes its result, by dispatcher
  std::map<std::pair<char, std::size_t>, Time> in_force_;
  std::optional<std::size_t> crashes_after_accept_;
  std::optional<Time> crashed_at_;
  int group_moves_ = 0;
};

// Each dispatcher without a store receives the configuration once; some receive it twice, because it changes
// while they read it.
constexpr double kMaxMegabytes = 1.75 * kOthers * kConfigurationBytes / 1e6;

}  // namespace

TEST_CASE("a simultaneous start with seven stores moves no group and sends the configuration once to each") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    StartOfStores start(seed);
    start.CallAt(kCallTime, 'a', kStores + 3);  // two concurrent operators, at machines with slow links
    start.CallAt(kCallTime, 'b', kStores + 11);
    start.Run(kRunTime);
    CAPTURE(seed, start.megabytes(), start.group_moves());
    CHECK(start.group_moves() == 0);
    CHECK(start.megabytes() <= kMaxMegabytes);
    for (const OperatorCall& call : start.calls()) {
      CAPTURE(call.letter);
      REQUIRE(call.acknowledged_at);
      CHECK(*call.acknowledged_at <= kCallTime + 2 * kSecond);
      REQUIRE(start.InForceSince(call.letter));
      CHECK(*start.InForceSince(call.letter) <= *call.acknowledged_at + kSecond);
    }
  }
}

TEST_CASE("a configuration whose proposer crashed after its accept is in force everywhere within 3 s") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    constexpr std::size_t kProposer = kStores + 5;
    StartOfStores start(seed);
    start.CrashesAfterAccept(kProposer);
    start.CallAt(4 * kSecond, 'a', kProposer);
    start.Run(kRunTime);
    CAPTURE(seed, start.megabytes(), start.group_moves());
    REQUIRE(start.crashed_at());
    REQUIRE(start.InForceSince('a'));
    CHECK(*start.InForceSince('a') <= *start.crashed_at() + 3 * kSecond);
    CHECK(start.megabytes() <= kMaxMegabytes);
    CHECK(start.group_moves() == 0);
  }
}

}  // namespace lichenlug::node
