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
messages::Configuration UsualConfiguration();

struct RunnerPlan {
  std::string id, service = "plain";
  std::vector<std::string> models;
};

class Testbed {
 public:
  explicit Testbed(const std::vector<RunnerPlan>& runners = {{.id = "r1", .models = {}}},
                   messages::Configuration configuration = UsualConfiguration(), bool install = true,
                   Time grace = 8 * kSecond, Time configuration_wait = 0);

  DataPlane& plane() { return *plane_; }
  Listening& runner(std::size_t at) { return *listening_[at]; }
  void CloseRunner(std::size_t at) { listening_[at]->Close(); }
  Socket Client() const { return Socket::ConnectTo(port_); }
  void Install(messages::Configuration configuration);
  void Load(std::size_t runner, const std::string& model);  // installs the default configuration, too
  std::size_t RunnerIndex(const std::string& runner_id) const;
  // Waits until one of the runners gets a connection; returns the connection and the runner's index.
  std::pair<Socket, std::size_t> AcceptAny();
  // Waits until the data plane's report satisfies the predicate; false: timed out.
  template <typename Fits>
  bool Await(Fits fits) {
    for (int tries = 0; tries < 1000; ++tries) {
      if (fits(plane_->TakeReport())) return true;
      Pause();
    }
    return false;
  }

 private:
  static void Pause();

  std::vector<RunnerPlan> plans_;
  std::vector<std::unique_ptr<Listening>> listening_;
  std::uint64_t revision_ = 0;
  std::uint16_t port_ = 0;
  std::unique_ptr<DataPlane> plane_;
};

std::string Get(std::string_view target, std::string_view id, std::string_view more = "");
std::string Post(std::string_view target, std::string_view id, std::string_view body,
                 std::string_view more = "");
// A runner's response with a stamp.
std::string Answer(int status, std::string_view id, std::string_view body, std::string_view more = "");
std::string NotRun(int status, std::string_view id, std::string_view more = "");
std::string StreamHead(std::string_view id, std::string_view stamp = "s1");
std::string Chunk(std::string_view bytes);
std::string Event(int id, std::string_view text);

}  // namespace lichenlug::dataplane::test
