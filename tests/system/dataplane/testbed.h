// Test fixture: a data plane on loopback with fake runners.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "dataplane/data_plane.h"
#include "plain_socket.h"

namespace lichenlug::dataplane::test {

// Routes of host h.example: /safe/, /unsafe/, /stream/, /resume/, and /key/ (needs key k1 of tenant t1);
// /model/ goes to a service with an engine. /once/ allows one try, /short/ has a deadline of 150 ms.
messages::Configuration DefaultConfiguration();

struct RunnerSpec {
  std::string id, service = "plain";
  std::vector<std::string> models;
};

// Limits of the machine.
struct Machine {
  int descriptors = 4100;
  std::size_t memory_bytes = 260u << 20;
};

class Testbed {
 public:
  explicit Testbed(const std::vector<RunnerSpec>& runners = {{.id = "r1", .models = {}}},
                   messages::Configuration configuration = DefaultConfiguration(), bool install = true,
                   Time grace = 8 * kSecond, Time configuration_wait = 0, const Machine& machine = {});

  DataPlane& plane() { return *plane_; }
  ListeningSocket& runner(std::size_t index) { return *listeners_[index]; }
  void CloseRunner(std::size_t index) { listeners_[index]->Close(); }
  Socket Client() const { return Socket::ConnectTo(port_); }
  void Install(messages::Configuration configuration);
  void LoadModel(std::size_t runner, const std::string& model);  // installs the default configuration, too
  std::size_t RunnerIndex(const std::string& runner_id) const;
  // Waits until one of the runners gets a connection; returns the connection and the runner's index.
  std::pair<Socket, std::size_t> AcceptAny();
  // Waits until the data plane's report satisfies the predicate; false: timed out.
  template <typename Predicate>
  bool AwaitReport(Predicate predicate) {
    for (int tries = 0; tries < 1000; ++tries) {
      if (predicate(plane_->TakeReport())) return true;
      Pause();
    }
    return false;
  }

 private:
  static void Pause();

  std::vector<RunnerSpec> runner_specs_;
  std::vector<std::unique_ptr<ListeningSocket>> listeners_;
  std::uint64_t revision_ = 0;
  std::uint16_t port_ = 0;
  std::unique_ptr<DataPlane> plane_;
};

std::string Get(std::string_view target, std::string_view id, std::string_view extra_headers = "");
std::string Post(std::string_view target, std::string_view id, std::string_view body,
                 std::string_view extra_headers = "");
// A runner's response with a stamp.
std::string RunnerResponse(int status, std::string_view id, std::string_view body,
                           std::string_view extra_headers = "");
std::string NotRun(int status, std::string_view id, std::string_view extra_headers = "");
std::string StreamHead(std::string_view id, std::string_view stamp = "s1");  // of a chunked stream
// With a header that frames the stream; empty: it ends with its connection.
std::string StreamHeadWith(std::string_view framing, std::string_view id, std::string_view stamp = "s1");
std::string Chunk(std::string_view bytes);
std::string Event(int id, std::string_view text);

}  // namespace lichenlug::dataplane::test
