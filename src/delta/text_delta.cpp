#include "delta/text_delta.h"

#include <unordered_map>

namespace lichenlug::delta {
namespace {

constexpr char kPieceTerminator = '}';
constexpr std::size_t kMaxPieceLength = 64;

// Returns the piece that begins at `start`.
std::string_view PieceAt(std::string_view text, std::size_t start) {
  const std::string_view max_piece = text.substr(start, kMaxPieceLength);
  const std::size_t end = max_piece.find(kPieceTerminator);
  return end == std::string_view::npos ? max_piece : max_piece.substr(0, end + 1);
}

using PieceOffsets = std::unordered_map<std::string_view, std::size_t>;

PieceOffsets IndexPieces(std::string_view text) {
  PieceOffsets offsets;
  for (std::size_t start = 0; start < text.size();) {
    const std::string_view piece = PieceAt(text, start);
    offsets.emplace(piece, start);
    start += piece.size();
  }
  return offsets;
}

// Finds the piece in the base, preferring the position right after the last copy, so that adjacent copies
// merge into long ones.
std::optional<std::size_t> FindPiece(std::string_view base, const PieceOffsets& offsets,
                                     std::string_view piece, std::size_t after_last_copy) {
  if (after_last_copy <= base.size() && base.substr(after_last_copy).starts_with(piece))
    return after_last_copy;
  const auto entry = offsets.find(piece);
  if (entry == offsets.end()) return std::nullopt;
  return entry->second;
}

}  // namespace

messages::TextDelta MakeDelta(std::string_view base, std::string_view target) {
  const PieceOffsets offsets = IndexPieces(base);
  messages::TextDelta delta;
  messages::TextSegment* last = delta.add_segments();
  for (std::size_t start = 0; start < target.size();) {
    const std::string_view piece = PieceAt(target, start);
    start += piece.size();
    const std::size_t after_last_copy = last->offset() + last->length();
    const auto found = FindPiece(base, offsets, piece, after_last_copy);
    if (!found) {
      last->mutable_text()->append(piece);
      continue;
    }
    if (!last->text().empty() || *found != after_last_copy) {
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
