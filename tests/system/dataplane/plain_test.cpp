// Requests with plain and streamed responses through a data plane on loopback.
#include <catch2/catch.hpp>
#include <thread>

#include "testbed.h"

namespace lichenlug::dataplane::test {

TEST_CASE("A request is forwarded to a runner and its response returned unchanged") {
  Testbed testbed;
  Socket client = testbed.Client();
  client.Send(Post("/safe/x?q=1", "a1", "hello", "X-Own: Kept\r\n"));
  Socket runner = testbed.runner(0).Accept();
  const Message request = runner.Read();
  CHECK(request.first_line == "POST /safe/x?q=1 HTTP/1.1");
  CHECK(request.body == "hello");
  CHECK(request.Header("X-Own") == "Kept");
  CHECK(request.Header("Lichenlug-Try-Id") == "a1");
  CHECK(request.Header("Lichenlug-Expect-Runner") == "r1");
  CHECK(std::stoi(request.Header("Lichenlug-Deadline-Ms")) <= 20000);
  runner.Send(RunnerResponse(200, "a1", "world", "X-Answer: Too\r\n"));
  const Message response = client.Read();
  CHECK(response.status() == 200);
  CHECK(response.complete);
  CHECK(response.body == "world");
  CHECK(response.Header("Lichenlug-Runner-Stamp") == "s1");
  CHECK(response.Header("X-Answer") == "Too");
  CHECK(response.Header("Keep-Alive") == "timeout=5");
}

TEST_CASE("Connections on both sides serve one request after another") {
  Testbed testbed;
  Socket client = testbed.Client();
  client.Send(Get("/safe/1", "a1") + Get("/safe/2", "a2"));
  Socket runner = testbed.runner(0).Accept();
  CHECK(runner.Read().first_line == "GET /safe/1 HTTP/1.1");
  runner.Send(RunnerResponse(200, "a1", "one"));
  CHECK(client.Read().body == "one");
  CHECK(runner.Read().first_line == "GET /safe/2 HTTP/1.1");
  runner.Send(RunnerResponse(200, "a2", "two"));
  CHECK(client.Read().body == "two");
}

// Nothing but the connection's end tells whether it is complete; a reset tells that it is not.
TEST_CASE("A plain response without a length is complete at the connection's end, and broken by a reset") {
  const std::size_t size = GENERATE(std::size_t{5}, std::size_t{2'000'000});  // the larger is not buffered
  const bool reset = GENERATE(false, true);
  Testbed testbed;
  Socket client = testbed.Client();
  client.Send(Get("/unsafe/x", "a1"));
  Socket runner = testbed.runner(0).Accept();
  runner.Read();
  runner.Send("HTTP/1.1 200 OK\r\nLichenlug-Try-Id: a1\r\nLichenlug-Runner-Stamp: s1\r\n\r\n");
  std::thread sender([&] {
    runner.Send(std::string(size, 'x'));
    reset ? runner.Reset() : runner.Close();
  });
  const Message response = client.Read();
  sender.join();
  CHECK((response.status() == 200 && response.complete) == !reset);
  if (!reset) CHECK(response.body.size() == size);
}

TEST_CASE("A stream is forwarded event by event") {
  Testbed testbed;
  Socket client = testbed.Client();
  client.Send(Post("/stream/x", "a1", "b"));
  Socket runner = testbed.runner(0).Accept();
  runner.Read();
  runner.Send(StreamHead("a1") + Chunk(Event(1, "one")));
  const Message head = client.ReadHead();
  CHECK(head.status() == 200);
  CHECK(head.Header("Content-Type") == "text/event-stream");
  CHECK(client.ReadChunk() == Event(1, "one"));
  runner.Send(Chunk("id: 2\nda"));
  runner.Send(Chunk("ta: two\n\nversions: 3"));
  CHECK(client.ReadChunk() == Event(2, "two"));
  runner.Send(Chunk("\ndata: x\n\n") + "0\r\n\r\n");
  CHECK(client.ReadChunk() == "versions: 3\ndata: x\n\n");
  CHECK(client.ReadChunk().empty());
  CHECK(client.last_chunk_seen());
}

}  // namespace lichenlug::dataplane::test
