// Binary encoding of tickets, little-endian: the same records in datagrams and in snapshots.
//
// A truncated record never decodes as a complete one: a reader that runs out of bytes fails permanently, and
// out-of-range values make the record invalid. Times are encoded as ages, so that clocks need to agree only
// within the transmission time; ends of discards and quarantines are Unix seconds.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "quarantine/ticket.h"

namespace lichenlug {

class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : bytes_(bytes) {}

  template <typename T>
  T Number() {
    T value = 0;
    if (left() < sizeof(T)) good_ = false, at_ = bytes_.size();
    for (std::size_t i = 0; good_ && i < sizeof(T); ++i)
      value = static_cast<T>(value | static_cast<T>(static_cast<std::uint8_t>(bytes_[at_++])) << (8 * i));
    return value;
  }
  std::string_view Text(std::size_t size) {
    if (left() < size) {
      good_ = false, at_ = bytes_.size();
      return {};
    }
    at_ += size;
    return bytes_.substr(at_ - size, size);
  }
  bool good() const { return good_; }
  std::size_t left() const { return bytes_.size() - at_; }

 private:
  std::string_view bytes_;
  std::size_t at_ = 0;
  bool good_ = true;
};

template <typename T>
void PutNumber(std::string* bytes, T value) {
  for (std::size_t i = 0; i < sizeof(T); ++i)
    *bytes += static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i) & 0xff);
}

// Encodes at most `max_bytes` bytes; the description line is omitted if it doesn't fit. Without it a record
// has at most kMaxRecord bytes for any ticket.
inline constexpr std::size_t kMaxRecord = 252;
std::string Encode(const Fingerprint& job, const Ticket& ticket, Time now,
                   std::size_t max_bytes = kMaxRecord);

// Returns nullopt if the record is malformed.
std::optional<std::pair<Fingerprint, Ticket>> Decode(std::string_view record, Time now);

}  // namespace lichenlug
