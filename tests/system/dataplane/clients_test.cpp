// Requests of clients: which are refused, and which parts of them are forwarded to runners.
#include <catch2/catch.hpp>
#include <thread>

#include "testbed.h"

namespace lichenlug::dataplane::test {
namespace {

// Sends `bytes` and expects a refusal with a one-line body and no connection to a runner.
void CheckRefused(Testbed* testbed, const std::string& bytes, int status, bool closes) {
  Socket client = testbed->Client();
  client.Send(bytes);
  const Message response = client.Read();
  CHECK(response.status() == status);
  CHECK(response.complete);
  CHECK(response.body.size() > 1);
  CHECK(response.body.find('\n') == response.body.size() - 1);
  CHECK((response.Header("Connection") == "close") == closes);
  if (closes) {
    client.EndSending();
    CHECK(client.AtEnd());
  }
  CHECK_FALSE(testbed->runner(0).WaitForConnection(0));
}

}  // namespace

TEST_CASE("Without a configuration a request is refused with a short Retry-After") {
  Testbed testbed({{.id = "r1", .models = {}}}, {}, /*install=*/false);
  Socket client = testbed.Client();
  client.Send(Get("/safe/x", "a1"));
  const Message response = client.Read();
  CHECK(response.status() == 503);
  CHECK(response.Header("Retry-After") == "0.200");
}

TEST_CASE("Just after the start a request waits for the configuration and is then served") {
  Testbed testbed({{.id = "r1", .models = {}}}, {}, /*install=*/false, 8 * kSecond, 20 * kSecond);
  Socket client = testbed.Client();
  client.Send(Get("/safe/x", "a1"));
  REQUIRE(testbed.AwaitReport([](const Report& report) { return report.requests == 1; }));
  testbed.Install(DefaultConfiguration());
  Socket runner = testbed.runner(0).Accept();
  CHECK(runner.Read().Header("Lichenlug-Try-Id") == "a1");
  runner.Send(RunnerResponse(200, "a1", "hello"));
  CHECK(client.Read().status() == 200);
}

TEST_CASE("A request is refused if no configuration arrives while it waits") {
  Testbed testbed({{.id = "r1", .models = {}}}, {}, /*install=*/false, 8 * kSecond, 300 * kMillisecond);
  Socket client = testbed.Client();
  client.Send(Get("/safe/x", "a1"));
  const Message response = client.Read();
  CHECK(response.status() == 503);
  CHECK(response.Header("Retry-After") == "0.200");
}

TEST_CASE("Requests without a route or a valid key are refused") {
  Testbed testbed;
  CheckRefused(&testbed, Get("/none/x", "a1"), 404, false);
  CheckRefused(&testbed, Get("/key/x", "a1"), 401, false);
  CheckRefused(&testbed, Get("/key/x", "a1", "Authorization: Bearer k2\r\n"), 401, false);
}

TEST_CASE("Malformed and ambiguous requests are refused") {
  Testbed testbed;
  const std::string head = "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nLichenlug-Try-Id: a1\r\n";
  const std::string request = GENERATE_COPY(
      std::string("nonsense\r\n\r\n"), std::string("GET /safe/x HTTP/1.1\r\nLichenlug-Try-Id: a1\r\n\r\n"),
      std::string("GET /safe/x HTTP/1.1\r\nHost: h.example\r\n\r\n"),
      std::string("GET safe/x HTTP/1.1\r\nHost: h.example\r\nLichenlug-Try-Id: a1\r\n\r\n"),
      std::string("GET http://h.example/safe/x HTTP/1.1\r\nHost: h.example\r\nLichenlug-Try-Id: a1\r\n\r\n"),
      std::string("CONNECT h.example:80 HTTP/1.1\r\nHost: h.example\r\nLichenlug-Try-Id: a1\r\n\r\n"),
      head + "Host: other\r\n\r\n", head + "Lichenlug-Try-Id: a2\r\n\r\n",
      head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
      head + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
      head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      head + "Content-Length: -1\r\n\r\n", head + "Content-Length: 1a\r\n\r\nb",
      head + "Content-Length : 1\r\n\r\nb", head + "X: a\r\n b\r\nContent-Length: 0\r\n\r\n",
      head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", head + "X\x01: a\r\n\r\n",
      head + "Lichenlug-Deadline-Ms: soon\r\nContent-Length: 0\r\n\r\n",
      head + "Lichenlug-Deadline-Ms: 1\r\nLichenlug-Deadline-Ms: 2\r\nContent-Length: 0\r\n\r\n");
  CheckRefused(&testbed, request, 400, true);
}

TEST_CASE("Requests beyond the limits of the configuration are refused") {
  Testbed testbed;
  CheckRefused(&testbed, Get("/safe/x", "a1", "X: " + std::string(5000, 'x') + "\r\n"), 431, true);
  CheckRefused(&testbed, Post("/safe/x", "a1", std::string(100001, 'x')), 413, true);
  const std::string chunked =
      "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nLichenlug-Try-Id: a1\r\nTransfer-Encoding: "
      "chunked\r\n\r\n" +
      Chunk(std::string(60000, 'x')) + Chunk(std::string(60000, 'x'));
  CheckRefused(&testbed, chunked, 413, true);
  CheckRefused(&testbed, "GET /safe/x HTTP/1.0\r\nHost: h.example\r\nLichenlug-Try-Id: a1\r\n\r\n", 505,
               true);
}

TEST_CASE("An incomplete head times out, and an idle connection is closed") {
  messages::Configuration configuration = DefaultConfiguration();
  configuration.mutable_limits()->set_idle_ms(300);
  Testbed testbed({{.id = "r1", .models = {}}}, configuration);
  Socket probe = testbed.Client();  // the limits apply once a request matches a route
  for (int status = 503; status == 503;) {
    probe.Send(Get("/none/x", "a1"));
    status = probe.Read().status();
  }
  Socket slow = testbed.Client(), idle = testbed.Client();
  slow.Send("GET /safe/x HTTP/1.1\r\nHost:");
  CHECK(slow.Read().status() == 408);
  CHECK(idle.AtEnd());
  CHECK(probe.AtEnd());
}

TEST_CASE("Hop-by-hop headers and the client's key are not forwarded") {
  Testbed testbed;
  Socket client = testbed.Client();
  client.Send(
      Post("/key/x", "a1", "b",
           "Authorization: Bearer k1\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\n"
           "TE: trailers\r\nUpgrade: h2c\r\nProxy-Authorization: p\r\nLichenlug-Sender: forged\r\n"
           "Lichenlug-Expect-Runner: forged\r\nPriority: 0\r\nlichenlug-deadline-ms: 900\r\n"
           "Last-Event-Id: 12\r\nX-End: 2\r\nX-End: 3\r\nLichenlug-Model: m/a\r\n"));
  Socket runner = testbed.runner(0).Accept();
  const Message request = runner.Read();
  for (const char* dropped :
       {"Authorization", "Connection", "X-Hop", "Keep-Alive", "TE", "Upgrade", "Proxy-Authorization"})
    CHECK(request.Header(dropped).empty());
  const auto values = [&request](const std::string& name) {
    std::vector<std::string> found;
    for (const auto& [known, value] : request.headers)
      if (known == name) found.push_back(value);
    return found;
  };
  using Values = std::vector<std::string>;
  CHECK(values("Lichenlug-Sender") == Values{"t1"});
  CHECK(values("Lichenlug-Expect-Runner") == Values{"r1"});
  CHECK(values("Host") == Values{"h.example"});
  CHECK(values("X-End") == Values{"2", "3"});
  CHECK(values("Last-Event-Id") == Values{"12"});
  CHECK(values("Lichenlug-Model") == Values{"m/a"});
  CHECK(values("Content-Length") == Values{"1"});
  CHECK(values("Priority").size() == 1);
  CHECK(values("lichenlug-deadline-ms").empty());
  REQUIRE(values("Lichenlug-Deadline-Ms").size() == 1);
  CHECK(std::stoi(values("Lichenlug-Deadline-Ms")[0]) <= 900);
}

TEST_CASE("An anonymous client can't name a tenant") {
  Testbed testbed;
  Socket client = testbed.Client();
  client.Send(Get("/safe/x", "a1", "Lichenlug-Sender: t1\r\n"));
  Socket runner = testbed.runner(0).Accept();
  const Message request = runner.Read();
  CHECK(request.Header("Lichenlug-Sender").empty());
  CHECK(request.Header("Content-Length").empty());
}

TEST_CASE("A chunked body is forwarded with its length and without trailers") {
  Testbed testbed;
  Socket client = testbed.Client();
  client.Send(
      "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nLichenlug-Try-Id: a1\r\nTransfer-Encoding: chunked\r\n"
      "Trailer: X-After\r\n\r\n" +
      Chunk("hel") + Chunk("lo") + "0\r\nX-After: 1\r\nLichenlug-Sender: t1\r\n\r\n");
  Socket runner = testbed.runner(0).Accept();
  const Message request = runner.Read();
  CHECK(request.Header("Content-Length") == "5");
  CHECK(request.Header("Transfer-Encoding").empty());
  CHECK(request.Header("X-After").empty());
  CHECK(request.Header("Lichenlug-Sender").empty());
  CHECK(request.body == "hello");
}

TEST_CASE("Large bodies are forwarded unchanged in both directions") {
  messages::Configuration configuration = DefaultConfiguration();
  configuration.mutable_limits()->set_body_bytes(3'000'000);
  Testbed testbed({{.id = "r1", .models = {}}}, configuration);
  std::string large(2'500'000, '\0');
  for (std::size_t i = 0; i < large.size(); ++i) large[i] = static_cast<char>(i * 7919 >> 3);
  Socket client = testbed.Client();
  Socket probe = testbed.Client();
  for (int status = 503; status == 503;) {
    probe.Send(Get("/none/x", "a1"));
    status = probe.Read().status();
  }
  client = testbed.Client();
  client.Send(
      "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nLichenlug-Try-Id: a1\r\nExpect: 100-continue\r\n"
      "Content-Length: 2500000\r\n\r\n");
  CHECK(client.ReadHead().status() == 100);
  client.Send(large);
  Socket runner = testbed.runner(0).Accept();
  const Message request = runner.Read();
  CHECK(request.Header("Expect").empty());
  CHECK((request.body == large));
  const bool chunked = GENERATE(true, false);
  const std::string complete =
      chunked ? "HTTP/1.1 200 OK\r\nLichenlug-Try-Id: a1\r\nLichenlug-Runner-Stamp: s1\r\n"
                "Transfer-Encoding: chunked\r\n\r\n" +
                    Chunk(large) + "0\r\n\r\n"
              : RunnerResponse(200, "a1", large);
  const bool cut = GENERATE(true, false);
  std::thread sender([&] {
    runner.Send(cut ? complete.substr(0, complete.size() - 7) : complete);
    if (cut) runner.Close();
  });
  const Message response = client.Read();
  sender.join();
  CHECK(response.status() == 200);
  CHECK(response.complete == !cut);
  if (!cut) CHECK((response.body == large));
}

TEST_CASE("Responses to HEAD and with status 204 have no body") {
  Testbed testbed;
  Socket client = testbed.Client();
  client.Send("HEAD /safe/x HTTP/1.1\r\nHost: h.example\r\nLichenlug-Try-Id: a1\r\n\r\n" +
              Get("/safe/x", "a2") + Get("/safe/x", "a3"));
  Socket runner = testbed.runner(0).Accept();
  CHECK(runner.Read().first_line == "HEAD /safe/x HTTP/1.1");
  const std::string complete = RunnerResponse(200, "a1", "12345");
  runner.Send(complete.substr(0, complete.size() - 5));
  const Message head = client.Read(/*with_body=*/false);
  CHECK(head.status() == 200);
  CHECK(head.Header("Content-Length") == "5");
  runner.Read();
  runner.Send(
      "HTTP/1.1 204 No\r\nLichenlug-Try-Id: a2\r\nLichenlug-Runner-Stamp: s1\r\nKeep-Alive: "
      "timeout=9\r\n\r\n");
  const Message empty = client.Read(/*with_body=*/false);
  CHECK(empty.status() == 204);
  CHECK(empty.Header("Content-Length").empty());
  runner.Read();
  runner.Send(RunnerResponse(200, "a3", "abc"));
  CHECK(client.Read().body == "abc");
}

TEST_CASE("A client's Connection: close is honored") {
  Testbed testbed;
  Socket client = testbed.Client();
  client.Send(Get("/none/x", "a1", "Connection: close\r\n"));
  const Message response = client.Read();
  CHECK(response.Header("Connection") == "close");
  CHECK(client.AtEnd());
}

TEST_CASE("A draining data plane serves existing and new requests until none is left") {
  Testbed testbed({{.id = "r1", .models = {}}}, DefaultConfiguration(), true, /*grace=*/kSecond);
  Socket client = testbed.Client();
  client.Send(Post("/unsafe/1", "a1", "b"));
  Socket runner = testbed.runner(0).Accept();
  runner.Read();
  testbed.plane().BeginDrain();
  runner.Send(RunnerResponse(200, "a1", "one"));
  CHECK(client.Read().body == "one");
  Socket second_client = testbed.Client();
  second_client.Send(Post("/unsafe/2", "a2", "b"));
  runner.Read();
  runner.Send(RunnerResponse(200, "a2", "two"));
  const Message response = second_client.Read();
  CHECK(response.body == "two");
  CHECK(response.Header("Connection") == "close");
  CHECK(second_client.AtEnd());
  Socket idle_client = testbed.Client();
  CHECK(idle_client.AtEnd());  // in the second half of the grace period
  second_client.Close(), client.Close(), idle_client.Close();
  CHECK_FALSE(testbed.plane().Stopped());
  testbed.plane().StopWhenIdle();
  CHECK(testbed.AwaitReport([&](const Report&) { return testbed.plane().Stopped(); }));
}

// The control plane ends the process some time after it has learned that nothing is left.
TEST_CASE("A request is not taken by a drained data plane whose process is about to exit") {
  Testbed testbed({{.id = "r1", .models = {}}}, DefaultConfiguration(), true, /*grace=*/200 * kMillisecond);
  testbed.plane().BeginDrain();
  testbed.plane().StopWhenIdle();
  REQUIRE(testbed.AwaitReport([&](const Report&) { return testbed.plane().Stopped(); }));
  CHECK_THROWS(testbed.Client());  // refused, so the client tries elsewhere
  CHECK_FALSE(testbed.runner(0).WaitForConnection(0));
}

TEST_CASE("The report of a data plane that has stopped covers its last request") {
  Testbed testbed({{.id = "r1", .models = {}}}, DefaultConfiguration(), true, /*grace=*/200 * kMillisecond);
  Socket client = testbed.Client();
  client.Send(Post("/unsafe/1", "a1", "b"));
  Socket runner = testbed.runner(0).Accept();
  runner.Read();
  testbed.plane().BeginDrain();
  testbed.plane().StopWhenIdle();
  runner.Send(RunnerResponse(200, "a1", "one"));
  CHECK(client.Read().body == "one");
  client.Close();
  REQUIRE(testbed.AwaitReport([&](const Report&) { return testbed.plane().Stopped(); }));
  CHECK(testbed.plane().TakeReport().served == 1);
}

TEST_CASE("At the end of the grace period no request is left without an answer") {
  Testbed testbed({{.id = "r1", .models = {}}}, DefaultConfiguration(), true, /*grace=*/kSecond);
  Socket sent_client = testbed.Client(), stream_client = testbed.Client();
  sent_client.Send(Post("/unsafe/1", "a1", "b"));
  Socket sent_runner = testbed.runner(0).Accept();
  sent_runner.Read();
  stream_client.Send(Post("/stream/1", "s1", "b"));
  Socket stream_runner = testbed.runner(0).Accept();
  stream_runner.Read();
  stream_runner.Send(StreamHead("s1") + Chunk(Event(1, "one")));
  CHECK(stream_client.ReadHead().status() == 200);
  testbed.plane().BeginDrain();
  testbed.plane().StopNow();
  const Message response = sent_client.Read();
  CHECK(response.status() == 502);  // it may have run
  CHECK(response.complete);
  CHECK(response.Header("Connection") == "close");
  CHECK(sent_client.AtEnd());
  CHECK(testbed.AwaitReport(
      [](const Report& report) { return report.cuts[static_cast<std::size_t>(CutReason::kShutdown)] == 1; }));
  CHECK_THROWS(testbed.Client());
  sent_client.Close(), stream_client.Close();
  CHECK(testbed.AwaitReport([&](const Report&) { return testbed.plane().Stopped(); }));
}

TEST_CASE("A data plane that may stop answers new requests for as long as one is in progress") {
  Testbed testbed({{.id = "r1", .models = {}}}, DefaultConfiguration(), true, /*grace=*/kSecond);
  Socket held_client = testbed.Client(), idle_client = testbed.Client();
  held_client.Send(Post("/unsafe/1", "a1", "b"));
  Socket runner = testbed.runner(0).Accept();
  runner.Read();
  testbed.plane().BeginDrain();
  testbed.plane().StopWhenIdle();
  CHECK(idle_client.AtEnd());  // in the second half of the grace period
  idle_client.Close();
  Socket client = testbed.Client();
  client.Send(Get("/none/x", "a2"));
  CHECK(client.Read().complete);
  client.Close();
  CHECK_FALSE(testbed.plane().Stopped());
  runner.Send(RunnerResponse(200, "a1", "one"));
  CHECK(held_client.Read().body == "one");
  held_client.Close();
  CHECK(testbed.AwaitReport([&](const Report&) { return testbed.plane().Stopped(); }));
}

TEST_CASE(
    "Near the end of the grace period a request is refused at once instead of left without a response") {
  Testbed testbed(std::vector<RunnerSpec>{}, DefaultConfiguration(), true, /*grace=*/200 * kMillisecond);
  testbed.plane().BeginDrain();
  bool refused = false;
  for (int tries = 0; tries < 10000 && !refused; ++tries) {
    Socket client = testbed.Client();
    client.Send(Post("/unsafe/1", "a" + std::to_string(tries), "b"));
    const Message response = client.Read();
    CHECK(response.Header("Connection") == "close");
    refused = response.body.find("this dispatcher is shutting down") != std::string::npos;
  }
  CHECK(refused);
}

TEST_CASE("A stream that might not end within the grace period is refused while other requests are served") {
  Testbed testbed(std::vector<RunnerSpec>{}, DefaultConfiguration(), true, /*grace=*/4 * kSecond);
  const auto is_refused_at_shutdown = [&testbed](const std::string& request) {
    Socket client = testbed.Client();
    client.Send(request);
    return client.Read().body.find("this dispatcher is shutting down") != std::string::npos;
  };
  const std::string short_deadline = "Lichenlug-Deadline-Ms: 20\r\n";
  CHECK_FALSE(is_refused_at_shutdown(Post("/stream/1", "s1", "b", short_deadline)));
  testbed.plane().BeginDrain();
  bool refused = false;
  for (int tries = 0; tries < 10000 && !refused; ++tries)
    refused = is_refused_at_shutdown(Post("/stream/1", "t" + std::to_string(tries), "b", short_deadline));
  CHECK(refused);
  CHECK_FALSE(is_refused_at_shutdown(Post("/unsafe/1", "a1", "b", short_deadline)));
}

TEST_CASE("A drain does not close a connection on which a further request has arrived") {
  Testbed testbed({{.id = "r1", .models = {}}}, DefaultConfiguration(), true, /*grace=*/kSecond);
  Socket client = testbed.Client();
  client.Send(Get("/safe/1", "a1") + Get("/safe/2", "a2"));
  Socket runner = testbed.runner(0).Accept();
  runner.Read();
  testbed.plane().BeginDrain();
  runner.Send(RunnerResponse(200, "a1", "one"));
  CHECK(client.Read().body == "one");
  runner.Read();
  runner.Send(RunnerResponse(200, "a2", "two"));
  CHECK(client.Read().body == "two");
}

TEST_CASE("An invalid listen address is reported") {
  Settings settings;
  settings.listen_address = GENERATE("nowhere", "127.0.0.1:no", "256.0.0.1:80", "127.0.0.1:");
  DataPlane plane(settings);
  std::string error;
  CHECK_FALSE(plane.Start(&error));
  CHECK(error.find(settings.listen_address) != std::string::npos);
}

}  // namespace lichenlug::dataplane::test
