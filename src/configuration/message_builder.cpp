#include "configuration/message_builder.h"

#include <algorithm>
#include <limits>
#include <unordered_map>
#include <utility>

#include "configuration/places.h"

namespace lichenlug::configuration {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

struct FieldEntry {
  std::string_view name;
  const FieldDescriptor* field = nullptr;
  FieldDescriptor::CppType type = FieldDescriptor::CPPTYPE_MESSAGE;
  bool repeated = false;
  const FieldTable* inner = nullptr;  // table of the field's message type
};

struct FieldTable {
  std::vector<FieldEntry> entries;  // so few that linear search is fastest

  const FieldEntry* Find(std::string_view name) const {
    for (const FieldEntry& entry : entries) {
      if (entry.name == name) return &entry;
    }
    return nullptr;
  }
};

namespace {

constexpr std::size_t kMaxItems = 65536;

// The tables of a message type and of all types nested in it are built once per thread.
const FieldTable* FieldTableFor(const Descriptor* descriptor) {
  thread_local std::unordered_map<const Descriptor*, FieldTable> tables;
  auto [place, added] = tables.try_emplace(descriptor);
  FieldTable& table = place->second;  // stays valid on insertion: std::unordered_map is node-based
  if (!added) return &table;
  for (int i = 0; i < descriptor->field_count(); ++i) {
    const FieldDescriptor* field = descriptor->field(i);
    const FieldTable* inner = field->message_type() ? FieldTableFor(field->message_type()) : nullptr;
    table.entries.push_back({field->json_name(), field, field->cpp_type(), field->is_repeated(), inner});
  }
  return &table;
}

const char* Remedy(const FieldEntry& entry, bool whole_list) {
  if (whole_list) return "give a list";
  switch (entry.type) {
    case FieldDescriptor::CPPTYPE_MESSAGE:
      return "give an object";
    case FieldDescriptor::CPPTYPE_STRING:
      return "give a string";
    case FieldDescriptor::CPPTYPE_BOOL:
      return "give true or false";
    case FieldDescriptor::CPPTYPE_DOUBLE:
      return "give a number";
    default:
      return "give an integer";
  }
}

std::string NameOf(const Message& message) {
  const FieldDescriptor* name = message.GetDescriptor()->FindFieldByName("name");
  return name ? message.GetReflection()->GetString(message, name) : std::string();
}

}  // namespace

void MessageBuilder::Key(std::string_view name) {
  if (skipped_ > 0) return;
  Frame& frame = frames_.back();
  frame.entry = frame.table->Find(name);
  if (!frame.entry) return;
  const bool is_composite = frame.entry->repeated || frame.entry->type == FieldDescriptor::CPPTYPE_MESSAGE;
  if (is_composite) frame.reflection->ClearField(frame.message, frame.entry->field);
  if (frames_.size() == 1) present.push_back(frame.entry->field->number());
}

bool MessageBuilder::BeginObject() {
  if (InUnknownMember()) {
    ++skipped_;
    return true;
  }
  if (frames_.empty()) {
    frames_.push_back({root_, root_->GetReflection(), FieldTableFor(root_->GetDescriptor())});
    return true;
  }
  if (!ExpectsType(FieldDescriptor::CPPTYPE_MESSAGE)) return ReportWrongType();
  if (!CountItem()) return false;
  const Frame& frame = frames_.back();
  Message* inner = frame.in_list ? frame.reflection->AddMessage(frame.message, frame.entry->field)
                                 : frame.reflection->MutableMessage(frame.message, frame.entry->field);
  frames_.push_back({inner, inner->GetReflection(), frame.entry->inner});
  return true;
}

bool MessageBuilder::EndObject() {
  if (skipped_ > 0) {
    --skipped_;
  } else {
    frames_.pop_back();
  }
  return true;
}

bool MessageBuilder::BeginList() {
  if (InUnknownMember()) {
    ++skipped_;
    return true;
  }
  if (frames_.empty()) return ReportWrongType();
  Frame& frame = frames_.back();
  if (!frame.entry->repeated || frame.in_list) return ReportWrongType();
  frame.in_list = true;
  return true;
}

bool MessageBuilder::EndList() {
  if (skipped_ > 0) {
    --skipped_;
  } else {
    frames_.back().in_list = false;
  }
  return true;
}

bool MessageBuilder::String(std::string value) {
  if (InUnknownMember()) return true;
  if (!ExpectsType(FieldDescriptor::CPPTYPE_STRING)) return ReportWrongType();
  if (frames_.back().in_list && !CountItem()) return false;
  const Frame& frame = frames_.back();
  if (frame.in_list) {
    frame.reflection->AddString(frame.message, frame.entry->field, std::move(value));
  } else {
    frame.reflection->SetString(frame.message, frame.entry->field, std::move(value));
  }
  return true;
}

bool MessageBuilder::Integer(std::int64_t value) {
  if (InUnknownMember()) return true;
  if (ExpectsType(FieldDescriptor::CPPTYPE_DOUBLE)) return Double(static_cast<double>(value));
  const bool is_int32 = ExpectsType(FieldDescriptor::CPPTYPE_INT32);
  if (!is_int32 && !ExpectsType(FieldDescriptor::CPPTYPE_INT64)) return ReportWrongType();
  const Frame& frame = frames_.back();
  if (is_int32) {  // a limit that doesn't fit means "unlimited"
    using Limits = std::numeric_limits<std::int32_t>;
    const auto bounded = std::clamp<std::int64_t>(value, Limits::min(), Limits::max());
    frame.reflection->SetInt32(frame.message, frame.entry->field, static_cast<std::int32_t>(bounded));
  } else {
    frame.reflection->SetInt64(frame.message, frame.entry->field, value);
  }
  return true;
}

bool MessageBuilder::Double(double value) {
  if (InUnknownMember()) return true;
  if (!ExpectsType(FieldDescriptor::CPPTYPE_DOUBLE)) return ReportWrongType();
  const Frame& frame = frames_.back();
  frame.reflection->SetDouble(frame.message, frame.entry->field, value);
  return true;
}

bool MessageBuilder::Bool(bool value) {
  if (InUnknownMember()) return true;
  if (!ExpectsType(FieldDescriptor::CPPTYPE_BOOL)) return ReportWrongType();
  const Frame& frame = frames_.back();
  frame.reflection->SetBool(frame.message, frame.entry->field, value);
  return true;
}

bool MessageBuilder::Null() {
  if (InUnknownMember()) return true;
  if (frames_.empty() || frames_.back().in_list) return ReportWrongType();
  const Frame& frame = frames_.back();
  frame.reflection->ClearField(frame.message, frame.entry->field);
  return true;
}

// An item takes far more memory than its text may have bytes.
bool MessageBuilder::CountItem() {
  if (++items_ <= kMaxItems) return true;
  problem = Problem{"configuration", "the whole text",
                    "has too many objects and items of lists: give at most " + std::to_string(kMaxItems)};
  return false;
}

bool MessageBuilder::ExpectsType(FieldDescriptor::CppType type) const {
  if (frames_.empty()) return false;
  const Frame& frame = frames_.back();
  return frame.entry->type == type && frame.entry->repeated == frame.in_list;
}

bool MessageBuilder::ReportWrongType() {
  if (frames_.empty()) {
    problem = Problem{"configuration", "the whole text", "give an object"};
    return false;
  }
  const Frame& frame = frames_.back();
  problem = Problem{frame.entry->field->json_name(), Place(),
                    Remedy(*frame.entry, frame.entry->repeated && !frame.in_list)};
  return false;
}

std::string MessageBuilder::Place() const {
  std::string place;
  for (std::size_t i = 0; i + 1 < frames_.size(); ++i) {
    const Frame& frame = frames_[i];
    if (!place.empty()) place += '.';
    if (!frame.in_list) {
      place += frame.entry->field->json_name();
      continue;
    }
    const int index = frame.reflection->FieldSize(*frame.message, frame.entry->field) - 1;
    place += PlaceInList(frame.entry->field->json_name(), index, NameOf(*frames_[i + 1].message));
  }
  return place.empty() ? std::string(kTopLevel) : place;
}

}  // namespace lichenlug::configuration
