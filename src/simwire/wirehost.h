// Hosts many instances of the decisions on one stream of the wire.
#pragma once

#include <iosfwd>

namespace rookgw::wire {

// Reads batches until the input ends and writes one reply to each. Returns the process's exit code; a fault
// of the input is told on `errors` in one line.
int RunHost(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace rookgw::wire
