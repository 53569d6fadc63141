#include "duties/usage.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "duties/usage_codec.h"
#include "duties/usage_counts.h"

namespace lichenlug::duties {
namespace {

constexpr Time kReportArrivalTime = 2500 * kMillisecond;  // for the last reports of a window to arrive
constexpr Time kProposeAgainAfter = kSecond;
constexpr std::int64_t kMaxProposedAtOnce = 8;
constexpr int kExpiryFactor = 4;  // multiple of the allowed lateness after which a window is dropped
constexpr Time kCallInterval = 250 * kMillisecond;
constexpr Time kMinBackoff = 250 * kMillisecond, kMaxBackoff = 2 * kSecond;
constexpr Time kCallTimeout = kSecond;

constexpr int kConflict = 409;  // the platform has seen a higher fence

bool IsAcknowledged(int status) { return status >= 200 && status < 300; }

}  // namespace

class UsageDuty::Impl {
 public:
  explicit Impl(Settings settings)
      : settings_(settings), counts_(kExpiryFactor * settings.late / settings.window + 2) {}

  void Merge(Time wall_now, const messages::UsageReport& report) {
    counts_.Merge(report, WindowAt(wall_now));
  }

  void Act(Time now, Time wall_now, std::uint64_t epoch, const messages::OwnershipState& state,
           Output* output) {
    if (epoch < epoch_ || (epoch == epoch_ && is_refused_)) return;
    if (epoch > epoch_) Begin(wall_now, epoch, state);
    Choose(now, wall_now, state, output);
    Post(now, wall_now, state, output);
  }

  void Completed(Time now, std::uint64_t tag, const HttpResult& result) {
    if (!call_ || call_->tag != tag) return;
    const Call done = *std::exchange(call_, std::nullopt);
    if (IsAcknowledged(result.status)) {
      done_.insert(done.window);
    } else {
      ScheduleRetry(now, done.window);
    }
    if (result.status == kConflict && done.epoch == epoch_) is_refused_ = true;
  }

  std::vector<messages::UsageReport> Reports() const { return counts_.Reports(); }

 private:
  struct Call {
    std::uint64_t tag = 0;
    std::uint64_t epoch = 0;
    std::int64_t window = 0;
    Time deadline = 0;
  };
  struct Retry {  // of a window that is chosen but not acknowledged
    int failures = 0;
    Time next_at = 0;
  };

  std::int64_t WindowAt(Time wall) const { return wall / settings_.window; }
  Time EndOf(std::int64_t window) const { return (window + 1) * settings_.window; }
  bool IsLate(std::int64_t window, Time wall_now) const { return wall_now > EndOf(window) + settings_.late; }
  bool IsExpired(std::int64_t window, Time wall_now) const {
    return wall_now > EndOf(window) + kExpiryFactor * settings_.late;
  }

  // Allows time for reports to arrive, but stays between two and three fifths of the allowed lateness.
  Time ChooseAfter() const {
    return std::clamp(kReportArrivalTime, settings_.late * 2 / 5, settings_.late * 3 / 5);
  }

  // A new holder sends the chosen tallies again that may not have reached the platform, unless they are late.
  void Begin(Time wall_now, std::uint64_t epoch, const messages::OwnershipState& state) {
    epoch_ = epoch;
    is_refused_ = false;
    proposed_.clear();
    retries_.clear();
    for (const auto& tally : state.tallies())
      if (IsLate(tally.window(), wall_now)) done_.insert(tally.window());
    if (!first_window_) first_window_ = WindowAt(wall_now);
  }

  std::int64_t NextWindow(Time wall_now, const messages::OwnershipState& state) const {
    std::int64_t next = std::min(*first_window_, counts_.OldestWindow().value_or(*first_window_));
    if (!state.tallies().empty()) next = state.tallies().rbegin()->window() + 1;
    const std::int64_t oldest = WindowAt(std::max<Time>(0, wall_now - kExpiryFactor * settings_.late));
    return std::max(next, oldest);
  }

  void Choose(Time now, Time wall_now, const messages::OwnershipState& state, Output* output) {
    const std::int64_t first = NextWindow(wall_now, state);
    std::erase_if(proposed_, [first](const auto& entry) { return entry.first < first; });
    for (std::int64_t window = first; window < first + kMaxProposedAtOnce; ++window) {
      if (wall_now < EndOf(window) + ChooseAfter()) return;
      const auto known = proposed_.find(window);
      if (known != proposed_.end() && now - known->second < kProposeAgainAfter) continue;
      proposed_[window] = now;
      output->choose.push_back(counts_.Tally(window));
    }
  }

  void Post(Time now, Time wall_now, const messages::OwnershipState& state, Output* output) {
    if (call_ && now > call_->deadline + kCallInterval) {  // no answer will arrive any more
      ScheduleRetry(now, call_->window);
      call_.reset();
    }
    if (!state.tallies().empty()) DropWindowsBefore(state.tallies(0).window());
    if (call_ || now < next_call_at_) return;
    const messages::WindowCount* next = nullptr;  // the oldest that is not late, else the oldest
    for (const auto& tally : state.tallies()) {
      if (done_.contains(tally.window()) || IsExpired(tally.window(), wall_now)) continue;
      if (now < retries_[tally.window()].next_at) continue;
      if (next == nullptr || (IsLate(next->window(), wall_now) && !IsLate(tally.window(), wall_now)))
        next = &tally;
    }
    if (next == nullptr) return;
    call_ = Call{++last_tag_, epoch_, next->window(), now + kCallTimeout};
    next_call_at_ = now + kCallInterval;
    output->calls.push_back({last_tag_, "", "POST", kUsagePath, WriteUsage(*next), epoch_, kCallTimeout, ""});
  }

  void DropWindowsBefore(std::int64_t before) {
    done_.erase(done_.begin(), done_.lower_bound(before));
    retries_.erase(retries_.begin(), retries_.lower_bound(before));
  }

  void ScheduleRetry(Time now, std::int64_t window) {
    Retry& retry = retries_[window];
    const Time backoff = kMinBackoff << std::min(retry.failures, 3);
    ++retry.failures;
    retry.next_at = now + std::min(backoff, kMaxBackoff);
  }

  Settings settings_;
  UsageCounts counts_;

  std::uint64_t epoch_ = 0;
  bool is_refused_ = false;                   // whether the platform has refused this epoch
  std::optional<std::int64_t> first_window_;  // the window in which this dispatcher first acted
  std::map<std::int64_t, Time> proposed_;     // when each window was last proposed to the register
  std::set<std::int64_t> done_;               // acknowledged by the platform, or too late to be repeated
  std::map<std::int64_t, Retry> retries_;

  std::optional<Call> call_;  // one at a time
  std::uint64_t last_tag_ = 0;
  Time next_call_at_ = 0;
};

UsageDuty::UsageDuty(Settings settings) : impl_(std::make_unique<Impl>(settings)) {}
UsageDuty::~UsageDuty() = default;

void UsageDuty::Merge(Time wall_now, const messages::UsageReport& report) { impl_->Merge(wall_now, report); }
void UsageDuty::Act(Time now, Time wall_now, std::uint64_t epoch, const messages::OwnershipState& state,
                    Output* output) {
  impl_->Act(now, wall_now, epoch, state, output);
}
void UsageDuty::Completed(Time now, std::uint64_t tag, const HttpResult& result, Output*) {
  impl_->Completed(now, tag, result);
}
std::vector<messages::UsageReport> UsageDuty::Reports() const { return impl_->Reports(); }

}  // namespace lichenlug::duties
