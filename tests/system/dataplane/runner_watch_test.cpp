// Detection of machines that do not respond, as distinct from runners that are only silent.
#include "dataplane/runner_watch.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace lichenlug::dataplane::test {
namespace {

// A listener on loopback. With a full accept queue it responds to no new connection, like a machine without
// power.
class Machine {
 public:
  explicit Machine(bool responds) : listening_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (::bind(listening_, generic, size) != 0 || ::listen(listening_, responds ? 16 : 0) != 0 ||
        ::getsockname(listening_, generic, &size) != 0)
      throw std::runtime_error("no free port on the loopback interface");
    port_ = ntohs(address.sin_port);
    for (int i = 0; i < 8 && !responds; ++i) {
      fillers_.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      ::connect(fillers_.back(), generic, size);
    }
  }
  ~Machine() {
    for (const int filler : fillers_) ::close(filler);
    ::close(listening_);
  }
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  asio::ip::tcp::endpoint endpoint() const { return {asio::ip::address_v4::loopback(), port_}; }

 private:
  int listening_;
  std::vector<int> fillers_;
  std::uint16_t port_ = 0;
};

struct WatchFixture {
  void RunFor(Time span) {
    Deadlines::Key key = deadlines.Add(deadlines.Now() + span, [this] { io.stop(); });
    io.restart();
    io.run();
    deadlines.Remove(&key);
  }
  std::unique_ptr<RunnerWatch::Wait> Wait(const Machine& machine, const std::string& id = "r1") {
    return watch.Begin(id, machine.endpoint(), [this, id] { unreachable.push_back(id); });
  }

  asio::io_context io{1};
  Clock clock;
  Deadlines deadlines{io, clock};
  DelayEstimate connect_delays{400 * kMillisecond, kSecond};
  RunnerWatch watch{io, &deadlines, &connect_delays};
  std::vector<std::string> unreachable;
};

TEST_CASE("all waits for a machine that does not respond are notified within 1.4 s") {
  const Machine unreachable_machine(false), healthy_machine(true);
  WatchFixture fixture;
  const auto first = fixture.Wait(unreachable_machine), second = fixture.Wait(unreachable_machine);
  const auto other = fixture.Wait(healthy_machine, "r2");
  fixture.RunFor(300 * kMillisecond);
  CHECK(fixture.unreachable.empty());
  fixture.RunFor(1100 * kMillisecond);
  CHECK(fixture.unreachable == std::vector<std::string>{"r1", "r1"});
}

TEST_CASE("slow connections lengthen the wait for a machine") {
  const Machine unreachable_machine(false);
  WatchFixture fixture;
  for (int time = 0; time < 8; ++time) fixture.connect_delays.Note(700 * kMillisecond);
  const auto wait = fixture.Wait(unreachable_machine);
  fixture.RunFor(1150 * kMillisecond);  // 0.45 s of silence and more than the shortest wait
  CHECK(fixture.unreachable.empty());
  fixture.RunFor(900 * kMillisecond);
  CHECK(fixture.unreachable == std::vector<std::string>{"r1"});
}

TEST_CASE("a silent runner on a machine that responds is not reported") {
  const Machine healthy_machine(true);
  WatchFixture fixture;
  const auto wait = fixture.Wait(healthy_machine);
  fixture.RunFor(2500 * kMillisecond);
  CHECK(fixture.unreachable.empty());
}

TEST_CASE("a machine that refuses connections counts as responding") {
  std::optional<Machine> machine(std::in_place, true);
  const asio::ip::tcp::endpoint endpoint = machine->endpoint();
  machine.reset();
  WatchFixture fixture;
  const auto wait = fixture.watch.Begin("r1", endpoint, [&] { fixture.unreachable.push_back("r1"); });
  fixture.RunFor(1500 * kMillisecond);
  CHECK(fixture.unreachable.empty());
}

TEST_CASE("a runner that sends bytes is not probed") {
  const Machine unreachable_machine(false);
  WatchFixture fixture;
  const auto wait = fixture.Wait(unreachable_machine);
  for (int i = 0; i < 15; ++i) {
    wait->OnBytes();
    fixture.RunFor(100 * kMillisecond);
  }
  CHECK(fixture.unreachable.empty());
}

TEST_CASE("a wait that has ended is not notified, even if it ends within a notification") {
  const Machine unreachable_machine(false);
  WatchFixture fixture;
  auto ended_wait = fixture.Wait(unreachable_machine);
  ended_wait.reset();
  fixture.RunFor(1500 * kMillisecond);
  CHECK(fixture.unreachable.empty());
  std::vector<std::unique_ptr<RunnerWatch::Wait>> waits;
  int notified = 0;
  for (int i = 0; i < 3; ++i)
    waits.push_back(fixture.watch.Begin("r1", unreachable_machine.endpoint(), [&] {
      ++notified;
      waits.clear();
    }));
  fixture.RunFor(1500 * kMillisecond);
  CHECK(notified >= 1);
  CHECK(waits.empty());
}

}  // namespace
}  // namespace lichenlug::dataplane::test
