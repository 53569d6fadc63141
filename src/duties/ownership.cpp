#include "duties/ownership.h"

#include <algorithm>
#include <random>
#include <utility>

#include "duties/candidates.h"
#include "duties/ownership_changes.h"

namespace lichenlug::duties {
namespace {

using messages::OwnershipState;
using messages::WindowCount;

constexpr Time kMargin = 400 * kMillisecond;  // allows for clock drift
constexpr Time kReadInterval = 500 * kMillisecond;
constexpr Time kRetryAfter = 150 * kMillisecond;
constexpr Time kMaxOperationTime = kSecond;

enum class Kind { kRead, kTakeOver, kRenew, kRelease };

struct Operation {
  Kind kind = Kind::kRead;
  std::uint64_t tag = 0;
  Time started_at = 0;
  Time deadline = 0;
};
struct ProposedRenewal {
  Renewal renewal;
  Time at = 0;
};
struct Plan {
  Kind kind = Kind::kRead;
  Time at = 0;
};

}  // namespace

class Ownership::Impl {
 public:
  explicit Impl(OwnershipSettings settings)
      : settings_(std::move(settings)),
        self_{settings_.self_name, settings_.self_incarnation},
        random_(settings_.seed),
        candidates_(settings_.register_name, settings_.self_name) {}

  void SetMembers(Time now, const std::vector<Member>& live, bool wanted) {
    Begin(now);
    candidates_.SetMembers(live);
    wanted_ = wanted;
  }

  void Accepting(Time now, const OwnershipState& state) {
    const Renewal renewal = RenewalOf(state);
    if (!last_proposed_ || last_proposed_->renewal != renewal) last_proposed_ = ProposedRenewal{renewal, now};
  }

  void Tick(Time now, OwnershipOutput* output) {
    Begin(now);
    if (pending_ && now > pending_->deadline + kMaxOperationTime) {  // no answer will arrive any more
      pending_.reset();
      OnFailure(now);
    }
    Act(now, output);
    Report(now, output);
  }

  void Completed(Time now, std::uint64_t tag, const consensus::Completion& completion,
                 OwnershipOutput* output) {
    if (!pending_ || pending_->tag != tag) return;
    const Operation done = *std::exchange(pending_, std::nullopt);
    ended_at_ = now;
    failures_ = 0;
    const bool is_known =
        completion.outcome == consensus::Outcome::kChosen || completion.outcome == consensus::Outcome::kKept;
    const std::optional<OwnershipState> state =
        is_known ? ReadState(completion.payload) : std::optional<OwnershipState>();
    if (state) {
      Observe(now, *state);
      const bool holds = done.kind == Kind::kTakeOver || done.kind == Kind::kRenew;
      if (completion.outcome == consensus::Outcome::kChosen && holds && OwnsInState())
        lease_started_at_ = done.started_at;
    } else {
      OnFailure(now);
    }
    Act(now, output);
    Report(now, output);
  }

  std::optional<Time> NextTimer() const {
    std::optional<Time> next;
    const auto consider = [&next](Time at) { next = std::min(next.value_or(at), at); };
    if (pending_) {
      consider(pending_->deadline + kMaxOperationTime + kMillisecond);
    } else if (const std::optional<Plan> plan = MakePlan()) {
      consider(plan->at);
    }
    if (reported_holds_ && lease_started_at_) consider(LeaseEnd());
    return next;
  }

  bool Holds(Time now) const { return lease_started_at_ && !resigned_ && now < LeaseEnd(); }
  std::optional<Time> CallDeadline() const {
    if (!lease_started_at_) return std::nullopt;
    return *lease_started_at_ + settings_.lease;
  }
  std::uint64_t epoch() const { return state_.epoch(); }
  std::optional<Time> lease_started_at() const { return lease_started_at_; }
  const OwnershipState& state() const { return state_; }

  void ChooseTally(Time now, const WindowCount& tally, OwnershipOutput* output) {
    if (!Holds(now)) return;
    const auto is_same = [&](const WindowCount& other) { return other.window() == tally.window(); };
    if (std::none_of(tallies_.begin(), tallies_.end(), is_same)) tallies_.push_back(tally);
    std::sort(tallies_.begin(), tallies_.end(), [](const WindowCount& left, const WindowCount& right) {
      return left.window() < right.window();
    });
    DropChosenTallies();
    Act(now, output);
    Report(now, output);
  }

  void Resign(Time now, OwnershipOutput* output) {
    if (resigned_) return;
    resigned_ = true;
    resigned_at_ = now;
    Act(now, output);
    Report(now, output);
  }

 private:
  // A new process can't know whether its previous incarnation held the duty until a moment ago, so it waits
  // for a whole lease.
  void Begin(Time now) {
    if (std::exchange(has_begun_, true)) return;
    earliest_takeover_at_ = now + settings_.lease + kMargin;
  }

  Time LeaseEnd() const { return *lease_started_at_ + settings_.lease - kMargin; }
  bool OwnsInState() const { return Owner() == self_; }

  Holder Owner() const { return RenewalOf(state_).owner; }

  std::optional<Plan> MakePlan() const {
    const Time retry_at = failures_ > 0 ? ended_at_ + retry_after_ : 0;
    if (OwnsInState()) {
      if (resigned_) return Plan{Kind::kRelease, retry_at};
      if (!wanted_) return std::nullopt;
      const bool immediately = !lease_started_at_ || !tallies_.empty() || failures_ > 0;
      const Time at = immediately ? 0 : started_at_ + settings_.lease / kRenewalsInLease;
      return Plan{Kind::kRenew, std::max(at, retry_at)};
    }
    if (!wanted_ || resigned_) return std::nullopt;
    std::optional<Plan> plan = PlanTakeOver();
    if (plan) plan->at = std::max(plan->at, retry_at);
    return plan;
  }

  // The first candidate takes over. The second does so after a longer wait, in case the first is live but
  // unable to act; an owner that is live but does not renew is also replaced after the longer wait.
  std::optional<Plan> PlanTakeOver() const {
    const std::optional<int> position = candidates_.Position(Owner());
    const bool owner_is_live = candidates_.IsServing(Owner());
    if (!position || *position > (owner_is_live ? 0 : 1)) return std::nullopt;
    const bool waits_longer = owner_is_live || *position > 0;
    const Time read_at = started_at_ + (waits_longer ? settings_.lease : kReadInterval);
    if (!observed_since_) return Plan{Kind::kRead, *position > 0 ? read_at : 0};

    Time take_at = *observed_since_ + (waits_longer ? 2 * settings_.lease : 0);
    if (!state_.owner().empty() && !candidates_.HasEnded(Owner())) take_at += settings_.lease + kMargin;
    if (state_.epoch() > 0) take_at = std::max(take_at, earliest_takeover_at_);
    return take_at <= read_at ? Plan{Kind::kTakeOver, take_at} : Plan{Kind::kRead, read_at};
  }

  void Act(Time now, OwnershipOutput* output) {
    if (pending_) return;
    const std::optional<Plan> plan = MakePlan();
    if (!plan || now < plan->at) return;
    attempts_ = std::max(attempts_, state_.renewals()) + 1;
    Operation operation{plan->kind, ++last_tag_, now, now + OperationTime()};
    output->operations.push_back(
        {operation.tag, settings_.register_name, ChangeOf(now, plan->kind), operation.deadline});
    pending_ = operation;
    started_at_ = now;
  }

  Time OperationTime() const { return std::min(kMaxOperationTime, settings_.lease / kRenewalsInLease); }

  std::vector<messages::LoadHistory> Loads(Time now) const {
    return settings_.recent_loads ? settings_.recent_loads(now) : std::vector<messages::LoadHistory>();
  }

  consensus::ChangeFunction ChangeOf(Time now, Kind kind) const {
    switch (kind) {
      case Kind::kTakeOver:
        return TakeOver(RenewalOf(state_), self_, attempts_, now - observed_since_.value_or(now));
      case Kind::kRenew:
        return Renew(self_, state_.epoch(), attempts_, tallies_, Loads(now));
      case Kind::kRelease:
        return Release(self_, state_.epoch(), Loads(now));
      case Kind::kRead:
        break;
    }
    return ReadOnly();
  }

  void OnFailure(Time now) {
    ++failures_;
    ended_at_ = now;
    retry_after_ = kRetryAfter + static_cast<Time>(random_() % static_cast<std::uint64_t>(kRetryAfter));
  }

  void Observe(Time now, const OwnershipState& state) {
    const bool owned = OwnsInState();
    if (!observed_since_ || RenewalOf(state) != RenewalOf(state_)) observed_since_ = SeenAt(now, state);
    const bool is_renewal =
        RenewalOf(state).owner == RenewalOf(state_).owner && state.epoch() == state_.epoch();
    has_change_ = has_change_ || !is_renewal;
    state_ = state;
    if (owned && !OwnsInState()) OnOwnershipLost();
    DropChosenTallies();
  }

  // When the renewal was first seen here. If the local replica was asked to accept it, the attempt that led
  // to it had started by then, and no other attempt leads to the same renewal.
  Time SeenAt(Time now, const OwnershipState& state) const {
    return last_proposed_ && last_proposed_->renewal == RenewalOf(state) ? last_proposed_->at : now;
  }

  // A former holder may take the duty again only a whole lease after it could last act.
  void OnOwnershipLost() {
    if (lease_started_at_) {
      const Time acted_until = resigned_ ? std::min(LeaseEnd(), resigned_at_) : LeaseEnd();
      earliest_takeover_at_ = std::max(earliest_takeover_at_, acted_until + settings_.lease + kMargin);
    }
    lease_started_at_.reset();
    tallies_.clear();
  }

  void DropChosenTallies() {
    if (state_.tallies().empty()) return;
    const std::int64_t newest = state_.tallies().rbegin()->window();
    std::erase_if(tallies_, [newest](const WindowCount& tally) { return tally.window() <= newest; });
  }

  void Report(Time now, OwnershipOutput* output) {
    const bool holds = Holds(now);
    if (holds != reported_holds_ || has_change_) output->changed = true;
    reported_holds_ = holds;
    has_change_ = false;
  }

  OwnershipSettings settings_;
  Holder self_;
  std::mt19937_64 random_;

  Candidates candidates_;
  bool wanted_ = false;
  bool resigned_ = false;
  Time resigned_at_ = 0;

  OwnershipState state_;                          // the last state known to be chosen
  std::optional<Time> observed_since_;            // when the current renewal was first seen
  std::optional<ProposedRenewal> last_proposed_;  // the last one that the local replica was asked to accept
  std::optional<Time> lease_started_at_;          // start of this dispatcher's last renewal that was chosen
  bool has_begun_ = false;
  Time earliest_takeover_at_ = 0;
  std::vector<WindowCount> tallies_;  // not yet chosen, by window

  std::optional<Operation> pending_;
  std::uint64_t last_tag_ = 0;
  std::uint64_t attempts_ = 0;
  Time started_at_ = 0;  // of the last operation
  Time ended_at_ = 0;
  int failures_ = 0;
  Time retry_after_ = 0;

  bool reported_holds_ = false;
  bool has_change_ = false;
};

Ownership::Ownership(OwnershipSettings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
Ownership::~Ownership() = default;

void Ownership::SetMembers(Time now, const std::vector<Member>& live, bool wanted) {
  impl_->SetMembers(now, live, wanted);
}
void Ownership::Accepting(Time now, const messages::OwnershipState& state) { impl_->Accepting(now, state); }
void Ownership::Tick(Time now, OwnershipOutput* output) { impl_->Tick(now, output); }
void Ownership::Completed(Time now, std::uint64_t tag, const consensus::Completion& completion,
                          OwnershipOutput* output) {
  impl_->Completed(now, tag, completion, output);
}
std::optional<Time> Ownership::NextTimer() const { return impl_->NextTimer(); }
bool Ownership::Holds(Time now) const { return impl_->Holds(now); }
std::optional<Time> Ownership::CallDeadline() const { return impl_->CallDeadline(); }
std::uint64_t Ownership::epoch() const { return impl_->epoch(); }
std::optional<Time> Ownership::lease_started_at() const { return impl_->lease_started_at(); }
const messages::OwnershipState& Ownership::state() const { return impl_->state(); }
void Ownership::ChooseTally(Time now, const messages::WindowCount& tally, OwnershipOutput* output) {
  impl_->ChooseTally(now, tally, output);
}
void Ownership::Resign(Time now, OwnershipOutput* output) { impl_->Resign(now, output); }

}  // namespace lichenlug::duties
