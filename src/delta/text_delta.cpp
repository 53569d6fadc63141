#include "delta/text_delta.h"

#include <unordered_map>

namespace lichenlug::delta {
namespace {

constexpr char kPieceEnd = '}';
constexpr std::size_t kLongestPiece = 64;

// Returns the piece that begins at `start`.
std::string_view PieceAt(std::string_view text, std::size_t start) {
  const std::string_view longest = text.substr(start, kLongestPiece);
  const std::size_t end = longest.find(kPieceEnd);
  return end == std::string_view::npos ? longest : longest.substr(0, end + 1);
}

using Places = std::unordered_map<std::string_view, std::size_t>;

Places PlacesOfPieces(std::string_view text) {
  Places places;
  for (std::size_t start = 0; start < text.size();) {
    const std::string_view piece = PieceAt(text, start);
    places.emplace(piece, start);
    start += piece.size();
  }
  return places;
}

// Finds the piece in the base, preferring the position right after the last copy, so that adjacent copies
// merge into long ones.
std::optional<std::size_t> Find(std::string_view base, const Places& places, std::string_view piece,
                                std::size_t after_last) {
  if (after_last <= base.size() && base.substr(after_last).starts_with(piece)) return after_last;
  const auto place = places.find(piece);
  if (place == places.end()) return std::nullopt;
  return place->second;
}

}  // namespace

messages::TextDelta MakeDelta(std::string_view base, std::string_view target) {
  const Places places = PlacesOfPieces(base);
  messages::TextDelta delta;
  messages::TextSegment* last = delta.add_segments();
  for (std::size_t start = 0; start < target.size();) {
    const std::string_view piece = PieceAt(target, start);
    start += piece.size();
    const std::size_t after_last = last->offset() + last->length();
    const auto found = Find(base, places, piece, after_last);
    if (!found) {
      last->mutable_text()->append(piece);
      continue;
    }
    if (!last->text().empty() || *found != after_last) {
      last = delta.add_segments();
      last->set_offset(*found);
    }
    last->set_length(last->length() + piece.size());
  }
  return delta;
}

std::optional<std::string> ApplyDelta(std::string_view base, const messages::TextDelta& delta,
                                      std::size_t max_size) {
  std::string target;
  for (const auto& segment : delta.segments()) {
    if (segment.offset() > base.size() || segment.length() > base.size() - segment.offset())
      return std::nullopt;
    if (target.size() + segment.length() + segment.text().size() > max_size) return std::nullopt;
    target.append(base.substr(segment.offset(), segment.length())).append(segment.text());
  }
  return target;
}

}  // namespace lichenlug::delta
