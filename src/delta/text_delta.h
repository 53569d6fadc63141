// Deltas between two versions of a text or record, built from the pieces that both share. A piece ends after
// a closing brace, so that unchanged items of a configuration are found wherever they have moved, or after 64
// bytes, so that appending to a long list of numbers also gives a short delta.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "messages/generated/delta.pb.h"

namespace lichenlug::delta {

messages::TextDelta MakeDelta(std::string_view base, std::string_view target);

// Returns nullopt if the delta does not match the base or the result would exceed `max_size` bytes.
std::optional<std::string> ApplyDelta(std::string_view base, const messages::TextDelta& delta,
                                      std::size_t max_size);

}  // namespace lichenlug::delta
