// Fills a protobuf message from the events of a JSON parser.
#pragma once

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/configuration.h"

namespace lichenlug::configuration {

struct FieldTable;  // the fields of a message type by their JSON names
struct FieldEntry;

// The functions that receive a value return false and set `problem` if its type doesn't match the field.
class MessageBuilder {
 public:
  explicit MessageBuilder(google::protobuf::Message* root) : root_(root) {}

  bool BeginObject();
  bool EndObject();
  bool BeginList();
  bool EndList();
  void Key(std::string_view name);
  bool String(std::string value);
  bool Integer(std::int64_t value);  // a number without a fraction
  bool Double(double value);         // any other number
  bool Bool(bool value);
  bool Null();

  std::optional<Problem> problem;
  std::vector<int> present;  // numbers of the top-level fields in the text

 private:
  using FieldDescriptor = google::protobuf::FieldDescriptor;

  // An object being parsed, and the field that the next value belongs to.
  struct Frame {
    google::protobuf::Message* message = nullptr;
    const google::protobuf::Reflection* reflection = nullptr;
    const FieldTable* table = nullptr;
    const FieldEntry* entry = nullptr;  // null: an unknown member, which is skipped
    bool in_list = false;
  };

  bool InUnknownMember() const {
    return skipped_ > 0 || (!frames_.empty() && frames_.back().entry == nullptr);
  }
  bool CountItem();
  bool ExpectsType(FieldDescriptor::CppType type) const;
  bool ReportWrongType();
  std::string Place() const;

  google::protobuf::Message* root_;
  std::vector<Frame> frames_;
  std::size_t items_ = 0;  // objects and items of lists so far
  int skipped_ = 0;        // nesting depth within the value of an unknown member
};

}  // namespace lichenlug::configuration
