#include "membership/membership.h"

#include <algorithm>
#include <utility>

#include "membership/protocol.h"

namespace lichenlug::membership_ring {

class Membership::Impl : public Protocol {
 public:
  using Protocol::Protocol;

  template <typename Condition>
  std::vector<Member> Members(Condition condition) const {  // by name
    std::vector<Member> members;
    for (const auto& [name, entry] : table().entries()) {
      if (condition(entry.record)) members.push_back(ToMember(entry.record));
    }
    std::ranges::sort(members, {}, &Member::name);
    return members;
  }
};

Membership::Membership(MembershipSettings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
Membership::~Membership() = default;

void Membership::Start(Time now, MembershipOutput* output) { impl_->Start(now, output); }
void Membership::Receive(Time now, const std::string& from_address,
                         const messages::MembershipMessage& message, MembershipOutput* output) {
  impl_->Receive(now, from_address, message, output);
}
void Membership::Tick(Time now, MembershipOutput* output) { impl_->Tick(now, output); }
std::optional<Time> Membership::NextTimer() const { return impl_->NextTimer(); }

void Membership::UpdateSelf(Time now, bool ready, const std::string& replica_id, MembershipOutput* output) {
  impl_->UpdateSelf(now, ready, replica_id, output);
}
void Membership::SetSeeds(std::vector<std::string> seed_addresses) {
  impl_->SetSeeds(std::move(seed_addresses));
}
void Membership::Leave(Time now, MembershipOutput* output) { impl_->Leave(now, output); }

std::vector<Member> Membership::Live() const {
  return impl_->Members([](const MemberRecord& record) { return IsLive(record); });
}

std::vector<Member> Membership::AllMembers() const {
  return impl_->Members([](const MemberRecord&) { return true; });
}

std::optional<Time> Membership::DeadSince(const std::string& name) const {
  const Entry* entry = impl_->table().Find(name);
  if (entry == nullptr || IsLive(entry->record)) return std::nullopt;
  return entry->dead_since;
}

const Member& Membership::self() const { return impl_->self(); }

}  // namespace lichenlug::membership_ring
