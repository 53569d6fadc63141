// The transport on the loopback interface with real nng sockets.
#include "transport/transport.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "inbox.h"
#include "raw_socket.h"
#include "transport/push_connection.h"

namespace lichenlug::transport {
namespace {

using std::chrono::milliseconds;

messages::Envelope Numbered(std::uint64_t number, std::size_t padding = 0) {
  messages::Envelope envelope;
  envelope.mutable_consensus()->set_operation(number);
  envelope.mutable_consensus()->set_register_name(std::string(padding, 'x'));
  return envelope;
}

// A transport with its inbox.
struct Node {
  explicit Node(const std::string& address, const std::string& name = "node", std::size_t longest = 8u << 20)
      : transport({.listen_address = address,
                   .sender_name = name,
                   .sender_incarnation = 7,
                   .longest_message = longest},
                  [this](messages::Envelope envelope) { inbox.Add(std::move(envelope)); }) {}
  void Listen() {
    std::string error;
    REQUIRE(transport.Listen(&error));
  }

  Inbox inbox;  // outlives the transport that fills it
  Transport transport;
};

// Sends again and again until the condition holds, as the state machines above do.
bool SendUntil(Transport& sender, const std::string& address, Inbox& inbox, std::uint64_t number,
               milliseconds deadline) {
  const auto end = std::chrono::steady_clock::now() + deadline;
  while (std::chrono::steady_clock::now() < end) {
    sender.Send(address, Numbered(number));
    if (inbox.WaitForOperation(number, milliseconds(20))) return true;
  }
  return false;
}

TEST_CASE("two nodes exchange messages and learn the sender") {
  const std::string first_address = FreeAddress(), second_address = FreeAddress();
  Node first(first_address, "first"), second(second_address, "second");
  first.Listen();
  second.Listen();
  first.transport.Send(second_address, Numbered(1));
  REQUIRE(second.inbox.WaitForOperation(1, milliseconds(2000)));
  const messages::Envelope envelope = second.inbox.Last();
  CHECK(envelope.sender_name() == "first");
  CHECK(envelope.sender_incarnation() == 7);
  CHECK(envelope.sender_address() == first_address);
  CHECK(envelope.protocol_version() == kProtocolVersion);
  second.transport.Send(first_address, Numbered(2));
  CHECK(first.inbox.WaitForOperation(2, milliseconds(2000)));
}

TEST_CASE("a large message arrives whole") {
  const std::string address = FreeAddress();
  Node sender(FreeAddress()), receiver(address);
  receiver.Listen();
  sender.transport.Send(address, Numbered(1, 3u << 20));
  REQUIRE(receiver.inbox.WaitForOperation(1, milliseconds(5000)));
  CHECK(receiver.inbox.Last().consensus().register_name().size() == 3u << 20);
}

TEST_CASE("a message sent before the peer listens arrives soon after it does") {
  const std::string address = FreeAddress();
  Node sender(FreeAddress());
  sender.transport.Send(address, Numbered(1));
  CHECK_FALSE(sender.inbox.WaitForOperation(1, milliseconds(300)));  // dials are refused meanwhile
  Node receiver(address);
  receiver.Listen();
  CHECK(receiver.inbox.WaitForOperation(1, milliseconds(400)));
}

TEST_CASE("a restarted peer at the same address is reached again") {
  const std::string address = FreeAddress();
  Node sender(FreeAddress());
  sender.Listen();
  {
    Node receiver(address);
    receiver.Listen();
    REQUIRE(SendUntil(sender.transport, address, receiver.inbox, 1, milliseconds(2000)));
  }
  for (int i = 0; i < 10; ++i) sender.transport.Send(address, Numbered(2));
  Node returned(address);
  returned.Listen();
  CHECK(SendUntil(sender.transport, address, returned.inbox, 3, milliseconds(400)));
}

TEST_CASE("a connection that was lost is not used again, though its peer is back") {
  const std::string address = FreeAddress();
  const auto connection = PushConnection::Open(address);
  REQUIRE(connection != nullptr);
  const auto wait_until = [&](bool connected) {
    const auto end = std::chrono::steady_clock::now() + milliseconds(2000);
    while (connection->connected() != connected && std::chrono::steady_clock::now() < end)
      std::this_thread::sleep_for(milliseconds(5));
    return connection->connected() == connected;
  };
  {
    Node receiver(address);
    receiver.Listen();
    REQUIRE(wait_until(true));
  }
  REQUIRE(wait_until(false));
  Node returned(address);
  returned.Listen();
  std::this_thread::sleep_for(milliseconds(600));  // nng has dialled again by now
  CHECK_FALSE(connection->connected());
  CHECK(connection->Send(Numbered(1)) == PushConnection::SendResult::kLost);
}

TEST_CASE("a peer that never listens costs messages, not time") {
  Node sender(FreeAddress());
  sender.Listen();
  const std::string nobody = FreeAddress();
  const auto start = std::chrono::steady_clock::now();
  for (std::uint64_t i = 0; i < 1000; ++i) sender.transport.Send(nobody, Numbered(i));
  CHECK(std::chrono::steady_clock::now() - start < milliseconds(1000));
  const auto statistics = sender.transport.statistics();
  CHECK(statistics.dropped >= 700);  // two buffers of at most 64, and no more than nng rounds them up to
  CHECK(statistics.sent + statistics.dropped == 1000);
}

// It never answers nng's handshake, so it counts as not reached: each wait for it is twice the one before.
TEST_CASE("a peer that accepts and never reads costs messages, not time, and is dialled anew, ever later") {
  RawListener mute;
  Node sender(FreeAddress());
  sender.Listen();
  const auto start = std::chrono::steady_clock::now();
  std::uint64_t number = 0;
  Inbox nothing;
  while (sender.transport.statistics().renewals == 0 &&
         std::chrono::steady_clock::now() - start < milliseconds(4000)) {
    sender.transport.Send(mute.address(), Numbered(++number));
    nothing.WaitForOperation(1, milliseconds(50));
  }
  const auto taken = std::chrono::steady_clock::now() - start;
  CHECK(sender.transport.statistics().renewals == 1);
  CHECK(taken > milliseconds(200));
  CHECK(taken < milliseconds(1000));
  while (std::chrono::steady_clock::now() - start < milliseconds(3000)) {
    sender.transport.Send(mute.address(), Numbered(++number));
    nothing.WaitForOperation(1, milliseconds(50));
  }
  CHECK(sender.transport.statistics().renewals >= 2);
  CHECK(sender.transport.statistics().renewals <= 5);
}

TEST_CASE("a peer that only listens to us answers enough to keep the connection") {
  const std::string address = FreeAddress();
  Node sender(FreeAddress()), receiver(address);
  sender.Listen();
  receiver.Listen();
  std::uint64_t number = 0;
  const auto start = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - start < milliseconds(3000)) {
    sender.transport.Send(address, Numbered(++number));
    receiver.inbox.WaitForOperation(number, milliseconds(100));
    receiver.inbox.WaitForOperation(0, milliseconds(100));  // never comes
  }
  CHECK(sender.transport.statistics().renewals == 0);
  CHECK(sender.transport.statistics().received == 0);  // answers without a body are not given on
  CHECK(receiver.inbox.size() == number);
}

TEST_CASE("nonsense from a raw socket harms nothing") {
  const std::string address = FreeAddress();
  Node sender(FreeAddress()), receiver(address);
  receiver.Listen();
  const std::string handshake("\0SP\0\0\x50\0\0", 8);  // of a push socket
  RawClient(address).Write("GET / HTTP/1.1\r\n\r\n");
  RawClient(address).Write(std::string(4096, '\xff'));
  RawClient(address).Write(handshake + std::string(8, '\xff'));  // a length beyond all bounds
  RawClient framed(address);
  framed.Write(handshake + std::string("\0\0\0\0\0\0\0\x05", 8) + "\xff\xff\xff\xff\xff");
  RawClient empty(address);
  empty.Write(handshake + std::string(8, '\0'));
  CHECK(SendUntil(sender.transport, address, receiver.inbox, 1, milliseconds(2000)));
  CHECK(WaitFor([&] { return receiver.transport.statistics().unreadable >= 1; }, milliseconds(2000)));
  CHECK(WaitFor([&] { return receiver.transport.statistics().other_versions >= 1; }, milliseconds(2000)));
}

TEST_CASE("an envelope of another protocol version, or one without a sender, is counted and dropped") {
  const std::string address = FreeAddress();
  Node receiver(address);
  receiver.Listen();
  const std::string handshake("\0SP\0\0\x50\0\0", 8);
  const auto frame = [](const messages::Envelope& envelope) {
    const std::string body = envelope.SerializeAsString();
    return std::string(7, '\0') + static_cast<char>(body.size()) + body;
  };
  messages::Envelope other = Numbered(5);
  other.set_protocol_version(kProtocolVersion + 1);
  other.set_sender_name("other");
  other.set_sender_address("127.0.0.1:9");
  messages::Envelope nameless = Numbered(6);
  nameless.set_protocol_version(kProtocolVersion);
  messages::Envelope needs_resolver = other;
  needs_resolver.set_protocol_version(kProtocolVersion);
  needs_resolver.set_sender_address("example:9");
  RawClient client(address);
  client.Write(handshake + frame(other) + frame(nameless) + frame(needs_resolver));
  CHECK(WaitFor([&] { return receiver.transport.statistics().unreadable == 2; }, milliseconds(2000)));
  CHECK(receiver.transport.statistics().other_versions == 1);
  CHECK(receiver.inbox.size() == 0);
}

TEST_CASE("an oversized message is refused and later ones arrive") {
  const std::string address = FreeAddress();
  Node sender(FreeAddress()), receiver(address, "receiver", 1000);
  receiver.Listen();
  sender.transport.Send(address, Numbered(1, 5000));
  CHECK(SendUntil(sender.transport, address, receiver.inbox, 2, milliseconds(2000)));
  CHECK_FALSE(receiver.inbox.WaitForOperation(1, milliseconds(50)));
}

TEST_CASE("an address in use is an error that says so") {
  const std::string address = FreeAddress();
  Node first(address), second(address);
  first.Listen();
  std::string error;
  CHECK_FALSE(second.transport.Listen(&error));
  CHECK(error.find(address) != std::string::npos);
  CHECK(error.find('\n') == std::string::npos);
}

TEST_CASE("sockets are bounded and a forgotten peer's is closed") {
  Inbox inbox;
  Transport sender({.listen_address = FreeAddress(), .sender_name = "sender", .most_peers = 3},
                   [&](messages::Envelope envelope) { inbox.Add(std::move(envelope)); });
  std::string last;
  for (int i = 0; i < 10; ++i) sender.Send(last = FreeAddress(), Numbered(1));
  CHECK(sender.statistics().peers == 3);
  sender.Forget(last);
  CHECK(sender.statistics().peers == 2);
}

TEST_CASE("closing takes no time, connected or not") {
  const std::string address = FreeAddress();
  Node receiver(address);
  receiver.Listen();
  auto sender = std::make_unique<Node>(FreeAddress());
  sender->Listen();
  REQUIRE(SendUntil(sender->transport, address, receiver.inbox, 1, milliseconds(2000)));
  sender->transport.Send(FreeAddress(), Numbered(2));
  const auto start = std::chrono::steady_clock::now();
  sender.reset();
  CHECK(std::chrono::steady_clock::now() - start < milliseconds(300));
}

}  // namespace
}  // namespace lichenlug::transport
