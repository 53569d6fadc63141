#include "configuration/patch.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "configuration/json_outline.h"
#include "configuration/json_reader.h"
#include "configuration/places.h"

namespace lichenlug::configuration {
namespace {

constexpr std::string_view kEdition = "edition", kUpsert = "upsert", kRemove = "remove", kName = "name";

ListChange& ListChangeFor(std::string_view list, Patch* patch) {
  const auto found = std::find_if(patch->lists.begin(), patch->lists.end(),
                                  [&](const ListChange& change) { return change.list == list; });
  if (found != patch->lists.end()) return *found;
  patch->lists.push_back({std::string(list), {}, {}});
  return patch->lists.back();
}

// Parses {list name: [items]}. `read_item` parses one item and returns false if it has the wrong form.
template <typename ReadItem>
std::optional<Problem> ReadLists(std::string_view section, std::string_view lists, std::string_view item_form,
                                 Patch* patch, const ReadItem& read_item) {
  if (JsonKindOf(lists) == JsonKind::kNull) return std::nullopt;
  if (JsonKindOf(lists) != JsonKind::kObject) {
    return Problem{std::string(section), std::string(kTopLevel), "give an object of lists"};
  }
  for (const JsonMember& member : ObjectMembers(lists)) {
    const std::string place = std::string(section) + "." + member.name;
    if (JsonKindOf(member.value) != JsonKind::kList)
      return Problem{member.name, std::string(section), "give a list"};
    ListChange& change = ListChangeFor(member.name, patch);
    const auto items = ListItems(member.value);
    for (std::size_t i = 0; i < items.size(); ++i) {
      if (read_item(items[i], &change)) continue;
      return Problem{std::string(kName), PlaceInList(place, static_cast<std::ptrdiff_t>(i), ""),
                     std::string(item_form)};
    }
  }
  return std::nullopt;
}

std::optional<std::string> ItemName(std::string_view item) {
  const auto name = FindMember(item, kName);
  if (!name || JsonKindOf(*name) != JsonKind::kString) return std::nullopt;
  return StringContent(*name);
}

bool ReadUpsert(std::string_view item, ListChange* change) {
  auto name = ItemName(item);
  if (!name || name->empty()) return false;
  change->upserts.push_back({std::move(*name), item});
  return true;
}

bool ReadRemoval(std::string_view item, ListChange* change) {
  if (JsonKindOf(item) != JsonKind::kString) return false;
  change->removals.push_back(StringContent(item));
  return true;
}

std::string Join(const std::vector<std::string_view>& parts, char opening, char closing) {
  std::size_t size = 2;
  for (const std::string_view part : parts) size += part.size() + 1;
  std::string text;
  text.reserve(size);
  text += opening;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    if (i > 0) text += ',';
    text += parts[i];
  }
  text += closing;
  return text;
}

std::string ApplyListChange(std::string_view list, const ListChange& change) {
  const std::unordered_set<std::string_view> removed(change.removals.begin(), change.removals.end());
  std::unordered_map<std::string_view, std::string_view> upsert_by_name;  // the last upsert of each name
  for (const NamedItem& item : change.upserts) upsert_by_name[item.name] = item.text;
  std::unordered_set<std::string> written;
  std::vector<std::string_view> items;
  for (const std::string_view item : ListItems(list)) {
    const std::string name = ItemName(item).value_or("");
    const auto replacement = upsert_by_name.find(name);
    if (replacement != upsert_by_name.end()) {
      if (written.insert(name).second) items.push_back(replacement->second);
    } else if (!removed.contains(name)) {
      items.push_back(item);
    }
  }
  for (const NamedItem& item : change.upserts) {
    if (written.insert(item.name).second) items.push_back(upsert_by_name[item.name]);
  }
  return Join(items, '[', ']');
}

// An integer greater than 0. Uses the parser of complete configurations, so that both accept the same
// notations.
bool IsEdition(std::string_view value) {
  if (value.empty()) return false;
  messages::Configuration configuration;
  const std::string object = "{\"edition\":" + std::string(value) + "}";
  return !ReadJson(object, &configuration).problem && configuration.edition() > 0;
}

}  // namespace

std::variant<Patch, Problem> ReadPatch(std::string_view text) {
  if (!IsValidJson(text))
    return Problem{"JSON", "the whole text",
                   "can't be parsed: send the complete text, of a million values at most"};
  if (JsonKindOf(text) != JsonKind::kObject) return Problem{"patch", "the whole text", "give an object"};
  Patch patch;
  for (const JsonMember& member : ObjectMembers(text)) {
    std::optional<Problem> problem;
    if (member.name == kEdition) patch.edition = member.value;
    if (member.name == kUpsert) {
      problem = ReadLists(kUpsert, member.value, "give an object with a name", &patch, ReadUpsert);
    }
    if (member.name == kRemove) {
      problem = ReadLists(kRemove, member.value, "give a name", &patch, ReadRemoval);
    }
    if (problem) return *problem;
  }
  if (!IsEdition(patch.edition)) {
    return Problem{std::string(kEdition), std::string(kTopLevel), "give an integer greater than 0"};
  }
  return patch;
}

std::variant<std::string, Problem> ApplyPatch(std::string_view json, const Patch& patch) {
  std::vector<JsonMember> members = ObjectMembers(json);
  std::vector<std::string> texts;  // owns new values; reserved so that views stay valid
  texts.reserve(2 * patch.lists.size());
  std::vector<std::string_view> parts;
  for (const ListChange& change : patch.lists) {
    const auto member = std::find_if(members.begin(), members.end(),
                                     [&](const JsonMember& other) { return other.name == change.list; });
    const bool absent = member == members.end();
    const JsonKind kind = absent ? JsonKind::kNull : JsonKindOf(member->value);
    if (kind != JsonKind::kList && kind != JsonKind::kNull) {
      return Problem{change.list, "patch", "is not a list: replace the complete configuration"};
    }
    texts.push_back(ApplyListChange(absent ? std::string_view("[]") : member->value, change));
    if (!absent) {
      member->value = texts.back();
      continue;
    }
    const std::string_view value = texts.back();
    texts.push_back(QuotedString(change.list));
    members.push_back({change.list, texts.back(), value});
  }
  for (JsonMember& member : members) {
    if (member.name == kEdition) member.value = patch.edition;
  }
  std::vector<std::string> entries;
  entries.reserve(members.size());
  for (const JsonMember& member : members) {
    entries.push_back(std::string(member.raw_name).append(1, ':').append(member.value));
  }
  return Join({entries.begin(), entries.end()}, '{', '}');
}

}  // namespace lichenlug::configuration
