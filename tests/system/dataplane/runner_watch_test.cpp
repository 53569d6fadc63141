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
  explicit Machine(bool answers) : listening_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (::bind(listening_, generic, size) != 0 || ::listen(listening_, answers ? 16 : 0) != 0 ||
        ::getsockname(listening_, generic, &size) != 0)
      throw std::runtime_error("no free port on the loopback interface");
    port_ = ntohs(address.sin_port);
    for (int i = 0; i < 8 && !answers; ++i) {
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

struct Watching {
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
  DelayEstimate connects{400 * kMillisecond, kSecond};
  RunnerWatch watch{io, &deadlines, &connects};
  std::vector<std::string> unreachable;
};

TEST_CASE("all waits for a machine that does not respond are notified within 1.4 s") {
  const Machine dark(false), sound(true);
  Watching watching;
  const auto first = watching.Wait(dark), second = watching.Wait(dark);
  const auto other = watching.Wait(sound, "r2");
  watching.RunFor(300 * kMillisecond);
  CHECK(watching.unreachable.empty());
  watching.RunFor(1100 * kMillisecond);
  CHECK(watching.unreachable == std::vector<std::string>{"r1", "r1"});
}

TEST_CASE("slow connections lengthen the wait for a machine") {
  const Machine dark(false);
  Watching watching;
  for (int time = 0; time < 8; ++time) watching.connects.Note(700 * kMillisecond);
  const auto wait = watching.Wait(dark);
  watching.RunFor(1150 * kMillisecond);  // 0.45 s of silence and more than the shortest wait
  CHECK(watching.unreachable.empty());
  watching.RunFor(900 * kMillisecond);
  CHECK(watching.unreachable == std::vector<std::string>{"r1"});
}

TEST_CASE("a silent runner on a machine that responds is not reported") {
  const Machine sound(true);
  Watching watching;
  const auto wait = watching.Wait(sound);
  watching.RunFor(2500 * kMillisecond);
  CHECK(watching.unreachable.empty());
}

TEST_CASE("a machine that refuses connections counts as responding") {
  std::optional<Machine> machine(std::in_place, true);
  const asio::ip::tcp::endpoint endpoint = machine->endpoint();
  machine.reset();
  Watching watching;
  const auto wait = watching.watch.Begin("r1", endpoint, [&] { watching.unreachable.push_back("r1"); });
  watching.RunFor(1500 * kMillisecond);
  CHECK(watching.unreachable.empty());
}

TEST_CASE("a runner that sends bytes is not probed") {
  const Machine dark(false);
  Watching watching;
  const auto wait = watching.Wait(dark);
  for (int i = 0; i < 15; ++i) {
    wait->Heard();
    watching.RunFor(100 * kMillisecond);
  }
  CHECK(watching.unreachable.empty());
}

TEST_CASE("a wait that has ended is not notified, even if it ends within a notification") {
  const Machine dark(false);
  Watching watching;
  auto gone = watching.Wait(dark);
  gone.reset();
  watching.RunFor(1500 * kMillisecond);
  CHECK(watching.unreachable.empty());
  std::vector<std::unique_ptr<RunnerWatch::Wait>> waits;
  int told = 0;
  for (int i = 0; i < 3; ++i)
    waits.push_back(watching.watch.Begin("r1", dark.endpoint(), [&] {
      ++told;
      waits.clear();
    }));
  watching.RunFor(1500 * kMillisecond);
  CHECK(told >= 1);
  CHECK(waits.empty());
}

}  // namespace
}  // namespace lichenlug::dataplane::test
