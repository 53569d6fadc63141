// Corrupted messages: each field of each message is altered in turn, and random bytes are altered. No member
// crashes, and the member tables converge again.
#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <google/protobuf/stubs/logging.h>

#include <catch2/catch.hpp>

#include "simulated_network.h"

namespace lichenlug::membership_ring {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;
using Path = std::vector<const FieldDescriptor*>;

void CollectPaths(const Descriptor* type, const Path& prefix, std::vector<Path>* paths) {
  for (int i = 0; i < type->field_count(); ++i) {
    Path path = prefix;
    path.push_back(type->field(i));
    paths->push_back(path);
    if (type->field(i)->message_type() != nullptr) CollectPaths(type->field(i)->message_type(), path, paths);
  }
}

std::string Describe(const Path& path) {
  std::string text;
  for (const FieldDescriptor* field : path) text += "." + field->name();
  return text;
}

void AlterNumber(Message* message, const FieldDescriptor* field, int variant) {
  const Reflection& reflection = *message->GetReflection();
  const std::uint64_t before = field->is_repeated() ? reflection.GetRepeatedUInt64(*message, field, 0)
                                                    : reflection.GetUInt64(*message, field);
  const std::uint64_t values[] = {0, before + 1, before - 1, std::uint64_t{1} << 61, ~std::uint64_t{0}};
  if (field->is_repeated()) {
    reflection.SetRepeatedUInt64(message, field, 0, values[variant]);
  } else {
    reflection.SetUInt64(message, field, values[variant]);
  }
}

void AlterString(Message* message, const FieldDescriptor* field, int variant) {
  const Reflection& reflection = *message->GetReflection();
  const std::string before = field->is_repeated() ? reflection.GetRepeatedString(*message, field, 0)
                                                  : reflection.GetString(*message, field);
  const std::string values[] = {"", before + "1", std::string(300, 'x'), "member-0", std::string("\0:\n", 3)};
  if (field->is_repeated()) {
    reflection.SetRepeatedString(message, field, 0, values[variant]);
  } else {
    reflection.SetString(message, field, values[variant]);
  }
}

void AlterMessage(Message* message, const FieldDescriptor* field, int variant) {
  const Reflection& reflection = *message->GetReflection();
  if (!field->is_repeated()) {
    if (variant == 0) reflection.ClearField(message, field);
    if (variant == 1) reflection.MutableMessage(message, field)->Clear();
    return;
  }
  if (variant == 0) reflection.ClearField(message, field);
  if (variant == 1) reflection.MutableRepeatedMessage(message, field, 0)->Clear();
  for (int i = 0; variant == 2 && i < 100; ++i) {
    const Message& first = reflection.GetRepeatedMessage(*message, field, 0);
    reflection.AddMessage(message, field)->CopyFrom(first);
  }
}

constexpr int kVariants = 5;

void AddOne(Message* message, const FieldDescriptor* field) {
  const Reflection& reflection = *message->GetReflection();
  if (field->cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
    reflection.AddString(message, field, "member-1");
  } else {
    reflection.AddUInt64(message, field, 1);
  }
}

// Alters the field at the path; false if the message does not have it.
bool Alter(Message* message, const Path& path, int variant) {
  for (std::size_t depth = 0; depth < path.size(); ++depth) {
    const FieldDescriptor* field = path[depth];
    const Reflection& reflection = *message->GetReflection();
    const bool last = depth + 1 == path.size();
    if (field->is_repeated() && reflection.FieldSize(*message, field) == 0) {
      if (!last || field->message_type() != nullptr) return false;
      AddOne(message, field);
    }
    if (last) break;
    if (!field->is_repeated() && !reflection.HasField(*message, field)) return false;
    message = field->is_repeated() ? reflection.MutableRepeatedMessage(message, field, 0)
                                   : reflection.MutableMessage(message, field);
  }
  const FieldDescriptor* field = path.back();
  const Reflection& reflection = *message->GetReflection();
  if (field->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
    if (!field->is_repeated() && !reflection.HasField(*message, field)) return false;
    AlterMessage(message, field, variant);
  } else if (field->cpp_type() == FieldDescriptor::CPPTYPE_UINT64) {
    AlterNumber(message, field, variant);
  } else if (field->cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
    AlterString(message, field, variant);
  } else if (field->cpp_type() == FieldDescriptor::CPPTYPE_BOOL) {
    reflection.SetBool(message, field, !reflection.GetBool(*message, field));
  } else if (field->cpp_type() == FieldDescriptor::CPPTYPE_ENUM) {
    reflection.SetEnumValue(message, field, variant == 4 ? 77 : variant);
  }
  return true;
}

// Restarting one member produces messages of all kinds.
void RestartOne(SimulatedNetwork& network) {
  network.Kill(9);
  network.RunFor(3 * kSecond);
  network.Start(9);
  network.RunFor(kSecond);
}

TEST_CASE("The tables converge again after any field of one message was altered") {
  std::vector<Path> paths;
  CollectPaths(messages::MembershipMessage::descriptor(), {}, &paths);
  SimulatedNetwork network({.members = 10});
  network.StartAll(300 * kMillisecond);
  network.RunFor(5 * kSecond);
  for (const Path& path : paths) {
    bool altered_once = false;
    for (int variant = 0; variant < kVariants; ++variant) {
      CAPTURE(Describe(path), variant);
      bool altered = false;
      network.SetMutator([&](const messages::MembershipMessage& message) -> std::optional<std::string> {
        messages::MembershipMessage changed = message;
        if (altered || !Alter(&changed, path, variant)) return std::nullopt;
        altered = true;
        return changed.SerializeAsString();
      });
      RestartOne(network);
      network.SetMutator(nullptr);
      altered_once |= altered;
      REQUIRE(network.RunUntil([&] { return network.SameRecords(network.Running()); }, 20 * kSecond));
    }
    CAPTURE(Describe(path));
    CHECK(altered_once);
  }
}

TEST_CASE("The tables converge again after random bytes were altered") {
  const std::uint64_t seed = GENERATE(range(1, 21));
  CAPTURE(seed);
  const google::protobuf::LogSilencer silence;  // protobuf logs each string that is not UTF-8
  Random random(seed);
  SimulatedNetwork network({.members = 10, .seed = seed});
  network.StartAll(300 * kMillisecond);
  network.RunFor(5 * kSecond);
  network.SetMutator([&](const messages::MembershipMessage& message) -> std::optional<std::string> {
    std::string bytes = message.SerializeAsString();
    if (random.Below(20) != 0) return std::nullopt;
    bytes[random.Below(bytes.size())] = static_cast<char>(random.Next());
    return bytes;
  });
  network.RunFor(10 * kSecond);
  RestartOne(network);
  network.SetMutator(nullptr);
  REQUIRE(network.RunUntil([&] { return network.SameRecords(network.Running()); }, 30 * kSecond));
}

}  // namespace
}  // namespace lichenlug::membership_ring
