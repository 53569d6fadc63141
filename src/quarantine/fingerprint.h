// Identifies arrivals of the same job, and builds the description line shown to operators and owners.
//
// A corrected job isn't mistaken for the old one (a changed body gives another fingerprint), and different
// splits of the same bytes into parts don't collide (each part is hashed with its length). Nothing that a
// client sent is kept except the line: the body is only hashed.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lichenlug {

struct Fingerprint {
  std::uint64_t high = 0, low = 0;

  auto operator<=>(const Fingerprint&) const = default;
  std::string Ticket() const;  // 32 hexadecimal digits: the same job has the same ticket at every dispatcher
  static std::optional<Fingerprint> Parse(std::string_view ticket);
};

struct JobParts {
  std::string_view tenant = {}, job_class = {}, method = {}, path_and_query = {}, object = {}, body = {};
};

// XXH3, 128 bits; not cryptographic. Whoever can submit jobs for a tenant can only make that tenant's jobs
// collide.
Fingerprint FingerprintOf(const JobParts& parts);

inline constexpr std::size_t kMaxDescription = 64;  // bytes

// For example "publish POST /index object-17": class, method, path without its query (which may hold private
// data), object. Bytes that aren't printable ASCII become '?'; at most kMaxDescription bytes.
std::string DescriptionOf(const JobParts& parts);

std::uint64_t ShortHash(std::string_view text);

}  // namespace lichenlug
