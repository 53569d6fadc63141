// Watches a run for the rules, from outside: it is told what each dispatcher was told and did, and what
// ran where. It shares no code with the decisions and decides nothing itself.
//
//   1  every request that a living dispatcher took has one final answer, in time
//   2  nothing that may have run is repeated or refused where its class forbids it, no two attempts overlap
//   3  nothing is sent to a draining or gone box later than the grace after the dispatcher was told
//   4  no cold box is pushed over by those who knew that it had started
//   5  each call-back is answered with 200 or 204, and none changes the answer of a job that it has no part
//   in
//
// It keeps the first breach of each rule with the request's whole history.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/model/site.h"

namespace lichenlug::lab {

struct Breach {
  int rule = 0;
  Time at = 0;
  int dispatcher = -1;
  std::string box, what;
  std::vector<std::string> history;
};

class Checker {
 public:
  explicit Checker(const Site& site);

  void Told(Time now, int dispatcher, int box, rookgw::ListedWorker::State state);
  void Restarted(int dispatcher);  // it knows nothing any more and owes nothing
  Time Wakes(int dispatcher) const { return wakes_[dispatcher]; }  // the end of its last pause
  // It can do nothing until then: what it owes and what it is told counts from its waking.
  void Paused(Time now, int dispatcher, Time until);

  void Took(Time now, int dispatcher, std::uint64_t request, int cls, Time answer_by);
  void Sent(Time now, std::uint64_t request, int attempt, int box, int zone, int cell);
  void Ended(Time now, std::uint64_t request, int attempt, rookgw::Outcome outcome);
  enum class Answer { kServed, kRefused, kFailed, kClientGone };
  void Answered(Time now, std::uint64_t request, Answer answer);
  void Ran(Time now, std::uint64_t job, std::uint64_t request, int cls, int box, int zone, int cell);
  void Toppled(Time now, int box, double told_share);
  void CallBackAnswered(Time now, int dispatcher, int box, int status);
  void Misled(Time now, std::uint64_t request, const std::string& what);  // by a call-back of no part in it
  void Finish(Time now);                                                  // all is over: nothing may be owed

  const std::map<int, Breach>& first() const { return first_; }  // by rule
  const std::map<int, std::uint64_t>& count() const { return count_; }
  std::uint64_t checks() const { return checks_; }  // to see that there was something to check

 private:
  struct Attempt {
    int box = 0, zone = 0, cell = 0;
    Time sent = 0;
    bool over = false, never_ran = false;
  };
  struct Step {  // worded only when a rule breaks: there are millions of requests
    enum class Kind : std::uint8_t { kTook, kSent, kEnded, kAnswered };
    Time at = 0;
    Kind kind = Kind::kTook;
    int number = 0, what = 0;
  };
  struct Request {
    int dispatcher = 0, cls = 0;
    Time answer_by = 0;
    bool answered = false;
    std::vector<Attempt> attempts;
    std::vector<Step> history;
  };
  struct Run {
    int zone = 0, cell = 0, count = 0;
    Time first = 0;
  };

  void Break(int rule, Time now, const Request* request, int box, const std::string& what);
  std::string Worded(const Request& request, const Step& step) const;

  const Site& site_;
  std::unordered_map<std::uint64_t, Request> requests_;
  std::unordered_map<std::uint64_t, Run> runs_;  // of jobs that may not run freely
  std::vector<std::unordered_map<int, Time>>
      away_;                 // by dispatcher: boxes told as draining or gone, since when
  std::vector<Time> wakes_;  // by dispatcher: the end of its last pause
  std::map<int, Breach> first_;
  std::map<int, std::uint64_t> count_;
  std::uint64_t checks_ = 0;
};

}  // namespace lichenlug::lab
