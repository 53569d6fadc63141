// Malformed input on every port: it is rejected or dropped, and the process keeps serving.
#include <random>

#include "lab/system/http_call.h"
#include "testbed.h"

namespace lichenlug::standins::test {
namespace {

std::string HeartbeatWith(const char* key, const Json& value) {
  Json body = RunnerHeartbeat();
  body[key] = value;
  return body.dump();
}

std::string HeartbeatWithout(const char* key) {
  Json body = RunnerHeartbeat();
  body.erase(key);
  return body.dump();
}

int SendHeartbeat(System& system, const std::string& id, const std::string& body) {
  HttpCall call;
  call.method = "PUT";
  call.path = wire::kRunnersPath + id;
  call.headers = {{wire::kContentType, wire::kJsonType}};
  call.body = body;
  return CallAndWait(&system.loop(), system.dispatcher(0).control_address(), call).status;
}

TEST_CASE("Malformed heartbeats are rejected and register no runner", "[malformed-heartbeats]") {
  Testbed testbed(3, 0, 2);
  REQUIRE(testbed.Found());
  System& system = testbed.system();
  const std::vector<std::string> bodies = {"",
                                           "{",
                                           "[]",
                                           "\"ready\"",
                                           std::string("\0\xff\xfe", 3),
                                           std::string(2000, '['),
                                           HeartbeatWithout(wire::kService),
                                           HeartbeatWithout("address"),
                                           HeartbeatWithout(wire::kZone),
                                           HeartbeatWithout(wire::kSlots),
                                           HeartbeatWithout(wire::kCondition),
                                           HeartbeatWithout(wire::kCallCount),
                                           HeartbeatWith(wire::kService, 7),
                                           HeartbeatWith("address", "nowhere"),
                                           HeartbeatWith("address", "127.0.0.1:99999"),
                                           HeartbeatWith(wire::kSlots, -1),
                                           HeartbeatWith(wire::kSlots, "four"),
                                           HeartbeatWith(wire::kCondition, "asleep"),
                                           HeartbeatWith(wire::kCallCount, -1),
                                           HeartbeatWith(wire::kModels, "large"),
                                           HeartbeatWith(wire::kModels, Json::array({7})),
                                           HeartbeatWith(wire::kModels, Json::array({{{wire::kName, 7}}}))};
  for (const std::string& body : bodies) {
    INFO(body.substr(0, 200));
    CHECK(SendHeartbeat(system, "odd", body) == 400);
  }
  CHECK(SendHeartbeat(system, "", RunnerHeartbeat().dump()) == 400);
  CHECK(SendHeartbeat(system, std::string(300, 'a'), RunnerHeartbeat().dump()) == 400);
  CHECK(SendHeartbeat(system, "runner-1/x?y=%00", "{}") == 400);
  CHECK(system.Status(0).at("runners").size() == 2);
  CHECK(testbed.AllRunning());
  testbed.CheckServedEverywhere();
  testbed.CheckNoViolations();
}

std::string RandomBytes(std::mt19937* random, std::size_t size) {
  std::string bytes(size, '\0');
  for (char& byte : bytes) byte = static_cast<char>((*random)());
  return bytes;
}

// A Scalability Protocols greeting (push socket).
std::string TransportGreeting() { return std::string("\0SP\0\0\x50\0\0", 8); }

std::string TransportMessage(const std::string& body) {
  std::string size(8, '\0');
  for (int byte = 0; byte < 8; ++byte) size[7 - byte] = static_cast<char>(body.size() >> (8 * byte));
  return size + body;
}

std::vector<std::string> MalformedInputs() {
  std::mt19937 random(20);  // the same bytes in each run
  std::vector<std::string> pieces = {
      "\r\n\r\n",
      "GET\r\n\r\n",
      "GET / HTTP/9.9\r\n\r\n",
      "PUT /-/timetable HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999\r\n\r\n",
      "POST /plain/ HTTP/1.1\r\nHost: models.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      "POST /plain/ HTTP/1.1\r\nHost: models.example\r\nContent-Length: -5\r\n\r\n",
      "GET /" + std::string(100000, 'a') + " HTTP/1.1\r\n\r\n",
      "GET / HTTP/1.1\r\n" + std::string(20000, 'x') + ": y\r\n\r\n",
      std::string(70000, '\0'),
      TransportGreeting() + TransportMessage(""),
      TransportGreeting() + TransportMessage(RandomBytes(&random, 3)),
      TransportGreeting() + TransportMessage(RandomBytes(&random, 5000)),
      TransportGreeting() + std::string("\xff\xff\xff\xff\xff\xff\xff\xff", 8) + "x",
      TransportGreeting() + TransportMessage(std::string("\x12\x00\x1a\xff\xff\xff\xff\x0f", 8))};
  for (const std::size_t size : {1u, 8u, 64u, 1000u, 30000u}) pieces.push_back(RandomBytes(&random, size));
  return pieces;
}

TEST_CASE("Malformed bytes on any port crash no process", "[nonsense-bytes]") {
  Testbed testbed(3, 0, 2);
  REQUIRE(testbed.Found());
  System& system = testbed.system();
  const Dispatcher& target = system.dispatcher(0);
  for (const std::string& address : {target.front_address(), target.ready_address(), target.control_address(),
                                     target.internal_address()}) {
    for (const std::string& bytes : MalformedInputs()) {
      INFO(address << " after " << bytes.size() << " bytes");
      SendRaw(&system.loop(), address, bytes);
      REQUIRE(system.dispatcher(0).Running());
    }
  }
  REQUIRE(system.WaitReady(kTimeout));
  testbed.CheckServedEverywhere();
  CHECK(system.the_operator().Send(testbed.Patch(1, 2, "added"), kTimeout).status == 200);
  CHECK(testbed.CurrentEdition() == 2);
  CHECK(testbed.AllRunning());
  testbed.CheckNoViolations();
}

}  // namespace
}  // namespace lichenlug::standins::test
