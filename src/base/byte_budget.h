// Bounds the bytes that many holders, usually connections, have in memory together. At the limit it evicts
// the holder that has had the most for the longest time without progress, so that holders that stall can't
// keep others out.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <unordered_set>

#include "base/clock.h"

namespace lichenlug {

class ByteBudget;

// What one holder has in memory. It is counted from its construction to its destruction.
class ByteAccount {
 public:
  // `budget` must outlive the account. `evict` is called at the limit: it must release the bytes at once, but
  // not destroy the account.
  ByteAccount(ByteBudget* budget, std::function<void()> evict);
  ~ByteAccount();
  ByteAccount(const ByteAccount&) = delete;
  ByteAccount& operator=(const ByteAccount&) = delete;

  // Records what the holder has now, and whether it may be evicted. If the limit is exceeded, evicts holders,
  // which may include this one.
  void Set(std::size_t bytes, bool evictable, Time now);

  std::size_t bytes() const { return bytes_; }
  // Since when the holder, if it may be evicted, has made no progress: neither received a considerable number
  // of bytes nor released any.
  std::optional<Time> stalled_since() const;

 private:
  friend class ByteBudget;

  ByteBudget* const budget_;
  const std::function<void()> evict_;
  std::size_t bytes_ = 0;
  std::size_t bytes_at_progress_ = 0;
  Time progress_at_ = 0;
  bool evictable_ = false;
};

class ByteBudget {
 public:
  explicit ByteBudget(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  std::size_t used() const { return used_; }
  // Whether a holder may have `bytes` more.
  bool HasRoom(std::size_t bytes) const { return used_ + bytes <= Limit(bytes); }
  // Before a holder of `bytes` begins: evicts holders that have stalled for a while until there is room for
  // it; false: there is none. A small holder finds its room as its bytes come.
  bool MakeRoom(std::size_t bytes, Time now);
  // Whether the use has fallen to a small part of the limit since it was last considerable. The allocator may
  // then have much free memory to return to the system.
  bool HasDrained();

 private:
  friend class ByteAccount;

  std::size_t Limit(std::size_t bytes_of_holder) const;
  ByteAccount* Worst(Time now, Time min_stalled) const;
  void Evict(ByteAccount* account);
  void Change(ByteAccount* account, std::size_t bytes);
  void Enforce(const ByteAccount* grown, Time now);

  const std::size_t max_bytes_;
  std::size_t used_ = 0;
  bool was_considerable_ = false;
  std::unordered_set<ByteAccount*> accounts_;
};

}  // namespace lichenlug
