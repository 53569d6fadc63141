// What makes two arrivals the same job, and the line that people read of it.
//
// Guards against a mended job taken for the old one (a changed body is another job), against two parts run
// together being taken for other two (each part goes in with its length), and against keeping what a client
// sent: the body is hashed and forgotten.
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

// XXH3, 128 bits. It is no secret and no signature: one who can hand in jobs for a tenant can only make that
// tenant's jobs collide.
Fingerprint FingerprintOf(const JobParts& parts);

inline constexpr std::size_t kMaxLine = 64;  // bytes

// "publish POST /index object-17": method, path without its query (which may hold what is nobody else's
// business), object. Bytes that are not printable ASCII become '?'; at most kMaxLine of them.
std::string LineOf(const JobParts& parts);

std::uint64_t ShortHash(std::string_view text);

}  // namespace lichenlug
