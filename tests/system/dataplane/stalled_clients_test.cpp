// Clients that stall: what they hold is bounded, and they make room for others.
#include <catch2/catch.hpp>
#include <vector>

#include "testbed.h"

namespace lichenlug::dataplane::test {
namespace {

constexpr std::size_t kMemory = 1u << 20;  // a quarter of it is for the bytes of clients
constexpr std::size_t kBody = 90'000;
constexpr int kFewDescriptors = 516;  // 16 client connections

Testbed SmallTestbed(const Machine& machine) {
  return Testbed({{.id = "r1", .models = {}}}, DefaultConfiguration(), true, 8 * kSecond, 0, machine);
}

// Waits until the configuration is in force.
void AwaitConfiguration(const Testbed& testbed) {
  Socket probe = testbed.Client();
  for (int status = 503; status == 503;) {
    probe.Send(Get("/none/x", "probe"));
    status = probe.Read().status();
  }
}

std::string WithoutLastByte(std::string bytes) {
  bytes.pop_back();
  return bytes;
}

void CheckServed(Testbed* testbed, const std::string& request) {
  Socket client = testbed->Client();
  client.Send(request);
  Socket runner = testbed->runner(0).Accept();
  CHECK(runner.Read().complete);
  runner.Send(RunnerResponse(200, "ordinary", "done"));
  const Message response = client.Read();
  CHECK(response.status() == 200);
  CHECK(response.body == "done");
}

TEST_CASE("Incomplete bodies that fill the memory are refused, and other requests are served") {
  Testbed testbed = SmallTestbed({.memory_bytes = kMemory});
  AwaitConfiguration(testbed);
  std::vector<Socket> stalled;
  for (int i = 0; i < 4; ++i) {
    stalled.push_back(testbed.Client());
    stalled.back().Send(WithoutLastByte(Post("/safe/x", "stalled", std::string(kBody, 'x'))));
  }
  CheckServed(&testbed, Get("/safe/x", "ordinary"));
  CheckServed(&testbed, Post("/safe/x", "ordinary", std::string(kBody, 'x')));
  int refused = 0;
  for (Socket& client : stalled) {
    client.EndSending();
    if (client.AtEnd()) continue;
    const Message response = client.Read();
    CHECK(response.status() == 503);
    CHECK_FALSE(response.Header("Retry-After").empty());
    CHECK(response.Header("Connection") == "close");
    ++refused;
  }
  CHECK(refused >= 2);
}

TEST_CASE("At the limit of connections, clients that stall make room for new ones") {
  Testbed testbed = SmallTestbed({.descriptors = kFewDescriptors});
  AwaitConfiguration(testbed);
  std::vector<Socket> stalled;
  for (int i = 0; i < 20; ++i) {
    stalled.push_back(testbed.Client());
    stalled.back().Send(WithoutLastByte(Post("/safe/x", "stalled", "body")));
  }
  CheckServed(&testbed, Get("/safe/x", "ordinary"));
}

TEST_CASE("A response for whose bytes there is no room is forwarded as it arrives") {
  Testbed testbed = SmallTestbed({.memory_bytes = kMemory});
  AwaitConfiguration(testbed);
  Socket client = testbed.Client();
  client.Send(Get("/safe/x", "a1"));
  Socket runner = testbed.runner(0).Accept();
  runner.Read();
  const std::string response = RunnerResponse(200, "a1", std::string(600'000, 'x'));
  runner.Send(std::string_view(response).substr(0, 400'000));
  CHECK(client.ReadHead().status() == 200);
  runner.Send(std::string_view(response).substr(400'000));
  CHECK(client.ReadExactly(600'000) == std::string(600'000, 'x'));
}

TEST_CASE("A client that does not read its response makes room for others") {
  Testbed testbed = SmallTestbed({.memory_bytes = 32u << 20});
  AwaitConfiguration(testbed);
  const std::string body(1'000'000, 'x');
  std::vector<Socket> unread;
  std::vector<Socket> runners;
  // The system buffers some megabytes for each.
  for (int i = 0; i < 40; ++i) {
    unread.push_back(testbed.Client());
    unread.back().Send(Get("/safe/x", "a1"));
    runners.push_back(testbed.runner(0).Accept());
    runners.back().Read();
    runners.back().Send(RunnerResponse(200, "a1", body, "Connection: close\r\n"));
  }
  CheckServed(&testbed, Post("/safe/x", "ordinary", std::string(kBody, 'x')));
}

}  // namespace
}  // namespace lichenlug::dataplane::test
