// Handling of requests whose runner rejects them, fails or sends an invalid response.
#include <catch2/catch.hpp>

#include "testbed.h"

namespace lichenlug::dataplane::test {
namespace {

const std::vector<RunnerSpec> kTwoRunners = {{.id = "r1", .models = {}}, {.id = "r2", .models = {}}};

// The runner of the first attempt sends `first`; the runner of the next attempt serves the request.
Message ServedBySecond(Testbed* testbed, Socket* client, const std::string& first, bool other_runner = true) {
  auto [runner, runner_index] = testbed->AcceptAny();
  const std::string id = runner.Read().Header("Lichenlug-Try-Id");
  runner.Send(first);
  if (first.empty()) runner.Close();
  if (!other_runner) return client->Read();
  Socket second = testbed->runner(1 - runner_index).Accept();
  CHECK(second.Read().Header("Lichenlug-Expect-Runner") == (runner_index == 0 ? "r2" : "r1"));
  second.Send(RunnerResponse(200, id, "served"));
  return client->Read();
}

}  // namespace

TEST_CASE("A request that a runner reports as not run is sent to another runner") {
  const int status = GENERATE(503, 429, 421);
  const std::string target = GENERATE("/safe/x", "/unsafe/x", "/stream/x");
  Testbed testbed(kTwoRunners);
  Socket client = testbed.Client();
  client.Send(Post(target, "a1", "b"));
  const Message response = ServedBySecond(&testbed, &client, NotRun(status, "a1"));
  CHECK(response.status() == 200);
  CHECK(response.body == "served");
}

// Guards against a 503 after the only try had met a closed port, although another runner was ready.
TEST_CASE("A request with one try is sent to another runner if the first refuses the connection") {
  const std::size_t closed = GENERATE(0u, 1u);  // one of the two is the first choice
  Testbed testbed(kTwoRunners);
  testbed.CloseRunner(closed);
  Socket client = testbed.Client();
  client.Send(Post("/once/x", "a1", "b"));
  Socket runner = testbed.runner(1 - closed).Accept();
  runner.Read();
  runner.Send(RunnerResponse(200, "a1", "served"));
  CHECK(client.Read().body == "served");
}

TEST_CASE("After a server error a repeatable request is sent to another runner") {
  const std::string target = GENERATE("/safe/x", "/resume/x");
  Testbed testbed(kTwoRunners);
  Socket client = testbed.Client();
  client.Send(Post(target, "a1", "b"));
  const Message response = ServedBySecond(&testbed, &client, RunnerResponse(500, "a1", "no"));
  CHECK(response.status() == 200);
  CHECK(response.body == "served");
}

TEST_CASE("A runner's error is forwarded if no other attempt succeeds") {
  const std::string target = GENERATE("/safe/x", "/resume/x", "/unsafe/x", "/stream/x");
  const bool repeatable = target == "/safe/x" || target == "/resume/x";
  Testbed testbed(kTwoRunners);
  Socket client = testbed.Client();
  client.Send(Post(target, "a1", "b"));
  auto [runner, runner_index] = testbed.AcceptAny();
  runner.Read();
  runner.Send(RunnerResponse(500, "a1", "first"));
  if (repeatable) {
    Socket second = testbed.runner(1 - runner_index).Accept();
    second.Read();
    SECTION("the other runner rejects the request") { second.Send(NotRun(503, "a1")); }
    SECTION("the other runner closes the connection") { second.Close(); }
  }
  const Message response = client.Read();
  CHECK(response.status() == 500);
  CHECK(response.body == "first");
  CHECK(response.Header("Lichenlug-Runner-Stamp") == "s1");
}

TEST_CASE("Without another runner an error is forwarded at once") {
  Testbed testbed;
  Socket client = testbed.Client();
  client.Send(Post("/safe/x", "a1", "b"));
  Socket runner = testbed.runner(0).Accept();
  runner.Read();
  runner.Send(RunnerResponse(502, "a1", "no"));
  const Message response = client.Read();
  CHECK(response.status() == 502);
  CHECK(response.body == "no");
}

TEST_CASE("A runner that responded with an error is avoided by subsequent requests") {
  Testbed testbed(kTwoRunners);
  Socket client = testbed.Client();
  client.Send(Post("/unsafe/x", "a1", "b"));
  auto [runner, runner_index] = testbed.AcceptAny();
  runner.Read();
  runner.Send(RunnerResponse(500, "a1", "no"));
  CHECK(client.Read().status() == 500);
  client.Send(Post("/unsafe/x", "a2", "b"));
  Socket second = testbed.runner(1 - runner_index).Accept();
  for (const char* id : {"a2", "a3", "a4"}) {
    if (std::string(id) != "a2") client.Send(Post("/unsafe/x", id, "b"));
    CHECK(second.Read().Header("Lichenlug-Try-Id") == id);
    second.Send(RunnerResponse(200, id, "served"));
    CHECK(client.Read().body == "served");
  }
}

TEST_CASE("A runner without the model is avoided by this and subsequent requests") {
  Testbed testbed({{.id = "r1", .service = "engine", .models = {"m1"}},
                   {.id = "r2", .service = "engine", .models = {"m1"}}});
  const std::string model_headers = "Lichenlug-Model: m1\r\nLichenlug-Token-Count: 10,5\r\n";
  Socket client = testbed.Client();
  client.Send(Post("/model/x", "a1", "b", model_headers));
  auto [runner, runner_index] = testbed.AcceptAny();
  runner.Read();
  runner.Send(NotRun(421, "a1"));
  Socket second = testbed.runner(1 - runner_index).Accept();
  for (const char* id : {"a1", "a2", "a3"}) {
    if (std::string(id) != "a1") client.Send(Post("/model/x", id, "b", model_headers));
    CHECK(second.Read().Header("Lichenlug-Try-Id") == id);
    second.Send(RunnerResponse(200, id, "served"));
    CHECK(client.Read().body == "served");
  }
}

TEST_CASE("The retry of a client for a model that is loaded nowhere waits until the model is loaded") {
  const std::vector<RunnerSpec> specs = {{.id = "r1", .service = "engine", .models = {}}};
  Testbed testbed(specs);
  const std::string model_headers =
      "Lichenlug-Model: m1\r\nLichenlug-Token-Count: 10,5\r\nLichenlug-Deadline-Ms: ";
  Socket client = testbed.Client();
  client.Send(Post("/model/x", "a1", "b", model_headers + "9000\r\n"));
  const Message refusal = client.Read();
  CHECK(refusal.status() == 503);
  CHECK(!refusal.Header("Retry-After").empty());
  CHECK(testbed.AwaitReport([](const Report& report) {
    return report.demand.size() == 1 && report.demand[0].unserved > 0;  // reported at once
  }));
  client.Send(Post("/model/x", "a2", "b", model_headers + "8000\r\n"));  // left after the first try
  CHECK(testbed.AwaitReport([](const Report& report) { return report.in_work == 1; }));
  testbed.LoadModel(0, "m1");
  Socket runner = testbed.runner(0).Accept();
  CHECK(runner.Read().Header("Lichenlug-Try-Id") == "a2");
  runner.Send(RunnerResponse(200, "a2", "served"));
  CHECK(client.Read().body == "served");
}

TEST_CASE("A retry after the objective has passed gets the lowest priority at runners") {
  auto configuration = DefaultConfiguration();
  for (auto& route : *configuration.mutable_routes()) route.set_objective_ms(500);
  Testbed testbed({{.id = "r1", .models = {}}}, configuration);
  Socket client = testbed.Client();
  std::optional<Socket> runner;  // its connection is kept
  const auto priority_with = [&](const std::string& id, int timeout) {
    client.Send(Post("/unsafe/1", id, "b", "Lichenlug-Deadline-Ms: " + std::to_string(timeout) + "\r\n"));
    if (!runner) runner.emplace(testbed.runner(0).Accept());
    const std::string priority = runner->Read().Header("Priority");
    runner->Send(RunnerResponse(200, id, "served"));
    CHECK(client.Read().body == "served");
    return priority;
  };
  const std::string first = priority_with("a1", 2000);
  CHECK(first != "9");
  CHECK(priority_with("a2", 1700) == first);  // a retry within the objective
  CHECK(priority_with("a3", 1400) == "9");
  CHECK(priority_with("a4", 2000) == first);
}

TEST_CASE("A change of a route's deadline does not make first tries count as retries") {
  auto configuration = DefaultConfiguration();
  for (auto& route : *configuration.mutable_routes()) route.set_objective_ms(500);
  Testbed testbed({{.id = "r1", .models = {}}}, configuration);
  Socket client = testbed.Client();
  std::optional<Socket> runner;  // its connection is kept
  const auto priority_of = [&](const std::string& id, const std::string& timeout) {
    client.Send(Post("/unsafe/1", id, "b", "Lichenlug-Deadline-Ms: " + timeout + "\r\n"));
    if (!runner) runner.emplace(testbed.runner(0).Accept());
    const std::string priority = runner->Read().Header("Priority");
    runner->Send(RunnerResponse(200, id, "served"));
    CHECK(client.Read().body == "served");
    return priority;
  };
  const std::string first = priority_of("a1", "12000");
  CHECK(first != "9");
  for (auto& route : *configuration.mutable_routes()) route.set_deadline_ms(10000);
  configuration.set_edition(2);
  testbed.Install(configuration);
  CHECK(priority_of("a2", "12000") == first);
  CHECK(priority_of("a3", "11000") == "9");  // spent a second on an earlier try, within either deadline
}

TEST_CASE("A refusal without another attempt is forwarded as a 503 with Retry-After") {
  Testbed testbed;
  Socket client = testbed.Client();
  client.Send(Post("/once/x", "a1", "b"));
  Socket runner = testbed.runner(0).Accept();
  runner.Read();
  runner.Send(NotRun(503, "a1"));
  const Message response = client.Read();
  CHECK(response.status() == 503);
  CHECK(response.Header("Lichenlug-Runner-Stamp").empty());
  CHECK(std::stod(response.Header("Retry-After")) > 0);
  CHECK(response.Header("Connection").empty());
}

TEST_CASE("After a broken response the request is repeated if the route allows it, else the status is 502") {
  const std::string broken = GENERATE(
      std::string(),                                               // closed without a response
      std::string("HTTP/1.1 200 OK\r\nLichenlug-Try-Id: a1\r\n"),  // half a head
      RunnerResponse(200, "a1", "half.").substr(0, RunnerResponse(200, "a1", "half.").size() - 1),
      std::string("nonsense\r\n\r\n"), RunnerResponse(200, "a1", "coded", "Content-Encoding: gzip\r\n"),
      std::string("HTTP/1.1 200 OK\r\nLichenlug-Try-Id: a1\r\nContent-Length: 0\r\n\r\n"),        // no stamp
      std::string("HTTP/1.1 200 OK\r\nLichenlug-Runner-Stamp: s1\r\nContent-Length: 0\r\n\r\n"),  // no id
      RunnerResponse(503, "a1", ""), RunnerResponse(429, "a1", ""),
      RunnerResponse(408, "a1", ""),  // without the runner's Not-Run header
      std::string("HTTP/1.1 404 No\r\nLichenlug-Try-Id: a1\r\nContent-Length: 0\r\n\r\n"),
      std::string("HTTP/1.1 200 OK\r\nLichenlug-Try-Id: a1\r\nLichenlug-Runner-Stamp: s1\r\n"
                  "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"),
      std::string("HTTP/1.1 200 OK\r\nLichenlug-Try-Id: a1\r\nLichenlug-Runner-Stamp: s1\r\n"
                  "Transfer-Encoding: chunked\r\n\r\nzz\r\n"));
  const bool closes =
      broken.empty() || broken.find("half") != std::string::npos || broken.ends_with("a1\r\n");
  SECTION("safe") {
    Testbed testbed(kTwoRunners);
    Socket client = testbed.Client();
    client.Send(Get("/safe/x", "a1"));
    auto [runner, runner_index] = testbed.AcceptAny();
    runner.Read();
    runner.Send(broken);
    if (closes) runner.Close();
    Socket second = testbed.runner(1 - runner_index).Accept();
    second.Read();
    second.Send(RunnerResponse(200, "a1", "served"));
    CHECK(client.Read().body == "served");
  }
  SECTION("unsafe") {
    Testbed testbed(kTwoRunners);
    Socket client = testbed.Client();
    client.Send(Post("/unsafe/x", "a1", "b"));
    auto [runner, runner_index] = testbed.AcceptAny();
    runner.Read();
    runner.Send(broken);
    if (closes) runner.Close();
    const Message response = client.Read();
    CHECK(response.status() == 502);
    CHECK(response.Header("Lichenlug-Runner-Stamp").empty());
    CHECK_FALSE(testbed.runner(1 - runner_index).WaitForConnection(0));
  }
}

TEST_CASE("A runner's error is forwarded with its stamp and status") {
  const int status = GENERATE(500, 504, 400, 404, 501);
  Testbed testbed;
  Socket client = testbed.Client();
  client.Send(Post("/unsafe/x", "a1", "b"));
  Socket runner = testbed.runner(0).Accept();
  runner.Read();
  runner.Send(RunnerResponse(status, "a1", "why"));
  const Message response = client.Read();
  CHECK(response.status() == status);
  CHECK(response.Header("Lichenlug-Runner-Stamp") == "s1");
  CHECK(response.body == "why");
}

TEST_CASE("A surplus response after a complete one is never used for the next request") {
  Testbed testbed;
  Socket client = testbed.Client();
  client.Send(Get("/safe/1", "a1"));
  Socket runner = testbed.runner(0).Accept();
  runner.Read();
  runner.Send(RunnerResponse(200, "a1", "one") + RunnerResponse(200, "a0", "surplus"));
  CHECK(client.Read().body == "one");
  client.Send(Get("/safe/2", "a2"));
  Socket second_connection = testbed.runner(0).Accept();
  CHECK(second_connection.Read().Header("Lichenlug-Try-Id") == "a2");
  second_connection.Send(RunnerResponse(200, "a2", "two"));
  CHECK(client.Read().body == "two");
  CHECK(runner.AtEnd());
}

TEST_CASE("A response to an earlier request is skipped, and the connection is not reused") {
  Testbed testbed;
  Socket client = testbed.Client();
  client.Send(Post("/unsafe/1", "a1", "b"));
  Socket runner = testbed.runner(0).Accept();
  runner.Read();
  runner.Send(RunnerResponse(200, "a0", "surplus") + RunnerResponse(200, "a1", "one"));
  CHECK(client.Read().body == "one");
  CHECK(runner.AtEnd());
}

TEST_CASE("An idle connection that the runner has closed is not reused") {
  Testbed testbed;
  Socket client = testbed.Client();
  client.Send(Post("/unsafe/1", "a1", "b"));
  Socket runner = testbed.runner(0).Accept();
  runner.Read();
  runner.Send(RunnerResponse(200, "a1", "one"));
  runner.Close();
  CHECK(client.Read().body == "one");
  client.Send(Post("/unsafe/2", "a2", "b"));
  Socket second_connection = testbed.runner(0).Accept();
  second_connection.Read();
  second_connection.Send(RunnerResponse(200, "a2", "two", "Connection: close\r\n"));
  CHECK(client.Read().body == "two");
  CHECK(second_connection.AtEnd());
}

TEST_CASE("A runner that cannot be reached is avoided") {
  messages::Configuration configuration = DefaultConfiguration();
  Testbed testbed(kTwoRunners);
  // The port of the closed runner refuses connections, so nothing can have run there.
  Socket client = testbed.Client();
  client.Send(Post("/unsafe/1", "a1", "b"));
  auto [runner, runner_index] = testbed.AcceptAny();
  runner.Read();
  runner.Send(RunnerResponse(200, "a1", "one", "Connection: close\r\n"));
  CHECK(client.Read().body == "one");
  testbed.CloseRunner(runner_index);
  client.Send(Post("/unsafe/2", "a2", "b"));
  Socket other = testbed.runner(1 - runner_index).Accept();
  other.Read();
  other.Send(RunnerResponse(200, "a2", "two"));
  CHECK(client.Read().body == "two");
}

TEST_CASE("Another attempt requires a route in the current configuration") {
  Testbed testbed(kTwoRunners);
  Socket client = testbed.Client();
  client.Send(Get("/safe/x", "a1"));
  auto [runner, runner_index] = testbed.AcceptAny();
  runner.Read();
  messages::Configuration changed = DefaultConfiguration();
  changed.mutable_routes()->DeleteSubrange(0, 1);
  testbed.Install(changed);
  Socket probe = testbed.Client();
  for (int status = 0; status != 404;) {  // until the new configuration is in effect
    probe.Send(Get("/safe/x", "p", "Lichenlug-Deadline-Ms: 1\r\n"));
    status = probe.Read().status();
  }
  const std::string first = GENERATE(NotRun(503, "a1"), std::string("nonsense\r\n\r\n"));
  runner.Send(first);
  CHECK(client.Read().status() == (first.starts_with("HTTP") ? 503 : 502));
}

TEST_CASE("When a client disconnects, its request at the runner is cancelled") {
  Testbed testbed;
  Socket client = testbed.Client();
  client.Send(Post("/unsafe/x", "a1", "b"));
  Socket runner = testbed.runner(0).Accept();
  runner.Read();
  client.Close();
  CHECK(runner.AtEnd());
  CHECK(testbed.AwaitReport([](const Report& report) { return report.in_work == 0; }));
}

TEST_CASE("At its deadline a request gets a response, and the connection to the runner is closed") {
  Testbed testbed;
  Socket client = testbed.Client();
  const std::string target = GENERATE("/short/x", "/unsafe/x");
  client.Send(Post(target, "a1", "b", "Lichenlug-Deadline-Ms: 200\r\n"));
  Socket runner = testbed.runner(0).Accept();
  const int time_left = std::stoi(runner.Read().Header("Lichenlug-Deadline-Ms"));
  CHECK(time_left <= (target == "/short/x" ? 150 : 200));
  CHECK(time_left > 0);
  CHECK(client.Read().status() == 504);
  CHECK(runner.AtEnd());
}

}  // namespace lichenlug::dataplane::test
