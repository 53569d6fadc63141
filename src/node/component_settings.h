// Derives the settings of the control plane's components from those of the process.
#pragma once

#include <cstdint>

#include "configuration/follower.h"
#include "membership/membership.h"
#include "node/node_settings.h"
#include "registry/registry.h"

namespace lichenlug::node {

membership_ring::MembershipSettings MembershipSettingsFor(const NodeSettings& settings,
                                                          std::uint64_t incarnation, std::uint64_t seed);
registry::RegistrySettings RegistrySettingsFor(const NodeSettings& settings, std::uint64_t seed);
configuration::FollowerSettings FollowerSettingsFor(const NodeSettings& settings, std::uint64_t seed);

}  // namespace lichenlug::node
