#include "quarantine/fingerprint.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <memory>

namespace lichenlug {

std::string Fingerprint::Ticket() const {
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(high),
                static_cast<unsigned long long>(low));
  return text.data();
}

std::optional<Fingerprint> Fingerprint::Parse(std::string_view ticket) {
  if (ticket.size() != 32) return std::nullopt;
  Fingerprint it;
  const char* middle = ticket.data() + 16;
  const auto first = std::from_chars(ticket.data(), middle, it.high, 16);
  const auto second = std::from_chars(middle, middle + 16, it.low, 16);
  if (first.ec != std::errc() || first.ptr != middle || second.ec != std::errc() || second.ptr != middle + 16)
    return std::nullopt;
  return it;
}

Fingerprint FingerprintOf(const JobParts& parts) {
  XXH3_state_t state;
  XXH3_128bits_reset(&state);
  for (const std::string_view part :
       {parts.tenant, parts.job_class, parts.method, parts.path_and_query, parts.object, parts.body}) {
    const std::uint64_t length = part.size();
    XXH3_128bits_update(&state, &length, sizeof length);
    XXH3_128bits_update(&state, part.data(), part.size());
  }
  const XXH128_hash_t hash = XXH3_128bits_digest(&state);
  return {hash.high64, hash.low64};
}

std::string DescriptionOf(const JobParts& parts) {
  std::string line;
  for (const std::string_view part :
       {parts.job_class, parts.method, parts.path_and_query.substr(0, parts.path_and_query.find('?')),
        parts.object}) {
    if (part.empty()) continue;
    if (!line.empty()) line += ' ';
    line += part.substr(0, kMaxDescription);
  }
  line.resize(std::min(line.size(), kMaxDescription));
  for (char& c : line)
    if (c < ' ' || c > '~') c = '?';
  return line;
}

std::uint64_t ShortHash(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

}  // namespace lichenlug
