// Tells a machine that has vanished from a runner that is only silent: while attempts wait and nothing comes
// of their runner, it is asked for a connection. A kernel answers that at once, also beside a busy runner; a
// machine that is dark or cut off does not.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "base/deadlines.h"
#include "base/delay_estimate.h"

namespace lichenlug::dataplane {

class RunnerWatch {
 private:
  struct Runner;

 public:
  // An attempt that waits for bytes of a runner, until it is destroyed.
  class Wait {
   public:
    Wait(std::shared_ptr<Runner> runner, std::function<void()> unreachable);
    ~Wait();
    Wait(const Wait&) = delete;
    Wait& operator=(const Wait&) = delete;

    void Heard();  // bytes came

   private:
    friend class RunnerWatch;

    std::shared_ptr<Runner> runner_;
    std::function<void()> unreachable_;
  };

  // `connects`: how long connections to runners take to come up. Where this machine's own link is full all of
  // them are late, which says nothing of one runner's machine. Outlives the watch, which notes its own
  // connections there, too.
  RunnerWatch(asio::io_context& io, Deadlines* deadlines, DelayEstimate* connects);
  ~RunnerWatch();

  // `unreachable` is called if the runner's machine does not answer; it may destroy any of the waits.
  std::unique_ptr<Wait> Begin(const std::string& runner_id, const asio::ip::tcp::endpoint& endpoint,
                              std::function<void()> unreachable);

 private:
  enum class Probe { kNone, kConnecting, kAnswered };
  struct Runner {
    std::string id;
    asio::ip::tcp::endpoint endpoint;
    std::set<Wait*> waits;
    bool heard = false;   // since the last look
    int quiet_looks = 0;  // in a row
    Probe probe = Probe::kNone;
    int probe_looks = 0;  // since it was asked
    Time asked_at = 0;
    std::unique_ptr<asio::ip::tcp::socket> socket;
  };

  void Arm();
  void Look();
  void LookAt(const std::shared_ptr<Runner>& runner);
  bool AnswerIsMissing(const Runner& runner) const;
  void Ask(const std::shared_ptr<Runner>& runner);
  static void TellUnreachable(Runner* runner);

  asio::io_context& io_;
  Deadlines* deadlines_;
  DelayEstimate* connects_;
  std::unordered_map<std::string, std::shared_ptr<Runner>> runners_;  // those that are waited for
  Deadlines::Key next_look_;
  Time look_due_ = 0;
};

}  // namespace lichenlug::dataplane
