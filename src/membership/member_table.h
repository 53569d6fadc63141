// Table of all known members, with the data derived from it: the ring of live members and the hashes that
// anti-entropy compares.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "membership/record.h"

namespace lichenlug::membership_ring {

inline constexpr std::size_t kMaxTableEntries = 8192;
inline constexpr std::size_t kBuckets = 64;

// A suspect has at least this long to refute before it is declared dead on another member's report.
inline constexpr Time kRefutationTime = 600 * kMillisecond;

struct Entry {
  MemberRecord record;
  Time last_heard = 0;                  // time of the last heartbeat received; 0: none
  Time suspect_since = 0;               // if its state is suspect
  Time dead_since = 0;                  // if its state is dead or left
  std::optional<Time> declare_dead_at;  // reported dead by others: takes effect then, unless refuted
  Time last_owner_notice = 0;           // when it was last sent the record of itself known here
};

class MemberTable {
 public:
  struct Applied {
    bool is_new = false;        // to be gossiped
    bool live_changed = false;  // Live() or a field of a member in it
    bool refuted = false;       // a suspicion was refuted by a higher incarnation
  };
  using Hashes = std::array<std::uint64_t, kBuckets>;

  explicit MemberTable(const MemberRecord& self);

  // Merges a record of another member. Unknown members that are not live are added only if
  // `accept_unknown_dead` is true: otherwise members would exchange forgotten records forever.
  Applied Apply(Time now, const MemberRecord& record, bool accept_unknown_dead);
  void SetSelf(const MemberRecord& record);

  bool Suspect(Time now, Entry& entry);  // by this member; true if it did not suspect it before
  void ClearSuspicion(Entry& entry);     // the suspicion was not confirmed
  void DeclareDead(Time now, Entry& entry);
  void ForgetDeadBefore(Time dead_limit, Time left_limit);

  Entry* Find(const std::string& name);
  const Entry* Find(const std::string& name) const;
  const MemberRecord& self() const { return Find(self_name_)->record; }
  const std::unordered_map<std::string, Entry>& entries() const { return entries_; }
  const std::set<std::string>& suspects() const { return suspects_; }
  const std::set<std::string>& dead() const { return dead_; }  // without members that left
  bool IsLiveAddress(const std::string& address) const { return live_addresses_.contains(address); }

  std::uint64_t hash() const { return hash_; }
  const Hashes& bucket_hashes() const { return bucket_hashes_; }
  static std::size_t BucketOf(const std::string& name) { return HashName(name) % kBuckets; }

  // The ring: live members ordered by the hash of their names, including this member.
  std::size_t live_count() const { return ring_.size(); }
  std::vector<std::string> Successors(const std::string& name, std::size_t count) const;
  std::vector<std::string> Predecessors(const std::string& name, std::size_t count) const;
  const std::string& LiveAt(std::size_t position) const { return ring_[position].second; }
  std::uint64_t ring_version() const { return ring_version_; }

 private:
  using RingKey = std::pair<std::uint64_t, std::string>;

  std::size_t RingPosition(const std::string& name) const;
  static bool IsRedundant(const MemberRecord& record, const Entry& entry);
  Applied ApplyToKnown(Time now, const MemberRecord& record, Entry& entry);
  void SetState(Time now, Entry& entry, messages::MemberState state);
  bool MergeState(Time now, const MemberRecord& record, Entry& entry);
  bool EnsureCapacity();
  void Index(const Entry& entry);
  void Unindex(const Entry& entry);

  const std::string self_name_;
  std::unordered_map<std::string, Entry> entries_;
  std::vector<RingKey> ring_;  // sorted
  std::set<std::string> suspects_, dead_;
  std::multiset<std::string> live_addresses_;
  std::uint64_t hash_ = 0, ring_version_ = 0;
  Hashes bucket_hashes_{};
};

}  // namespace lichenlug::membership_ring
