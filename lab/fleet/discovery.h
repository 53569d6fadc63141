// Stand-in discovery on real sockets: lists, watches with changes, lines that stay empty, 503 and ended
// watches while it is down. It tells each dispatcher the boxes' addresses as that dispatcher reaches them.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "base/deadlines.h"
#include "lab/fleet/boxes.h"

namespace lichenlug::lab {

class Discovery {
 public:
  using Address = std::function<asio::ip::tcp::endpoint(int n, int b)>;

  Discovery(asio::io_context& io, Deadlines* deadlines, const Site& site, Jobs* jobs, Boxes* boxes,
            Address reached);
  ~Discovery();

  asio::ip::tcp::endpoint address(int n) const { return servers_[n]->address(); }
  // A box is in this state from now on; dispatchers hear of it after the site's notice.
  void Changed(int b, rookgw::ListedWorker::State state, Time notice);
  // The box's entry leaves the list and one with its new id comes, in one change.
  void Replaced(int b);
  void SetDown(bool down);            // 503, and watches end
  void SetListening(bool listening);  // or not: watches end, calls are refused
  std::string List(int n) const;      // the whole list as one line, as the configuration's `known` has it too

  // How calls are served: one after another, each for so long, and 503 after so long a wait; 0: at once.
  Time call_takes = 0, call_timeout = 0;
  std::vector<int> calls_to_lose;  // by dispatcher: so many are taken and never answered
  std::vector<Time> listed_at;     // by dispatcher: when the list was last written to it
  std::uint64_t lists = 0, watches = 0;

 private:
  struct Entry {
    rookgw::ListedWorker::State state = rookgw::ListedWorker::State::kServing;
    Time since = 0;
    std::string name;
  };
  struct Call {
    int n = 0;
    HttpServer::Connection from;
    bool watch = false;
    Time by = 0;  // then it has waited too long
  };
  struct Watcher {  // one write at a time; lines wait for the one before
    HttpServer::Connection connection;
    std::string due;
    bool writing = false;
  };

  void Asked(int n, const HttpServer::Connection& from, const HttpMessage& message);
  void Answer(const Call& call);
  void Serve();
  void EndWatches();
  nlohmann::json Member(int n, int b) const;
  void Publish(int b, const Entry& entry);
  void Line(int n, const std::string& line);
  void Flush(const std::shared_ptr<Watcher>& watcher);
  void Told(int n, int b);
  void KeepAlive();

  Deadlines* deadlines_;
  const Site& site_;
  Jobs* jobs_;
  Boxes* boxes_;
  Address reached_;
  std::vector<std::unique_ptr<HttpServer>> servers_;             // one a dispatcher
  std::vector<std::vector<std::shared_ptr<Watcher>>> watchers_;  // by dispatcher
  std::vector<Entry> told_;                                      // what is on the list
  std::deque<Call> calls_;                                       // that wait
  std::int64_t revision_ = 1;
  bool down_ = false, serving_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lichenlug::lab
