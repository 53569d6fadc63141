// One HTTP connection against a plain socket on loopback. Events are run one by one to force their order.
#include "net/http_connection.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace lichenlug {
namespace {

using asio::ip::tcp;

// The peer half-closes the connection while a job with the largest body is being written, and goes on
// reading: the handler of the end must know whether the last byte had been written before.
TEST(HttpConnection, WrittenIsAccurateWhenThePeerHalfCloses) {
  asio::io_context io(1);
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  tcp::socket local(io), remote(io);
  local.connect(acceptor.local_endpoint());
  acceptor.accept(remote);

  const auto connection = std::make_shared<HttpConnection>(std::move(local), HttpConnection::Side::kClient);
  bool ended = false, written_at_end = false;
  HttpConnection::Events events;
  events.on_end = [&](HttpConnection::End) { ended = true, written_at_end = connection->Written(); };
  connection->SetEvents(std::move(events));
  connection->Start();
  const std::string bytes(kMaxBody + 500, 'x');
  connection->Write(bytes, nullptr);
  remote.shutdown(tcp::socket::shutdown_send);
  while (!ended) io.run_one();

  std::string received(bytes.size() + 1, ' ');
  std::error_code error;
  EXPECT_EQ(written_at_end, asio::read(remote, asio::buffer(received), error) == bytes.size());
}

// Two connected sockets, of which one is served by an HttpConnection.
struct Pair {
  explicit Pair(HttpConnection::Side side, const HttpOptions& options = {}) {
    tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    tcp::socket local(io);
    local.connect(acceptor.local_endpoint());
    acceptor.accept(remote);
    connection = std::make_shared<HttpConnection>(std::move(local), side, options);
  }

  asio::io_context io{1};
  tcp::socket remote{io};
  std::shared_ptr<HttpConnection> connection;
};

constexpr std::size_t kMoreThanTheSystemBuffers = 32u << 20;

TEST(HttpConnection, SharedBytesAreSentInOrderAndNotCopied) {
  Pair pair(HttpConnection::Side::kClient);
  pair.connection->Start();
  const auto body = std::make_shared<const std::string>(kMoreThanTheSystemBuffers, 'b');
  pair.connection->Send(std::string(kMoreThanTheSystemBuffers, 'a'));
  pair.connection->Send(*body, body);
  EXPECT_LE(pair.connection->held(), kMoreThanTheSystemBuffers);
  EXPECT_GT(pair.connection->unsent(), kMoreThanTheSystemBuffers);
  pair.connection->Send("c");
  bool drained = false;
  std::string received(2 * kMoreThanTheSystemBuffers + 1, ' ');
  HttpConnection::Events events;
  events.on_drained = [&] { drained = true; };
  pair.connection->SetEvents(std::move(events));
  asio::async_read(pair.remote, asio::buffer(received), [](std::error_code, std::size_t) {});
  while (!drained) pair.io.run_one();
  while (received.back() != 'c') pair.io.run_one();
  EXPECT_EQ(received.find_first_not_of('a'), kMoreThanTheSystemBuffers);
  EXPECT_EQ(received.find_first_not_of('b', kMoreThanTheSystemBuffers), 2 * kMoreThanTheSystemBuffers);
  EXPECT_EQ(body.use_count(), 1);
}

// A peer that reads slowly never lets the buffer become empty.
TEST(HttpConnection, SentBytesAreDroppedWhileOthersAreUnsent) {
  Pair pair(HttpConnection::Side::kServer);
  pair.connection->Start();
  const std::string block(1u << 20, 'x');
  pair.connection->Send(std::string(kMoreThanTheSystemBuffers, 'x'));
  std::string received(block.size(), ' ');
  std::size_t largest = 0;
  for (int i = 0; i < 200; ++i) {
    asio::read(pair.remote, asio::buffer(received));
    pair.io.poll();
    pair.connection->Send(block);
    largest = std::max(largest, pair.connection->held());
  }
  EXPECT_LE(largest, 3 * kMoreThanTheSystemBuffers);
}

TEST(HttpConnection, APeerThatKeepsSendingAfterTheLastResponseIsCutOff) {
  Pair pair(HttpConnection::Side::kServer, {.reading = Reading::kPaced});
  pair.connection->Start();
  bool finished = false, failed = false;
  pair.connection->Finish([&] { finished = true; });
  const std::string block(1u << 20, 'x');
  const std::function<void()> send = [&] {
    asio::async_write(pair.remote, asio::buffer(block), [&](std::error_code error, std::size_t) {
      failed = bool(error);
      if (!error) send();
    });
  };
  send();
  while (!finished || !failed) pair.io.run_one();
}

TEST(HttpConnection, HeldCountsUndeliveredBytesAndListsOfHeaders) {
  Pair pair(HttpConnection::Side::kServer);
  int inputs = 0;
  bool delivered = false;
  HttpConnection::Events events;
  events.on_input = [&] { ++inputs; };
  events.on_message = [&](const HttpMessage&) { delivered = true; };
  pair.connection->SetEvents(std::move(events));
  pair.connection->Start();
  std::string head = "POST / HTTP/1.1\r\nContent-Length: 1000\r\n";
  for (int i = 0; i < 100; ++i) head += "a:\r\n";
  asio::write(pair.remote, asio::buffer(head + "\r\n" + std::string(999, 'x')));
  while (pair.connection->held() < 999 + head.size()) pair.io.run_one();
  EXPECT_GT(inputs, 0);
  EXPECT_GE(pair.connection->held(), 999 + 100 * sizeof(HttpMessage().headers[0]));
  asio::write(pair.remote, asio::buffer("x", 1));
  while (!delivered) pair.io.run_one();
  EXPECT_EQ(pair.connection->held(), 0u);
}

}  // namespace
}  // namespace lichenlug
