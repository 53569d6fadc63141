#include "membership/member_table.h"

#include <algorithm>

namespace lichenlug::membership_ring {

using messages::MEMBER_ALIVE;
using messages::MEMBER_DEAD;
using messages::MEMBER_LEFT;
using messages::MEMBER_SUSPECT;

MemberTable::MemberTable(const MemberRecord& self) : self_name_(self.name()) {
  Entry& entry = entries_[self_name_];
  entry.record = self;
  Index(entry);
}

void MemberTable::SetSelf(const MemberRecord& record) {
  Entry& entry = *Find(self_name_);
  Unindex(entry);
  entry.record = record;
  Index(entry);
}

Entry* MemberTable::Find(const std::string& name) {
  const auto found = entries_.find(name);
  return found == entries_.end() ? nullptr : &found->second;
}

const Entry* MemberTable::Find(const std::string& name) const {
  const auto found = entries_.find(name);
  return found == entries_.end() ? nullptr : &found->second;
}

MemberTable::Applied MemberTable::Apply(Time now, const MemberRecord& record, bool accept_unknown_dead) {
  if (Entry* known = Find(record.name())) return ApplyToKnown(now, record, *known);
  const bool live = IsLive(record);
  if ((!live && !accept_unknown_dead) || !EnsureCapacity()) return {};
  Entry& entry = entries_[record.name()];
  entry.record = record;
  SetState(now, entry, record.state());
  Index(entry);
  return {.is_new = live, .live_changed = live};
}

// Fast path for records that are already known, as most gossip arrives several times.
bool MemberTable::IsRedundant(const MemberRecord& record, const Entry& entry) {
  const MemberRecord& known = entry.record;
  if (record.incarnation() != known.incarnation()) return record.incarnation() < known.incarnation();
  const bool newer_state =
      record.state() > known.state() || (record.state() == MEMBER_SUSPECT && known.state() == MEMBER_SUSPECT);
  return !newer_state && CompareRecords(record, known) <= 0;
}

// A higher incarnation replaces the known record; within an incarnation, the newer fields win.
MemberTable::Applied MemberTable::ApplyToKnown(Time now, const MemberRecord& record, Entry& entry) {
  if (IsRedundant(record, entry)) return {};
  const bool was_live = IsLive(entry.record);
  const bool newer_life = record.incarnation() > entry.record.incarnation();
  const bool newer_fields = CompareRecords(record, entry.record) > 0;
  Unindex(entry);
  Applied applied;
  if (newer_fields) {
    applied.refuted = newer_life && entry.record.state() == MEMBER_SUSPECT && IsLive(record);
    const MemberRecord before = entry.record;
    entry.record = record;
    entry.record.set_state(before.state());
    *entry.record.mutable_suspected_by() = before.suspected_by();
  }
  if (newer_life) {
    entry.last_heard = now;  // it was alive when it restarted or refuted
    if (was_live || IsLive(record)) SetState(now, entry, MEMBER_ALIVE);
  }
  const bool state_changed = MergeState(now, record, entry);
  Index(entry);
  const bool live = IsLive(entry.record);
  applied.is_new = newer_fields || state_changed;
  applied.live_changed = was_live != live || (live && newer_fields);
  return applied;
}

// The later state wins, but a member reported dead becomes a suspect first, so that it can refute.
// True if the state or the list of suspecting monitors changed.
bool MemberTable::MergeState(Time now, const MemberRecord& record, Entry& entry) {
  if (record.state() < entry.record.state()) return false;
  if (record.state() == MEMBER_SUSPECT) {
    bool changed = entry.record.state() != MEMBER_SUSPECT;
    if (changed) SetState(now, entry, MEMBER_SUSPECT);
    for (const std::string& monitor : record.suspected_by())
      changed |= AddSuspectingMonitor(&entry.record, monitor);
    return changed;
  }
  if (record.state() == entry.record.state()) return false;
  if (record.state() == MEMBER_DEAD) {
    const bool was_alive = entry.record.state() == MEMBER_ALIVE;
    if (was_alive) SetState(now, entry, MEMBER_SUSPECT);
    if (now - entry.suspect_since < kRefutationTime) {
      entry.declare_dead_at = entry.suspect_since + kRefutationTime;
      return was_alive;
    }
  }
  SetState(now, entry, record.state());
  return true;
}

void MemberTable::SetState(Time now, Entry& entry, messages::MemberState state) {
  entry.record.set_state(state);
  entry.record.clear_suspected_by();
  entry.declare_dead_at.reset();
  entry.suspect_since = state == MEMBER_SUSPECT ? now : 0;
  entry.dead_since = IsLive(state) ? 0 : now;
}

bool MemberTable::Suspect(Time now, Entry& entry) {
  Unindex(entry);
  if (entry.record.state() == MEMBER_ALIVE) SetState(now, entry, MEMBER_SUSPECT);
  Index(entry);
  return entry.record.state() == MEMBER_SUSPECT && AddSuspectingMonitor(&entry.record, self_name_);
}

void MemberTable::ClearSuspicion(Entry& entry) {
  Unindex(entry);
  SetState(0, entry, MEMBER_ALIVE);
  Index(entry);
}

void MemberTable::DeclareDead(Time now, Entry& entry) {
  Unindex(entry);
  SetState(now, entry, MEMBER_DEAD);
  Index(entry);
}

void MemberTable::ForgetDeadBefore(Time dead_limit, Time left_limit) {
  std::vector<std::string> forgotten;
  for (const auto& [name, entry] : entries_) {
    const Time limit = entry.record.state() == MEMBER_LEFT ? left_limit : dead_limit;
    if (!IsLive(entry.record) && entry.dead_since < limit && name != self_name_) forgotten.push_back(name);
  }
  for (const std::string& name : forgotten) {
    dead_.erase(name);
    entries_.erase(name);
  }
}

bool MemberTable::EnsureCapacity() {
  if (entries_.size() < kMaxTableEntries) return true;
  const auto oldest = std::ranges::min_element(entries_, {}, [](const auto& item) {
    return std::pair(IsLive(item.second.record), item.second.dead_since);
  });
  if (IsLive(oldest->second.record)) return false;
  dead_.erase(oldest->first);
  entries_.erase(oldest);
  return true;
}

void MemberTable::Index(const Entry& entry) {
  const MemberRecord& record = entry.record;
  if (record.state() == MEMBER_DEAD) dead_.insert(record.name());
  if (record.state() == MEMBER_SUSPECT) suspects_.insert(record.name());
  if (!IsLive(record)) return;
  const std::uint64_t hash = HashRecord(record);
  hash_ += hash;
  bucket_hashes_[BucketOf(record.name())] += hash;
  live_addresses_.insert(record.address());
  ring_.insert(ring_.begin() + static_cast<std::ptrdiff_t>(RingPosition(record.name())),
               {HashName(record.name()), record.name()});
  ++ring_version_;
}

void MemberTable::Unindex(const Entry& entry) {
  const MemberRecord& record = entry.record;
  dead_.erase(record.name());
  suspects_.erase(record.name());
  if (!IsLive(record)) return;
  const std::uint64_t hash = HashRecord(record);
  hash_ -= hash;
  bucket_hashes_[BucketOf(record.name())] -= hash;
  live_addresses_.extract(record.address());
  ring_.erase(ring_.begin() + static_cast<std::ptrdiff_t>(RingPosition(record.name())));
  ++ring_version_;
}

std::size_t MemberTable::RingPosition(const std::string& name) const {
  const auto at = std::ranges::lower_bound(ring_, RingKey{HashName(name), name});
  return static_cast<std::size_t>(at - ring_.begin());
}

std::vector<std::string> MemberTable::Successors(const std::string& name, std::size_t count) const {
  std::vector<std::string> found;
  for (std::size_t at = RingPosition(name), steps = 0; steps < ring_.size() && found.size() < count;
       ++steps, ++at) {
    const std::string& candidate = ring_[at % ring_.size()].second;
    if (candidate != name) found.push_back(candidate);
  }
  return found;
}

std::vector<std::string> MemberTable::Predecessors(const std::string& name, std::size_t count) const {
  std::vector<std::string> found;
  const std::size_t size = ring_.size();
  for (std::size_t at = RingPosition(name) + size, steps = 0; steps < size && found.size() < count; ++steps) {
    const std::string& candidate = ring_[--at % size].second;
    if (candidate != name) found.push_back(candidate);
  }
  return found;
}

}  // namespace lichenlug::membership_ring
