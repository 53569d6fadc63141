// Stand-in discovery on real sockets: lists, watches with changes, lines that stay empty, 503 and ended
// watches while it is down. It tells each dispatcher the boxes' addresses as that dispatcher reaches them.
//
// It goes wrong on purpose: entries that are not so, watches that fall silent with their connection open,
// calls that are taken and never answered, late heartbeats.
#pragma once

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
  void SetDown(bool down);
  void Distort(int b, FleetFaultKind how, bool on);  // the entry of a box, as one of the kList faults says
  void Silence(int n);                               // the watches that stand now
  void Swallow(int n) { moods_[n].swallow = true; }  // its next call
  void SetLate(int n, Time late) { moods_[n].heartbeat_late = late; }
  std::string List(int n) const;  // the whole list as one line, as the configuration's `known` has it too

  std::uint64_t lists = 0, watches = 0;

 private:
  struct Entry {
    rookgw::ListedWorker::State state = rookgw::ListedWorker::State::kServing;
    Time since = 0;
  };
  struct Watcher {  // one write at a time; lines wait for the one before
    HttpServer::Connection connection;
    std::string due;
    bool writing = false;
    Time silent_since = 0;  // 0: it speaks
  };
  struct Mood {  // towards one dispatcher
    bool swallow = false;
    Time heartbeat_late = 0;
  };
  struct Distortion {
    bool address = false, zone = false, twice = false;
  };

  void Asked(int n, const HttpServer::Connection& from, const HttpMessage& message);
  void AddMember(int n, int b, nlohmann::json* members) const;
  void Publish(int b, const Entry& entry);
  void Missed(int n, int b, Time silent_since);
  void Line(int n, const std::string& line);
  void Flush(const std::shared_ptr<Watcher>& watcher);
  void Told(int n, int b);
  void KeepAlive();

  Deadlines* deadlines_;
  const Site& site_;
  Jobs* jobs_;
  Boxes* boxes_;
  Address reached_;
  KeptAddress nowhere_;                                          // nobody listens there
  std::vector<Mood> moods_;                                      // by dispatcher
  std::vector<Distortion> distortions_;                          // by box
  std::vector<std::unique_ptr<HttpServer>> servers_;             // one a dispatcher
  std::vector<std::vector<std::shared_ptr<Watcher>>> watchers_;  // by dispatcher
  std::vector<Entry> told_;                                      // what is on the list
  std::int64_t revision_ = 1;
  bool down_ = false;
  Time last_down_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lichenlug::lab
