// Runs many Scheduler instances over one stream of the simulator's text protocol.
#pragma once

#include <iosfwd>

namespace rookgw::wire {

// Reads batches until the input ends and writes one reply to each. Returns the exit code of the process;
// writes one line to `errors` if the input is invalid.
int RunHost(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace rookgw::wire
