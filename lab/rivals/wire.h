// A policy behind the simulator's wire: a process of its own for each dispatcher, spoken to in lines. So an
// older build of the module, or any other adapter, plays the same days as the module of this build.
#pragma once

#include <memory>
#include <string>

#include "lab/rivals/policy.h"

namespace lichenlug::lab {

// `command` is run by /bin/sh. Throws std::runtime_error when it cannot be started; a process that ends early
// or says what is no reply throws from Handle. Told that a runner has taken a job is not on the wire: such
// notes are left out.
std::unique_ptr<Policy> MakeWirePolicy(const std::string& command, PolicyInputs inputs);

// The settings object as the wire carries it, in one line.
std::string WireSettings(const rookgw::Settings& settings);

}  // namespace lichenlug::lab
