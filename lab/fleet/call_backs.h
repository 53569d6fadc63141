// What boxes tell dispatchers of their jobs: each word in its turn, tried until it is answered; and, by the
// shares that the fleet file names, words that come twice, late, of another runner's name or of no known id.
//
// Guards against: a dispatcher that takes any word for the end of any attempt. A false word is made where no
// true one can be mistaken for it: what was said in the name of a runner that gets the job later is not
// judged.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "base/deadlines.h"
#include "lab/fleet/http_server.h"
#include "lab/fleet/jobs.h"

namespace lichenlug::lab {

struct CallBackFigures {
  std::uint64_t told = 0, lost = 0, early = 0, late = 0, twice = 0, wrong = 0, unknown = 0;
};

class CallBacks {
 public:
  using Address =
      std::function<asio::ip::tcp::endpoint(int b, int n)>;  // where box `b` reaches dispatcher `n`
  using Holds = std::function<bool(int b, const std::string& call_id)>;

  CallBacks(asio::io_context& io, Deadlines* deadlines, const CallBackFaults& faults, std::uint64_t seed,
            int boxes, int dispatchers, Jobs* jobs, Address address, Holds holds);
  ~CallBacks();

  void Tell(int b, int n, const std::string& call_id, const nlohmann::json& word);
  // A job was taken. Gives how long its 202 waits, so that words come before it.
  Time Taken(int b, const Jobs::Job& job, const std::string& call_id);
  void GivenUp(int b, Jobs::Job* job, const std::string& call_id);
  const CallBackFigures& figures() const { return figures_; }

 private:
  struct Word {
    std::string text, call_id;
    int tries = 0;
  };
  struct Way {  // of one box to one dispatcher
    std::deque<Word> due;
    HttpServer::Connection connection;
    bool busy = false;
  };

  Way& Of(int b, int n) { return ways_[b * dispatchers_ + n]; }
  void Next(int b, int n);
  void Send(int b, int n);
  void Failed(int b, int n);
  void Answered(int b, int n, int status);
  // Once, on a connection of its own, unless the box holds the job then: it would be taken for a word of
  // that.
  void Stray(int b, int n, Time wait, const std::string& call_id, std::string text);
  void SendStray(int b, int n, const std::string& text);
  void ClaimFalsely(int b, const Jobs::Job& job, const std::string& call_id);

  asio::io_context& io_;
  Deadlines* deadlines_;
  const CallBackFaults& faults_;
  const int boxes_, dispatchers_;
  Jobs* jobs_;
  Address address_;
  Holds holds_;
  Random random_;
  std::vector<Way> ways_;
  CallBackFigures figures_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lichenlug::lab
