#include "node/component_settings.h"

namespace lichenlug::node {

namespace {

Member SelfMember(const NodeSettings& settings, std::uint64_t incarnation) {
  Member self;
  self.name = settings.name;
  self.incarnation = incarnation;
  self.address = settings.internal_address;
  self.control_address = settings.control_address;
  self.zone = settings.zone;
  self.region = settings.region;
  self.counts_for_quorum = settings.counts_for_quorum;
  return self;
}

}  // namespace

membership_ring::MembershipSettings MembershipSettingsFor(const NodeSettings& settings,
                                                          std::uint64_t incarnation, std::uint64_t seed) {
  membership_ring::MembershipSettings membership;
  membership.self = SelfMember(settings, incarnation);
  membership.seed_addresses = settings.seed_addresses;
  membership.seed = seed;
  return membership;
}

registry::RegistrySettings RegistrySettingsFor(const NodeSettings& settings, std::uint64_t seed) {
  registry::RegistrySettings registry;
  registry.self_name = settings.name;
  registry.zone = settings.zone;
  registry.serves_control = !settings.control_address.empty();
  registry.counts_for_quorum = settings.counts_for_quorum;
  registry.has_store = !settings.store_folder.empty();
  registry.prefers_quorum_members = settings.mechanisms.Has(Mechanism::kStoreHomes);
  registry.heartbeat_interval = settings.heartbeat_interval;
  registry.seed = seed;
  return registry;
}

configuration::FollowerSettings FollowerSettingsFor(const NodeSettings& settings, std::uint64_t seed) {
  configuration::FollowerSettings follower;
  follower.self_name = settings.name;
  follower.zone = settings.zone;
  follower.poll_interval = settings.bounds.configuration_in_force / 5;
  follower.seed = seed;
  return follower;
}

}  // namespace lichenlug::node
