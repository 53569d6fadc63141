// A running digest of what happened: two runs with the same digest did the same things in the same order.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <memory>
#include <string_view>

namespace lichenlug::lab {

class Digest {
 public:
  Digest() : state_(XXH3_createState(), XXH3_freeState) { XXH3_64bits_reset(state_.get()); }

  void Add(std::uint64_t value) { XXH3_64bits_update(state_.get(), &value, sizeof value); }
  void Add(std::string_view text) {
    Add(text.size());
    XXH3_64bits_update(state_.get(), text.data(), text.size());
  }
  std::uint64_t Value() const { return XXH3_64bits_digest(state_.get()); }

 private:
  std::unique_ptr<XXH3_state_t, XXH_errorcode (*)(XXH3_state_t*)> state_;
};

}  // namespace lichenlug::lab
