// A 64-bit digest (xxHash) of a few numbers and texts, the same on every machine and in every version of the
// program, as digests are kept on disk.
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
  std::uint64_t digest_ = 0;  // the seed of what comes next
};

}  // namespace lichenlug::configuration
