// Stand-in boxes on real sockets, round the laboratory's model of a box: they take jobs, run them in real
// time, call back, answer DELETEs and probes, die, vanish, drain and come back cold.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/deadlines.h"
#include "lab/fleet/http_server.h"
#include "lab/fleet/jobs.h"
#include "lab/model/box.h"

namespace lichenlug::lab {

class Boxes {
 public:
  // `call_back` gives where box `b` reaches dispatcher `n`.
  using Address = std::function<asio::ip::tcp::endpoint(int b, int n)>;

  Boxes(asio::io_context& io, Deadlines* deadlines, const Site& site, std::uint64_t seed, Jobs* jobs,
        Links* links, Address call_back);
  ~Boxes();

  int size() const { return static_cast<int>(machines_.size()); }
  const Box& box(int b) const { return machines_[b]->box; }
  const std::string& name(int b) const { return machines_[b]->name; }  // its id on the list
  asio::ip::tcp::endpoint address(int b) const { return machines_[b]->server->address(); }
  double Capacity() const;

  // Faults. `Back` starts a process at the same address, cold.
  void Kill(int b);
  void Mute(int b);
  void Drain(int b);
  void Back(int b);
  void Replace(int b);  // the same, by a machine with another id
  // A dispatcher has been told of a start, so that it can be held to the cold rule.
  void ToldStart(int n, int b, Time since) { told_start_[n][b] = since; }

  bool visitors = false;              // take jobs that no client of the rig handed in
  std::function<void(int b)> on_job;  // optional: an attempt's last byte has come
  std::uint64_t started = 0, turned_away = 0, toppled = 0, probes = 0, given_up = 0, call_backs_lost = 0;

 private:
  struct Attempt {
    std::uint64_t job = 0;
    int dispatcher = 0, number = -1;
    std::string call_id;
  };
  struct CallBacks {  // of one box to one dispatcher, told one after another, each until it is answered
    std::deque<std::pair<std::string, int>> due;  // what to say, and how often it was tried
    HttpServer::Connection connection;
    bool busy = false;
  };
  struct ColdWork {
    Time at;
    double work;
    bool told;
  };
  struct Machine {
    Box box;
    std::string name;
    std::unique_ptr<HttpServer> server;
    std::unordered_map<std::uint64_t, Attempt> attempts;  // by the model's number
    std::unordered_map<std::string, std::uint64_t> by_call_id;
    std::vector<CallBacks> call_backs;
    std::deque<ColdWork> cold_work;
    Deadlines::Key alarm;
  };

  void Asked(int b, const HttpServer::Connection& from, const HttpMessage& message);
  void TakeJob(int b, const HttpServer::Connection& from, const HttpMessage& message);
  void NewsCame(int b, std::vector<BoxNews> news);
  void EndAttempt(int b, std::uint64_t id, rookgw::Outcome outcome);
  void Stop(int b, Box::Life life);
  void Arm(int b);
  bool PushedOver(int b, const Jobs::Job& job);
  void Tell(int b, int n, std::string what);
  void TellNext(int b, int n);
  void TellFailed(int b, int n);

  asio::io_context& io_;
  Deadlines* deadlines_;
  const Site& site_;
  Jobs* jobs_;
  Links* links_;
  Address call_back_;
  Random random_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::vector<std::unordered_map<int, Time>> told_start_;  // by dispatcher: boxes' starts
  std::uint64_t next_attempt_ = 1;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lichenlug::lab
