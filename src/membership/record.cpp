#include "membership/record.h"

#include <algorithm>
#include <tuple>

namespace lichenlug::membership_ring {
namespace {

constexpr std::size_t kMaxFieldBytes = 256;
constexpr std::uint64_t kMaxIncarnation = 1ull
                                          << 62;  // so that any valid record can be refuted by a higher one

// FNV-1a with a final mix, so that names that differ in one digit hash far apart.
class Hasher {
 public:
  void Add(std::string_view text) {
    for (const char c : text) AddByte(static_cast<std::uint8_t>(c));
    AddByte(0);
  }
  void Add(std::uint64_t number) {
    for (int i = 0; i < 8; ++i) AddByte(static_cast<std::uint8_t>(number >> (8 * i)));
  }
  std::uint64_t value() const {
    std::uint64_t x = state_;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
    return x ^ (x >> 31);
  }

 private:
  void AddByte(std::uint8_t byte) { state_ = (state_ ^ byte) * 0x100000001b3ull; }
  std::uint64_t state_ = 0xcbf29ce484222325ull;
};

auto Fields(const MemberRecord& record) {
  return std::make_tuple(record.incarnation(), record.version(), std::string_view(record.address()),
                         std::string_view(record.control_address()), std::string_view(record.zone()),
                         std::string_view(record.region()), std::string_view(record.replica_id()),
                         record.counts_for_quorum(), record.ready());
}

bool IsShort(std::string_view text) { return text.size() <= kMaxFieldBytes; }

}  // namespace

std::uint64_t HashName(std::string_view name) {
  Hasher hasher;
  hasher.Add(name);
  return hasher.value();
}

std::uint64_t HashRecord(const MemberRecord& record) {
  Hasher hasher;
  hasher.Add(record.name());
  std::apply(
      [&](auto... fields) {
        const auto add = [&](auto field) {
          if constexpr (std::is_same_v<decltype(field), std::string_view>) {
            hasher.Add(field);
          } else {
            hasher.Add(static_cast<std::uint64_t>(field));
          }
        };
        (add(fields), ...);
      },
      Fields(record));
  return hasher.value();
}

bool IsValid(const MemberRecord& record) {
  return !record.name().empty() && IsShort(record.name()) && !record.address().empty() &&
         IsShort(record.address()) && IsShort(record.control_address()) && IsShort(record.zone()) &&
         IsShort(record.region()) && IsShort(record.replica_id()) &&
         messages::MemberState_IsValid(record.state()) && record.incarnation() <= kMaxIncarnation &&
         record.suspected_by_size() <= kMaxSuspectingMonitors &&
         std::ranges::all_of(record.suspected_by(), IsShort);
}

std::strong_ordering CompareRecords(const MemberRecord& left, const MemberRecord& right) {
  return Fields(left) <=> Fields(right);
}

bool IsSuspectedBy(const MemberRecord& record, const std::string& name) {
  return std::ranges::find(record.suspected_by(), name) != record.suspected_by().end();
}

bool AddSuspectingMonitor(MemberRecord* record, const std::string& name) {
  if (IsSuspectedBy(*record, name) || record->suspected_by_size() >= kMaxSuspectingMonitors) return false;
  record->add_suspected_by(name);
  return true;
}

Member ToMember(const MemberRecord& record) {
  return {.name = record.name(),
          .incarnation = record.incarnation(),
          .address = record.address(),
          .control_address = record.control_address(),
          .zone = record.zone(),
          .region = record.region(),
          .counts_for_quorum = record.counts_for_quorum(),
          .ready = record.ready(),
          .replica_id = record.replica_id()};
}

MemberRecord ToRecord(const Member& member) {
  MemberRecord record;
  record.set_name(member.name);
  record.set_incarnation(member.incarnation);
  record.set_address(member.address);
  record.set_control_address(member.control_address);
  record.set_zone(member.zone);
  record.set_region(member.region);
  record.set_counts_for_quorum(member.counts_for_quorum);
  record.set_ready(member.ready);
  record.set_replica_id(member.replica_id);
  return record;
}

}  // namespace lichenlug::membership_ring
