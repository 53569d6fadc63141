#include "testbed.h"

#include <iostream>

#include "lab/system/http_call.h"

namespace lichenlug::standins::test {

namespace {

constexpr Time kRawTimeout = 100 * kMillisecond;

SystemPlan Plan(int core, int diskless, int runners) {
  SystemPlan plan;
  plan.program = LICHENLUGD_PATH;
  plan.core = core;
  plan.diskless = diskless;
  plan.runners = runners;
  return plan;
}

}  // namespace

Testbed::Testbed(int core, int diskless, int runners) : Testbed(Plan(core, diskless, runners)) {}
Testbed::Testbed(const SystemPlan& plan) : system_(plan) {}

Testbed::~Testbed() {
  if (std::uncaught_exceptions() > 0) std::cerr << system_.Logs();
}

bool Testbed::Found() { return system_.Found(kTimeout); }

ClientRequest Testbed::Request(ClientKind kind, int events) const {
  ClientRequest request;
  request.kind = kind;
  request.path = std::string(kind == ClientKind::kPlain    ? sample::kPlainPath
                             : kind == ClientKind::kStream ? sample::kStreamPath
                                                           : sample::kResumePath) +
                 "test";
  request.model = sample::kBusyModel;
  request.key = sample::kKey;
  request.events = events;
  return request;
}

ClientResult Testbed::Send(const ClientRequest& request, std::size_t dispatcher) {
  ClientRequest sent = request;
  if (dispatcher != kNoDispatcher) sent.front_address = system_.dispatcher(dispatcher).front_address();
  ClientResult result;
  bool ended = false;
  system_.clients().Send(sent, [&](const ClientResult& completed) {
    result = completed;
    ended = true;
  });
  REQUIRE(RunUntil([&] { return ended; }));
  return result;
}

void Testbed::CheckServedEverywhere() {
  for (std::size_t dispatcher = 0; dispatcher < system_.dispatcher_count(); ++dispatcher) {
    if (!system_.dispatcher(dispatcher).settings().serves_clients) continue;
    for (const ClientKind kind : {ClientKind::kPlain, ClientKind::kStream, ClientKind::kResumable}) {
      const ClientResult result = Send(Request(kind), dispatcher);
      INFO("dispatcher " << dispatcher << ", kind " << static_cast<int>(kind) << ", status "
                         << result.status);
      CHECK(result.outcome == ClientResult::Outcome::kServed);
    }
  }
}

void Testbed::CheckNoViolations() {
  for (const std::string& what : system_.ledger().broken()) FAIL_CHECK(what);
}

bool Testbed::AllRunning() {
  for (std::size_t index = 0; index < system_.dispatcher_count(); ++index)
    if (!system_.dispatcher(index).Running()) return false;
  return true;
}

Change Testbed::Put(std::int64_t if_match, const Json& configuration) const {
  return {Change::Method::kPut, if_match, configuration.dump()};
}

Change Testbed::Patch(std::int64_t if_match, std::int64_t edition, const std::string& route) const {
  const Json body{{wire::kEdition, edition},
                  {"upsert", {{"routes", Json::array({sample::Route(route, "/" + route + "/", "safe")})}}}};
  return {Change::Method::kPatch, if_match, body.dump()};
}

std::int64_t Testbed::CurrentEdition() {
  const Json configuration = system_.the_operator().Read(kTimeout);
  return configuration.is_object() ? configuration.value(wire::kEdition, std::int64_t{0}) : 0;
}

Json RunnerHeartbeat() {
  return {{wire::kService, sample::kService},
          {"address", "127.0.0.1:9"},
          {wire::kZone, "east"},
          {wire::kEdition, "v1"},
          {wire::kSlots, 4},
          {wire::kCondition, "ready"},
          {"cold_ms", 0},
          {wire::kStage, "both"},
          {wire::kModels, Json::array()},
          {wire::kCallCount, 1}};
}

std::string SendRaw(Loop* loop, const std::string& address, std::string_view bytes) {
  asio::ip::tcp::socket socket(loop->io());
  std::error_code error;
  socket.connect(EndpointOf(address), error);
  if (error) return "";
  asio::write(socket, asio::buffer(bytes), error);
  std::string answer;
  bool ended = bool(error);
  std::array<char, 4096> buffer{};
  const std::function<void()> read = [&] {
    socket.async_read_some(asio::buffer(buffer), [&](std::error_code failure, std::size_t size) {
      if (failure == asio::error::operation_aborted) return;
      answer.append(buffer.data(), size);
      if (failure) ended = true;
      if (!failure) read();
    });
  };
  if (!ended) read();
  loop->RunUntil([&] { return ended; }, kRawTimeout);
  socket.close(error);
  loop->io().poll();  // runs the cancelled handler, which refers to this stack frame
  return answer;
}

}  // namespace lichenlug::standins::test
