#include "consensus/checksum.h"

#include <string>

#include "consensus/value.h"

namespace lichenlug::consensus {
namespace {

// For Promise and ReadReply. The digest covers the value, but not whether one is present.
void AddAnswer(const auto& answer, std::string* fields) {
  AddField(answer.ballot().SerializeAsString(), fields);
  AddField(answer.accepted().SerializeAsString(), fields);
  AddField(std::to_string(answer.digest()) + (answer.has_value() ? "+" : "-"), fields);
  AddField(std::to_string(answer.claim()), fields);
}

void AddBody(const messages::RegisterMessage& message, std::string* fields) {
  using Message = messages::RegisterMessage;
  switch (message.body_case()) {
    case Message::kPromise:
      return AddAnswer(message.promise(), fields);
    case Message::kReadReply:
      return AddAnswer(message.read_reply(), fields);
    case Message::kAccept:
      AddField(message.accept().ballot().SerializeAsString(), fields);
      return AddField(std::to_string(message.accept().digest()), fields);
    case Message::kPrepare:
      return AddField(message.prepare().SerializeAsString(), fields);
    case Message::kAccepted:
      return AddField(message.accepted().SerializeAsString(), fields);
    case Message::kRefused:
      return AddField(message.refused().SerializeAsString(), fields);
    case Message::kRead:
      return AddField(message.read().SerializeAsString(), fields);
    case Message::BODY_NOT_SET:
      return;
  }
}

std::uint64_t Checksum(const messages::RegisterMessage& message) {
  std::string fields;
  AddField(message.register_name(), &fields);
  AddField(message.replica_id(), &fields);
  AddField(std::to_string(message.operation()), &fields);
  AddField(std::to_string(message.body_case()), &fields);
  AddBody(message, &fields);
  return Hash(fields, 0);
}

}  // namespace

void SetChecksum(messages::RegisterMessage* message) { message->set_checksum(Checksum(*message)); }

bool HasRightChecksum(const messages::RegisterMessage& message) {
  return message.checksum() == Checksum(message);
}

}  // namespace lichenlug::consensus
