// Streams that break, are resumed, stall or end early.
#include <catch2/catch.hpp>

#include "testbed.h"

namespace lichenlug::dataplane::test {
namespace {

const std::vector<RunnerSpec> kTwoRunners = {{.id = "r1", .models = {}}, {.id = "r2", .models = {}}};
constexpr std::string_view kNoLength;

// What a client has received of a stream after its head.
struct ReceivedStream {
  std::string body;
  bool complete = false;
};

ReceivedStream ReadStream(Socket* client) {
  ReceivedStream received;
  for (std::string chunk; !(chunk = client->ReadChunk()).empty();) received.body += chunk;
  received.complete = client->last_chunk_seen();
  return received;
}

}  // namespace

TEST_CASE("A resumable stream is continued by another runner within one response") {
  Testbed testbed(kTwoRunners);
  Socket client = testbed.Client();
  client.Send(Post("/resume/x", "a1", "b", "Last-Event-Id: 4\r\n"));
  auto [runner, runner_index] = testbed.AcceptAny();
  CHECK(runner.Read().Header("Last-Event-Id") == "4");
  runner.Send(StreamHead("a1", "first") + Chunk(Event(5, "five") + Event(6, "six") + "id: 7\ndata: sev"));
  const Message head = client.ReadHead();
  CHECK(head.Header("Lichenlug-Runner-Stamp") == "first");
  CHECK(client.ReadChunk() == Event(5, "five") + Event(6, "six"));
  runner.Reset();
  Socket second = testbed.runner(1 - runner_index).Accept();
  const Message request = second.Read();
  CHECK(request.Header("Last-Event-Id") == "6");
  CHECK(request.Header("Lichenlug-Try-Id") == "a1");
  CHECK(request.body == "b");
  // The second runner repeats an event that was already forwarded.
  second.Send(StreamHead("a1", "second") + Chunk(Event(6, "six") + Event(7, "seven")) + "0\r\n\r\n");
  CHECK(client.ReadChunk() == Event(7, "seven"));
  CHECK(client.ReadChunk().empty());
  CHECK(client.last_chunk_seen());
}

TEST_CASE("A stream that cannot continue is truncated and never looks complete") {
  const std::string target = GENERATE("/stream/x", "/resume/x");
  Testbed testbed(kTwoRunners);
  Socket client = testbed.Client();
  client.Send(Post(target, "a1", "b"));
  auto [runner, runner_index] = testbed.AcceptAny();
  runner.Read();
  runner.Send(StreamHead("a1") + Chunk(Event(1, "one")));
  CHECK(client.ReadHead().status() == 200);
  CHECK(client.ReadChunk() == Event(1, "one"));
  runner.Close();
  if (target == "/resume/x") {  // the resumed attempt fails, and no tries are left
    Socket second = testbed.runner(1 - runner_index).Accept();
    second.Read();
    second.Send(RunnerResponse(500, "a1", "no", "Connection: close\r\n"));
  }
  CHECK(client.ReadChunk().empty());
  CHECK_FALSE(client.last_chunk_seen());
}

TEST_CASE("A stream that breaks before its first event is retried only if the route allows it") {
  Testbed testbed(kTwoRunners);
  Socket client = testbed.Client();
  const bool resumable = GENERATE(true, false);
  client.Send(Post(resumable ? "/resume/x" : "/stream/x", "a1", "b"));
  auto [runner, runner_index] = testbed.AcceptAny();
  runner.Read();
  runner.Send(StreamHead("a1", "first") + Chunk(": a comment\n\nid: 1\ndata: on"));
  runner.Close();
  if (!resumable) {
    CHECK(client.Read().status() == 502);
    return;
  }
  Socket second = testbed.runner(1 - runner_index).Accept();
  CHECK(second.Read().Header("Last-Event-Id").empty());
  second.Send(StreamHead("a1", "second") + Chunk(Event(1, "one")) + "0\r\n\r\n");
  const Message response = client.Read();
  CHECK(response.Header("Lichenlug-Runner-Stamp") == "second");
  CHECK(response.complete);
  CHECK(response.body == Event(1, "one"));
}

// Guards against review/1: such a stream ended as complete, with half of an event.
TEST_CASE("A stream without a length that ends within an event is resumed or truncated") {
  const std::string target = GENERATE("/stream/x", "/resume/x");
  const std::string part = GENERATE("id: 2\nda", "id: 2\ndata: two\n", "id", ": comm");
  Testbed testbed(kTwoRunners);
  Socket client = testbed.Client();
  client.Send(Post(target, "a1", "b"));
  auto [runner, runner_index] = testbed.AcceptAny();
  runner.Read();
  runner.Send(StreamHeadWith(kNoLength, "a1") + Event(1, "one") + part);
  CHECK(client.ReadHead().status() == 200);
  CHECK(client.ReadChunk() == Event(1, "one"));
  runner.Close();
  const bool resumable = target == "/resume/x";
  if (resumable) {
    Socket second = testbed.runner(1 - runner_index).Accept();
    CHECK(second.Read().Header("Last-Event-Id") == "1");
    second.Send(StreamHeadWith(kNoLength, "a1") + Event(2, "two"));
    second.Close();
  }
  const ReceivedStream rest = ReadStream(&client);
  CHECK(rest.body == (resumable ? Event(2, "two") : ""));
  CHECK(rest.complete == resumable);
}

// Guards against review/1 on a resumed stream: the last attempt's half event ended it as complete, too.
TEST_CASE("A resumed stream without a length that ends within an event is truncated if no try is left") {
  Testbed testbed(kTwoRunners);
  Socket client = testbed.Client();
  client.Send(Post("/resume/x", "a1", "b"));
  auto [runner, runner_index] = testbed.AcceptAny();
  runner.Read();
  runner.Send(StreamHead("a1") + Chunk(Event(1, "one")));
  CHECK(client.ReadHead().status() == 200);
  runner.Close();
  Socket second = testbed.runner(1 - runner_index).Accept();
  second.Read();
  second.Send(StreamHeadWith(kNoLength, "a1") + Event(2, "two") + "id: 3\nda");
  second.Close();
  const ReceivedStream received = ReadStream(&client);
  CHECK(received.body == Event(1, "one") + Event(2, "two"));
  CHECK_FALSE(received.complete);
}

// Guards against review/1 before the first event: an empty stream was forwarded as complete.
TEST_CASE("A stream without a length that ends before its first event is retried if the route allows it") {
  const bool resumable = GENERATE(true, false);
  const std::string part = GENERATE("", ": a comment\n\n", "id: 1\nda");
  Testbed testbed(kTwoRunners);
  Socket client = testbed.Client();
  client.Send(Post(resumable ? "/resume/x" : "/stream/x", "a1", "b"));
  auto [runner, runner_index] = testbed.AcceptAny();
  runner.Read();
  runner.Send(StreamHeadWith(kNoLength, "a1", "first") + part);
  runner.Close();
  if (!resumable) {
    CHECK(client.Read().status() == 502);
    return;
  }
  Socket second = testbed.runner(1 - runner_index).Accept();
  CHECK(second.Read().Header("Last-Event-Id").empty());
  second.Send(StreamHead("a1", "second") + Chunk(Event(1, "one")) + "0\r\n\r\n");
  const Message response = client.Read();
  CHECK(response.Header("Lichenlug-Runner-Stamp") == "second");
  CHECK(response.complete);
  CHECK(response.body == Event(1, "one"));
}

// A runner that fails between two events looks like one that has finished, if nothing frames its stream.
TEST_CASE("A stream is complete only if its framing or, without any, its last event says so") {
  struct Case {
    std::string framing, body;
    bool complete;
  };
  const std::string both = Event(1, "one") + Event(2, "two"), one = Event(1, "one");
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string length = "Content-Length: " + std::to_string(both.size()) + "\r\n";
  const Case test_case = GENERATE_COPY(
      Case{chunked, Chunk(both) + "0\r\n\r\n", true}, Case{chunked, Chunk(both), false},
      Case{chunked, Chunk(one + "id: 2"), false}, Case{length, both, true}, Case{length, one, false},
      Case{length, one + "id: 2", false}, Case{std::string(kNoLength), both, true},
      Case{std::string(kNoLength), both + ": end\n", true}, Case{std::string(kNoLength), one, true},
      Case{std::string(kNoLength), one + "id: 2", false});
  Testbed testbed;
  Socket client = testbed.Client();
  client.Send(Post("/stream/x", "a1", "b"));
  Socket runner = testbed.runner(0).Accept();
  runner.Read();
  runner.Send(StreamHeadWith(test_case.framing, "a1") + test_case.body);
  runner.Close();
  CHECK(client.ReadHead().status() == 200);
  CHECK(ReadStream(&client).complete == test_case.complete);
}

TEST_CASE("A stream without a length that is reset between two events is truncated") {
  Testbed testbed;
  Socket client = testbed.Client();
  client.Send(Post("/stream/x", "a1", "b"));
  Socket runner = testbed.runner(0).Accept();
  runner.Read();
  runner.Send(StreamHeadWith(kNoLength, "a1") + Event(1, "one"));
  CHECK(client.ReadHead().status() == 200);
  CHECK(client.ReadChunk() == Event(1, "one"));
  runner.Reset();
  CHECK_FALSE(ReadStream(&client).complete);
}

TEST_CASE("A stream without events or with an incomplete last event is forwarded as the runner sent it") {
  const std::string body = GENERATE(std::string(), std::string(": end\n\n"), Event(1, "one") + "data: rest");
  Testbed testbed;
  Socket client = testbed.Client();
  client.Send(Post("/stream/x", "a1", "b"));
  Socket runner = testbed.runner(0).Accept();
  runner.Read();
  runner.Send(StreamHead("a1") + (body.empty() ? "" : Chunk(body)) + "0\r\n\r\n");
  const Message response = client.Read();
  CHECK(response.status() == 200);
  CHECK(response.complete);
  CHECK(response.body == body);
}

TEST_CASE("A plain error response to a stream request is forwarded") {
  Testbed testbed;
  Socket client = testbed.Client();
  client.Send(Post("/stream/x", "a1", "b"));
  Socket runner = testbed.runner(0).Accept();
  runner.Read();
  runner.Send(RunnerResponse(500, "a1", "no"));
  const Message response = client.Read();
  CHECK(response.status() == 500);
  CHECK(response.body == "no");
}

TEST_CASE("A client that does not read slows down its runner and finally receives all bytes") {
  Testbed testbed;
  Socket client = testbed.Client();
  client.Send(Post("/stream/x", "a1", "b"));
  Socket runner = testbed.runner(0).Accept();
  runner.Read();
  runner.Send(StreamHead("a1"));
  const std::string text(100'000, 'x');
  int sent = 0;
  while (sent < 1000 && runner.CanSend(200)) runner.Send(Chunk(Event(++sent, text)));
  CHECK(sent > 1);
  CHECK(sent < 1000);  // the system buffers some megabytes
  std::string received;
  CHECK(client.ReadHead().status() == 200);
  const std::size_t all = static_cast<std::size_t>(sent) * Event(1, text).size();
  while (received.size() < all) received += client.ReadChunk();
  runner.Send("0\r\n\r\n");
  CHECK(client.ReadChunk().empty());
  CHECK(client.last_chunk_seen());
  std::string expected;
  for (int i = 1; i <= sent; ++i) expected += Event(i, text);
  CHECK(received == expected);
}

TEST_CASE("At its deadline a stream that has begun is truncated") {
  Testbed testbed;
  Socket client = testbed.Client();
  client.Send(Post("/stream/x", "a1", "b", "Lichenlug-Deadline-Ms: 200\r\n"));
  Socket runner = testbed.runner(0).Accept();
  runner.Read();
  runner.Send(StreamHead("a1") + Chunk(Event(1, "one")));
  CHECK(client.ReadHead().status() == 200);
  CHECK(client.ReadChunk() == Event(1, "one"));
  CHECK(client.ReadChunk().empty());
  CHECK_FALSE(client.last_chunk_seen());
  CHECK(runner.AtEnd());
}

TEST_CASE("When a client resets a stream, the stream at the runner is cancelled") {
  Testbed testbed;
  Socket client = testbed.Client();
  client.Send(Post("/resume/x", "a1", "b"));
  Socket runner = testbed.runner(0).Accept();
  runner.Read();
  runner.Send(StreamHead("a1") + Chunk(Event(1, "one")));
  CHECK(client.ReadHead().status() == 200);
  client.Reset();
  CHECK(runner.AtEnd());
}

TEST_CASE("Usage counts a request once it has begun to run") {
  Testbed testbed;
  Socket client = testbed.Client();
  client.Send(Get("/key/x", "a1", "Authorization: Bearer k1\r\n"));
  Socket runner = testbed.runner(0).Accept();
  runner.Read();
  runner.Send(RunnerResponse(200, "a1", "one"));
  client.Read();
  CHECK(testbed.AwaitReport([](const Report& report) {
    return report.usage.size() == 1 && report.usage.begin()->second.at("t1") == 1 && report.served == 1;
  }));
}

}  // namespace lichenlug::dataplane::test
