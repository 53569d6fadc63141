#include "base/byte_budget.h"

#include <utility>

namespace lichenlug {
namespace {

// Holders of at most this size have a part of the limit to themselves.
constexpr std::size_t kSmallHolderBytes = 128 * 1024;
constexpr std::size_t kSmallHoldersDivisor = 8;
constexpr std::size_t kProgressBytes = 16 * 1024;  // a holder that receives fewer counts as stalled
constexpr Time kMinStalled = kSecond;       // before a holder makes room for a request that has just begun
constexpr Time kTieBreaker = kMillisecond;  // lets the largest of the holders that have just made progress be
                                            // evicted
constexpr std::size_t kConsiderableDivisor = 4, kDrainedDivisor = 16;

}  // namespace

ByteAccount::ByteAccount(ByteBudget* budget, std::function<void()> evict)
    : budget_(budget), evict_(std::move(evict)) {
  budget_->accounts_.insert(this);
}

ByteAccount::~ByteAccount() {
  budget_->Change(this, 0);
  budget_->accounts_.erase(this);
}

void ByteAccount::Set(std::size_t bytes, bool evictable, Time now) {
  const bool restarted = evictable && !evictable_;
  evictable_ = evictable;
  if (restarted || bytes < bytes_ || bytes >= bytes_at_progress_ + kProgressBytes)
    progress_at_ = now, bytes_at_progress_ = bytes;
  const bool grown = bytes > bytes_;
  budget_->Change(this, bytes);
  if (grown) budget_->Enforce(this, now);
}

std::optional<Time> ByteAccount::stalled_since() const {
  if (!evictable_) return std::nullopt;
  return progress_at_;
}

std::size_t ByteBudget::Limit(std::size_t bytes_of_holder) const {
  return bytes_of_holder <= kSmallHolderBytes ? max_bytes_ : max_bytes_ - max_bytes_ / kSmallHoldersDivisor;
}

void ByteBudget::Change(ByteAccount* account, std::size_t bytes) {
  used_ = used_ - account->bytes_ + bytes;
  account->bytes_ = bytes;
  was_considerable_ = was_considerable_ || used_ >= max_bytes_ / kConsiderableDivisor;
}

// The holder with the largest product of bytes and time without progress.
ByteAccount* ByteBudget::Worst(Time now, Time min_stalled) const {
  ByteAccount* worst = nullptr;
  double worst_cost = 0;
  for (ByteAccount* account : accounts_) {
    const Time stalled = now - account->progress_at_;
    if (!account->evictable_ || account->bytes_ == 0 || stalled < min_stalled) continue;
    const double cost = static_cast<double>(account->bytes_) * static_cast<double>(stalled + kTieBreaker);
    if (cost > worst_cost) worst = account, worst_cost = cost;
  }
  return worst;
}

void ByteBudget::Evict(ByteAccount* account) {
  account->evictable_ = false;
  account->evict_();
  Change(account, 0);
}

void ByteBudget::Enforce(const ByteAccount* grown, Time now) {
  while (used_ > Limit(grown->bytes_)) {
    ByteAccount* const worst = Worst(now, 0);
    if (worst == nullptr) return;
    Evict(worst);
    if (worst == grown) return;
  }
}

bool ByteBudget::MakeRoom(std::size_t bytes, Time now) {
  if (bytes <= kSmallHolderBytes) return true;
  while (!HasRoom(bytes)) {
    ByteAccount* const worst = Worst(now, kMinStalled);
    if (worst == nullptr) return false;
    Evict(worst);
  }
  return true;
}

bool ByteBudget::HasDrained() {
  return used_ < max_bytes_ / kDrainedDivisor && std::exchange(was_considerable_, false);
}

}  // namespace lichenlug
