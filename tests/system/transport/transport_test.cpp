// Tests of the transport with real sockets on the loopback interface.
#include "transport/transport.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "inbox.h"
#include "loop_thread.h"
#include "raw_socket.h"
#include "transport/peer_connection.h"

namespace lichenlug::transport {
namespace {

using std::chrono::milliseconds;

messages::Envelope NumberedEnvelope(std::uint64_t number, std::size_t padding = 0) {
  messages::Envelope envelope;
  envelope.mutable_consensus()->set_operation(number);
  envelope.mutable_consensus()->set_register_name(std::string(padding, 'x'));
  return envelope;
}

// A transport with an inbox, on its own event loop.
class Node {
 public:
  explicit Node(const std::string& address, const std::string& name = "node",
                std::size_t max_bytes = 8u << 20, std::size_t max_peers = 256,
                std::size_t max_incoming = 1024, std::size_t max_unfinished = 32u << 20) {
    const Transport::Settings settings{.listen_address = address,
                                       .sender_name = name,
                                       .sender_incarnation = 7,
                                       .max_message_bytes = max_bytes,
                                       .max_peers = max_peers,
                                       .max_incoming_connections = max_incoming,
                                       .max_unfinished_bytes = max_unfinished};
    loop_.Run([&] {
      transport_ = std::make_unique<Transport>(
          loop_.base(), settings, [this](messages::Envelope envelope) { inbox.Add(std::move(envelope)); });
    });
  }
  ~Node() {
    loop_.Run([&] { transport_.reset(); });
  }

  bool TryListen(std::string* error) {
    bool listens = false;
    loop_.Run([&] { listens = transport_->Listen(error); });
    return listens;
  }
  void Listen() {
    std::string error;
    REQUIRE(TryListen(&error));
  }
  void Send(const std::string& address, const messages::Envelope& envelope) {
    loop_.Run([&] { transport_->Send(address, envelope); });
  }
  void Forget(const std::string& address) {
    loop_.Run([&] { transport_->Forget(address); });
  }
  Transport::Statistics statistics() {
    Transport::Statistics statistics;
    loop_.Run([&] { statistics = transport_->statistics(); });
    return statistics;
  }

  Inbox inbox;

 private:
  LoopThread loop_;
  std::unique_ptr<Transport> transport_;
};

// Repeats the message until it is received, as the state machines above the transport do.
bool SendUntil(Node& sender, const std::string& address, Inbox& inbox, std::uint64_t number,
               milliseconds deadline) {
  const auto end = std::chrono::steady_clock::now() + deadline;
  while (std::chrono::steady_clock::now() < end) {
    sender.Send(address, NumberedEnvelope(number));
    if (inbox.WaitForOperation(number, milliseconds(20))) return true;
  }
  return false;
}

TEST_CASE("Two nodes exchange messages that name their sender") {
  const std::string first_address = FreeAddress(), second_address = FreeAddress();
  Node first(first_address, "first"), second(second_address, "second");
  first.Listen();
  second.Listen();
  first.Send(second_address, NumberedEnvelope(1));
  REQUIRE(second.inbox.WaitForOperation(1, milliseconds(2000)));
  const messages::Envelope envelope = second.inbox.Last();
  CHECK(envelope.sender_name() == "first");
  CHECK(envelope.sender_incarnation() == 7);
  CHECK(envelope.sender_address() == first_address);
  CHECK(envelope.protocol_version() == kProtocolVersion);
  second.Send(first_address, NumberedEnvelope(2));
  CHECK(first.inbox.WaitForOperation(2, milliseconds(2000)));
}

TEST_CASE("A large message arrives complete") {
  const std::string address = FreeAddress();
  Node sender(FreeAddress()), receiver(address);
  receiver.Listen();
  sender.Send(address, NumberedEnvelope(1, 3u << 20));
  REQUIRE(receiver.inbox.WaitForOperation(1, milliseconds(5000)));
  CHECK(receiver.inbox.Last().consensus().register_name().size() == 3u << 20);
}

TEST_CASE("A message sent before the peer listens arrives soon after it starts listening") {
  const std::string address = FreeAddress();
  Node sender(FreeAddress());
  sender.Send(address, NumberedEnvelope(1));
  CHECK_FALSE(
      sender.inbox.WaitForOperation(1, milliseconds(300)));  // connection attempts are refused meanwhile
  Node receiver(address);
  receiver.Listen();
  CHECK(receiver.inbox.WaitForOperation(1, milliseconds(400)));
}

TEST_CASE("A restarted peer at the same address is reconnected") {
  const std::string address = FreeAddress();
  Node sender(FreeAddress());
  sender.Listen();
  {
    Node receiver(address);
    receiver.Listen();
    REQUIRE(SendUntil(sender, address, receiver.inbox, 1, milliseconds(2000)));
  }
  for (int i = 0; i < 10; ++i) sender.Send(address, NumberedEnvelope(2));
  Node returned(address);
  returned.Listen();
  CHECK(SendUntil(sender, address, returned.inbox, 3, milliseconds(400)));
}

TEST_CASE("A lost connection is not reused after its peer has restarted") {
  const std::string address = FreeAddress();
  LoopThread loop;
  std::unique_ptr<PeerConnection> connection;
  loop.Run([&] { connection = PeerConnection::Open(loop.base(), address); });
  REQUIRE(connection != nullptr);
  const auto connected = [&] {
    bool now = false;
    loop.Run([&] { now = connection->connected(); });
    return now;
  };
  {
    Node receiver(address);
    receiver.Listen();
    REQUIRE(WaitFor([&] { return connected(); }, milliseconds(2000)));
  }
  REQUIRE(WaitFor([&] { return !connected(); }, milliseconds(2000)));
  Node returned(address);
  returned.Listen();
  CHECK_FALSE(
      WaitFor([&] { return connected(); }, milliseconds(600)));  // longer than the maximum reconnect delay
  loop.Run([&] {
    CHECK(connection->Send(NumberedEnvelope(1)) == PeerConnection::SendResult::kLost);
    connection.reset();
  });
}

TEST_CASE("Sending to a peer that never listens drops messages and does not block") {
  Node sender(FreeAddress());
  sender.Listen();
  const std::string nobody = FreeAddress();
  const auto start = std::chrono::steady_clock::now();
  for (std::uint64_t i = 0; i < 1000; ++i) sender.Send(nobody, NumberedEnvelope(i));
  CHECK(std::chrono::steady_clock::now() - start < milliseconds(1000));
  const auto statistics = sender.statistics();
  CHECK(statistics.dropped >= 700);  // two connections queue at most 64 each; the rest is margin
  CHECK(statistics.sent + statistics.dropped == 1000);
}

// The kernel accepts the connection, so the peer counts as reached: only the missing acknowledgements reveal
// that it does not read.
TEST_CASE("The connection to a peer that accepts and never reads is reopened") {
  RawListener mute;
  Node sender(FreeAddress());
  sender.Listen();
  const auto start = std::chrono::steady_clock::now();
  std::uint64_t number = 0;
  Inbox nothing;
  while (sender.statistics().reopens == 0 && std::chrono::steady_clock::now() - start < milliseconds(4000)) {
    sender.Send(mute.address(), NumberedEnvelope(++number));
    nothing.WaitForOperation(1, milliseconds(50));
  }
  const auto taken = std::chrono::steady_clock::now() - start;
  CHECK(sender.statistics().reopens == 1);
  CHECK(taken > milliseconds(1000));
  CHECK(taken < milliseconds(3000));
  while (std::chrono::steady_clock::now() - start < milliseconds(5500)) {
    sender.Send(mute.address(), NumberedEnvelope(++number));
    nothing.WaitForOperation(1, milliseconds(50));
  }
  CHECK(sender.statistics().reopens >= 2);
  CHECK(sender.statistics().reopens <= 5);
}

TEST_CASE("A peer that only receives sends enough acknowledgements to keep the connection") {
  const std::string address = FreeAddress();
  Node sender(FreeAddress()), receiver(address);
  sender.Listen();
  receiver.Listen();
  std::uint64_t number = 0;
  const auto start = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - start < milliseconds(3000)) {
    sender.Send(address, NumberedEnvelope(++number));
    receiver.inbox.WaitForOperation(number, milliseconds(100));
    receiver.inbox.WaitForOperation(0, milliseconds(100));  // never received
  }
  CHECK(sender.statistics().reopens == 0);
  CHECK(sender.statistics().received == 0);  // acknowledgements are not passed on
  CHECK(receiver.inbox.size() == number);
}

TEST_CASE("Malformed bytes from a raw socket do not disturb other connections") {
  const std::string address = FreeAddress();
  Node sender(FreeAddress()), receiver(address);
  receiver.Listen();
  RawClient(address).Write("GET / HTTP/1.1\r\n\r\n");
  RawClient(address).Write(std::string(4096, '\xff'));
  RawClient(address).Write(std::string(8, '\xff'));  // a length above the limit
  RawClient framed(address);
  framed.Write(std::string("\0\0\0\x05", 4) + "\xff\xff\xff\xff\xff");
  RawClient empty(address);
  empty.Write(std::string(4, '\0'));
  CHECK(SendUntil(sender, address, receiver.inbox, 1, milliseconds(2000)));
  CHECK(WaitFor([&] { return receiver.statistics().unreadable >= 1; }, milliseconds(2000)));
  CHECK(WaitFor([&] { return receiver.statistics().other_versions >= 1; }, milliseconds(2000)));
}

TEST_CASE("Envelopes of another protocol version or without a sender are counted and dropped") {
  const std::string address = FreeAddress();
  Node receiver(address);
  receiver.Listen();
  const auto frame = [](const messages::Envelope& envelope) {
    const std::string body = envelope.SerializeAsString();
    return std::string(3, '\0') + static_cast<char>(body.size()) + body;
  };
  messages::Envelope other = NumberedEnvelope(5);
  other.set_protocol_version(kProtocolVersion + 1);
  other.set_sender_name("other");
  other.set_sender_address("127.0.0.1:9");
  messages::Envelope nameless = NumberedEnvelope(6);
  nameless.set_protocol_version(kProtocolVersion);
  messages::Envelope needs_resolver = other;
  needs_resolver.set_protocol_version(kProtocolVersion);
  needs_resolver.set_sender_address("example:9");
  RawClient client(address);
  client.Write(frame(other) + frame(nameless) + frame(needs_resolver));
  CHECK(WaitFor([&] { return receiver.statistics().unreadable == 2; }, milliseconds(2000)));
  CHECK(receiver.statistics().other_versions == 1);
  CHECK(receiver.inbox.size() == 0);
}

TEST_CASE("An oversized message is rejected and later ones arrive") {
  const std::string address = FreeAddress();
  Node sender(FreeAddress()), receiver(address, "receiver", 1000);
  receiver.Listen();
  sender.Send(address, NumberedEnvelope(1, 5000));
  CHECK(SendUntil(sender, address, receiver.inbox, 2, milliseconds(2000)));
  CHECK_FALSE(receiver.inbox.WaitForOperation(1, milliseconds(50)));
}

// A frame of 1 MiB of which the last byte is missing.
std::string UnfinishedFrame() {
  return std::string("\x00\x10\x00\x00", 4) + std::string((1u << 20) - 1, 'x');
}

TEST_CASE("Messages that do not end are bounded in sum, and others arrive") {
  const std::string address = FreeAddress();
  Node sender(FreeAddress()), receiver(address, "receiver", 8u << 20, 256, 1024, 3u << 20);
  receiver.Listen();
  std::vector<std::unique_ptr<RawClient>> stalled;
  for (int i = 0; i < 8; ++i) {
    stalled.push_back(std::make_unique<RawClient>(address));
    stalled.back()->Write(UnfinishedFrame());
  }
  int closed = 0;
  for (const auto& client : stalled) closed += client->IsClosedWithin(milliseconds(3000)) ? 1 : 0;
  CHECK(closed >= 5);
  REQUIRE(SendUntil(sender, address, receiver.inbox, 1, milliseconds(5000)));
}

TEST_CASE("Connections that say nothing make room for peers") {
  const std::string address = FreeAddress();
  Node sender(FreeAddress()), receiver(address, "receiver", 8u << 20, 256, 4);
  receiver.Listen();
  std::vector<std::unique_ptr<RawClient>> silent;
  for (int i = 0; i < 8; ++i) silent.push_back(std::make_unique<RawClient>(address));
  REQUIRE(SendUntil(sender, address, receiver.inbox, 1, milliseconds(5000)));
  for (int i = 0; i < 8; ++i) silent.push_back(std::make_unique<RawClient>(address));
  REQUIRE(SendUntil(sender, address, receiver.inbox, 2, milliseconds(5000)));
}

TEST_CASE("Listening on an address in use fails with an error that names it") {
  const std::string address = FreeAddress();
  Node first(address), second(address);
  first.Listen();
  std::string error;
  CHECK_FALSE(second.TryListen(&error));
  CHECK(error.find(address) != std::string::npos);
  CHECK(error.find('\n') == std::string::npos);
}

TEST_CASE("The number of sockets is limited, and that of a forgotten peer is closed") {
  Node sender(FreeAddress(), "sender", 8u << 20, 3);
  std::string last;
  for (int i = 0; i < 10; ++i) sender.Send(last = FreeAddress(), NumberedEnvelope(1));
  CHECK(sender.statistics().peers == 3);
  sender.Forget(last);
  CHECK(sender.statistics().peers == 2);
}

TEST_CASE("Closing does not block, connected or not") {
  const std::string address = FreeAddress();
  Node receiver(address);
  receiver.Listen();
  auto sender = std::make_unique<Node>(FreeAddress());
  sender->Listen();
  REQUIRE(SendUntil(*sender, address, receiver.inbox, 1, milliseconds(2000)));
  sender->Send(FreeAddress(), NumberedEnvelope(2));
  const auto start = std::chrono::steady_clock::now();
  sender.reset();
  CHECK(std::chrono::steady_clock::now() - start < milliseconds(300));
}

}  // namespace
}  // namespace lichenlug::transport
