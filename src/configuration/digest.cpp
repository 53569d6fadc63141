#include "configuration/digest.h"

#include <array>
#include <cstddef>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lichenlug::configuration {

Digester& Digester::Number(std::uint64_t number) {
  std::array<unsigned char, sizeof number> bytes;  // little-endian on every machine
  for (std::size_t i = 0; i < bytes.size(); ++i) bytes[i] = static_cast<unsigned char>(number >> (8 * i));
  digest_ = XXH64(bytes.data(), bytes.size(), digest_);
  return *this;
}

Digester& Digester::Text(std::string_view text) {
  digest_ = XXH64(text.data(), text.size(), digest_);
  return *this;
}

}  // namespace lichenlug::configuration
