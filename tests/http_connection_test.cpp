// One HTTP connection against a plain socket on loopback. Events are run one by one to force their order.
#include "net/http_connection.h"

#include <gtest/gtest.h>

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

}  // namespace
}  // namespace lichenlug
