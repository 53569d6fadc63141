// All dispatchers start at once and read a register until they know its chosen value, while the first value,
// as large as the configuration of a grown deployment, is being chosen over links of 10 Mbit/s. Readers that
// complete pending proposals preempt one another. When Accepts always carried full values, these readers
// saturated the links with copies of the value for as long as they continued.
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster.h"
#include "consensus/group.h"
#include "consensus/value.h"
#include "linked_network.h"

namespace lichenlug::consensus {
namespace {

constexpr std::size_t kReplicas = 6;
constexpr std::size_t kValueBytes = 42'000;
constexpr Time kDelay = 500;  // one way, microseconds
constexpr Time kDiskWrite = kMillisecond;
constexpr Time kReadInterval = 300 * kMillisecond;
constexpr Time kReadTimeout = 800 * kMillisecond;
constexpr Time kChangeTimeout = 900 * kMillisecond;
constexpr Time kChangeRetryDelay = 200 * kMillisecond;
constexpr Time kReplicaWorkTime = 300;  // microseconds per message
constexpr Time kOtherWorkTime = 1000;
constexpr Time kStartSpread = 300 * kMillisecond;

enum class Readers { kReadOnly, kCompletePending };
enum class Start { kFirst, kAfterHalfAccepted };

struct Result {
  Time all_informed_at = 0;  // 0: not within the time limit
  double megabytes = 0;
};

struct Reader {
  std::unique_ptr<RegisterNode> node;
  bool informed = false;
  Time read_at = 0;
};

class MassStart {
 public:
  MassStart(std::size_t nodes, Readers readers, Start start) : readers_(readers), start_(start) {
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < kReplicas; ++i) seeds.push_back(Name(i));
    for (std::size_t i = 0; i < nodes; ++i) {
      Reader& reader = nodes_.emplace_back();
      RegisterNodeSettings settings = Settings(Name(i), seeds, i < kReplicas);
      settings.seed = i + 1;
      reader.node = std::make_unique<RegisterNode>(settings);
      if (start == Start::kAfterHalfAccepted && i < kReplicas)
        REQUIRE(reader.node->Restore({AcceptedRecord(seeds, i % 2 == 0 ? 6 : 5)}));
      // Busy machines with a small CPU share need noticeable time for each message.
      network_.Add(i < kReplicas ? LinkedNetwork::Machine{12.5, kReplicaWorkTime}
                                 : LinkedNetwork::Machine{1.25, kOtherWorkTime});
      reader.read_at = kStartSpread * static_cast<Time>(i) / static_cast<Time>(nodes);
    }
  }

  Result Run(Time time_limit) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) network_.At(nodes_[i].read_at, [this, i] { Read(i); });
    if (start_ == Start::kFirst) network_.At(kStartSpread / 2, [this] { Change(); });
    const bool all_informed =
        network_.RunUntil([this] { return informed_count_ == nodes_.size(); }, time_limit);
    return {all_informed ? network_.now() : 0, static_cast<double>(network_.bytes()) / 1e6};
  }

 private:
  static std::pair<std::string, std::string> AcceptedRecord(const std::vector<std::string>& seeds,
                                                            std::uint64_t round) {
    std::vector<messages::ReplicaIdentity> members;
    for (const std::string& seed : seeds) members.push_back(Identity(seed));
    messages::StoredAccept record;
    record.mutable_ballot()->set_round(round);
    record.mutable_ballot()->set_proposer("before");
    *record.mutable_value()->mutable_group() = FoundingGroup(members);
    record.mutable_value()->set_payload(std::string(kValueBytes, static_cast<char>('a' + round)));
    record.set_digest(ValueDigest(kName, record.ballot(), record.value()));
    return {"accepted/" + kName, record.SerializeAsString()};
  }

  static std::string Name(std::size_t index) { return std::to_string(index); }
  static std::size_t IndexOf(const std::string& address) { return std::stoul(address); }

  // The operator submits the first configuration to one dispatcher after another until it is accepted.
  void Change() {
    const std::size_t index = kReplicas + changes_++ % (nodes_.size() - kReplicas);
    RegisterOutput output;
    change_ = nodes_[index].node->Submit(network_.now(), kName, FirstValue(), network_.now() + kChangeTimeout,
                                         &output);
    submitter_ = index;
    HandleOutput(index, std::move(output));
  }

  static ChangeFunction FirstValue() {
    return [](const std::string& payload) -> consensus::Change {
      if (!payload.empty()) return KeepPayload{};
      return NewPayload{std::string(kValueBytes, 'c')};
    };
  }

  void Read(std::size_t index) {
    Reader& reader = nodes_[index];
    if (reader.informed) return;
    reader.read_at = network_.now() + kReadInterval;
    RegisterOutput output;
    const bool finishes = index < kReplicas || readers_ == Readers::kCompletePending;
    if (finishes)
      reader.node->Submit(network_.now(), kName, Reads(), network_.now() + kReadTimeout, &output);
    else
      reader.node->Read(network_.now(), kName, network_.now() + kReadTimeout, &output);
    HandleOutput(index, std::move(output));
  }

  void HandleOutput(std::size_t index, RegisterOutput output) {
    Reader& reader = nodes_[index];
    for (const RegisterSend& send : output.sends) Transmit(index, IndexOf(send.address), send.message);
    for (const RegisterWrite& write : output.writes) {
      network_.At(network_.now() + kDiskWrite, [this, index, token = write.token] {
        RegisterOutput done;
        nodes_[index].node->StoreDone(network_.now(), token, true, &done);
        HandleOutput(index, std::move(done));
      });
    }
    for (const Completion& completion : output.completions) HandleCompletion(index, completion);
    if (const auto timer = reader.node->NextTimer()) {
      network_.At(std::max(*timer, network_.now() + 1), [this, index] {
        const auto due = nodes_[index].node->NextTimer();
        if (!due || *due > network_.now()) return;
        RegisterOutput ticked;
        nodes_[index].node->Tick(network_.now(), &ticked);
        HandleOutput(index, std::move(ticked));
      });
    }
  }

  void HandleCompletion(std::size_t index, const Completion& completion) {
    Reader& reader = nodes_[index];
    if (index == submitter_ && completion.operation == change_) {
      const bool taken = completion.outcome == Outcome::kChosen || completion.outcome == Outcome::kKept;
      if (!taken) network_.At(network_.now() + kChangeRetryDelay, [this] { Change(); });
      return;
    }
    const bool informed = completion.outcome == Outcome::kKept && !completion.payload.empty();
    if (informed && !reader.informed) ++informed_count_;
    reader.informed = reader.informed || informed;
    if (!reader.informed)
      network_.At(std::max(reader.read_at, network_.now()), [this, index] { Read(index); });
  }

  void Transmit(std::size_t from, std::size_t to, const messages::RegisterMessage& message) {
    network_.Send(from, to, message.ByteSizeLong(), [this, from, to, message] {
      RegisterOutput output;
      nodes_[to].node->Receive(network_.now(), Name(from) + ":7660", message, &output);
      HandleOutput(to, std::move(output));
    });
  }

  Readers readers_;
  Start start_;
  LinkedNetwork network_{kDelay};
  std::vector<Reader> nodes_;
  std::size_t informed_count_ = 0, changes_ = 0, submitter_ = 0;
  OperationId change_ = 0;
};

}  // namespace

TEST_CASE("75 and 300 dispatchers that start at once learn the chosen value in time") {
  constexpr Time kBound = 3 * kSecond;
  for (const Start start : {Start::kFirst, Start::kAfterHalfAccepted}) {
    for (const std::size_t nodes : {75, 300}) {
      const Result result = MassStart(nodes, Readers::kReadOnly, start).Run(20 * kSecond);
      CAPTURE(nodes, result.all_informed_at, result.megabytes);
      CHECK(result.all_informed_at > 0);
      CHECK(result.all_informed_at <= kBound);
      // The value once per reader and per replica, and some rounds of reads without it.
      CHECK(result.megabytes <= 0.15 * static_cast<double>(nodes));
    }
  }
}

TEST_CASE("readers that complete pending proposals do not saturate the links either") {
  constexpr std::size_t kNodes = 300;
  const Result read_only = MassStart(kNodes, Readers::kReadOnly, Start::kAfterHalfAccepted).Run(20 * kSecond);
  const Result complete =
      MassStart(kNodes, Readers::kCompletePending, Start::kAfterHalfAccepted).Run(20 * kSecond);
  CAPTURE(read_only.all_informed_at, read_only.megabytes, complete.all_informed_at, complete.megabytes);
  CHECK(complete.all_informed_at > 0);
  CHECK(complete.all_informed_at <= kSecond);
  CHECK(complete.megabytes <= 1.2 * read_only.megabytes);
}

}  // namespace lichenlug::consensus
