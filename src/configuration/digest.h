// A 64-bit digest (xxHash) of a few numbers and texts. Digests are stored on disk, so they must be the same
// on every machine and in every version of the program.
#pragma once

#include <cstdint>
#include <string_view>

namespace lichenlug::configuration {

class Digester {
 public:
  Digester& Number(std::uint64_t number);
  Digester& Text(std::string_view text);
  std::uint64_t Result() const { return digest_; }

 private:
  std::uint64_t digest_ = 0;  // the seed for the next input
};

}  // namespace lichenlug::configuration
