// The simulator's adapter: runs Scheduler instances over standard input and output. See simwire/wirehost.h.
#include <iostream>

#include "simwire/wirehost.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  return rookgw::wire::RunHost(std::cin, std::cout, std::cerr);
}
