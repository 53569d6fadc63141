// All tickets that a dispatcher knows, bounded per tenant and in total, with checksums by which two
// dispatchers find the differences between their tables.
//
// A tenant can't fill the table: it evicts its own oldest suspicion, never another tenant's ticket and never
// a condemned or decided one; jobs that don't fit are let through and counted.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <utility>

#include "quarantine/ticket.h"

namespace lichenlug {

class Table {
 public:
  // Checksums: one leaf for each 1,024th of the fingerprint space, 32 leaves in a group.
  static constexpr int kGroups = 32, kLeavesOfGroup = 32;

  Table(std::size_t max_tickets, std::size_t max_per_tenant)
      : max_(max_tickets), max_per_tenant_(max_per_tenant) {}

  Ticket* Find(const Fingerprint& job);
  const Ticket* Find(const Fingerprint& job) const;
  // The ticket, created if needed; null if the table is full.
  Ticket* FindOrAdd(const Fingerprint& job, std::uint64_t tenant, Time now);
  void Changed(const Fingerprint& job, Ticket* ticket, Time now);  // updates the checksums
  void Erase(const Fingerprint& job);
  // Removes expired tickets; each call checks the next kSweepBatch of the table.
  void Sweep(Time now);

  std::uint32_t GroupChecksum(int group) const;
  std::uint32_t LeafChecksum(int leaf) const { return leaves_[static_cast<std::size_t>(leaf)]; }
  static int LeafOf(const Fingerprint& job) { return static_cast<int>(job.high >> 54); }
  // The first fingerprint of a leaf.
  static Fingerprint FirstOf(int leaf) { return {static_cast<std::uint64_t>(leaf) << 54, 0}; }

  const std::map<Fingerprint, Ticket>& all() const { return tickets_; }
  std::map<Fingerprint, Ticket>& all() { return tickets_; }
  std::uint64_t untracked() const { return untracked_; }
  std::uint64_t evicted() const { return evicted_; }

 private:
  static constexpr int kSweepBatch = 64;

  bool EvictSuspicion(std::uint64_t tenant, Time now);

  std::size_t max_, max_per_tenant_;
  std::map<Fingerprint, Ticket> tickets_;
  std::map<std::uint64_t, std::size_t> tickets_per_tenant_;
  std::array<std::uint32_t, static_cast<std::size_t>(kGroups) * kLeavesOfGroup> leaves_{};
  Fingerprint sweep_position_;
  std::uint64_t untracked_ = 0, evicted_ = 0;
};

}  // namespace lichenlug
