// The watch on discovery: keeps one chunked answer open, reads the list and its changes from it line by line,
// and asks again, a little later each time, when it ends or falls silent.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "config/config.h"
#include "core/ports.h"
#include "discovery/route_set.h"
#include "net/deadlines.h"
#include "net/http_connection.h"

namespace lichenlug {

class Watch : public DiscoveryPort {
 public:
  // `news` is called with what has come, or with null when a call failed or the watch was lost.
  Watch(asio::io_context& io, const Config& config, RouteSet* routes, Deadlines* deadlines,
        std::function<void(const RouteNews*)> news);

  void Ask() override;  // does nothing while a watch stands, is asked for or is to be asked for again
  void Stop();

 private:
  void Call();
  void Piece(std::string_view bytes);
  void Line(std::string_view line);
  void Lost();
  void ExpectWithin(Time at);

  asio::io_context& io_;
  const Config& config_;
  RouteSet* routes_;
  Deadlines* deadlines_;
  std::function<void(const RouteNews*)> news_;
  std::shared_ptr<HttpConnection> connection_;
  std::string line_;
  Deadlines::Key alarm_;
  std::minstd_rand random_;
  bool good_ = false;
  int failures_ = 0;
};

}  // namespace lichenlug
