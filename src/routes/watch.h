// The watch on discovery: keeps one chunked response open, reads the list of runners and its changes from it,
// and reconnects when it ends or falls silent. WatchBackoff decides when.
//
// When discovery moves or the watch falls silent, the established watch stays open until a new one delivers
// its first line, so that there is no gap in which updates could be missed.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/deadlines.h"
#include "base/slots.h"
#include "decisions/settings.h"
#include "net/http_connection.h"
#include "routes/news_lines.h"
#include "routes/route_set.h"
#include "routes/watch_backoff.h"

namespace lichenlug {

class Watch {
 public:
  // `news` is called with each update, or with null when a call failed or the watch was lost.
  Watch(asio::io_context& io, const asio::ip::tcp::endpoint& discovery, const rookgw::Site& site,
        std::uint64_t seed, RouteSet* routes, Deadlines* deadlines,
        std::function<void(const RouteNews*)> news);

  void Ask();  // does nothing while a watch is established, being established or scheduled

  // Discovery has a new address: connects to it at once.
  void MoveTo(const asio::ip::tcp::endpoint& address);

 private:
  struct Call {  // one watch request, pending or established
    std::shared_ptr<HttpConnection> connection;
    JsonStreamSplitter lines;
    Deadlines::Key alarm;
    bool good = false;   // the status is 200
    bool begun = false;  // bytes of the body have arrived, maybe not a whole line
    Time since = 0;      // when it was requested, later when it was established
    Time heard = 0;      // when its last line was completed
  };

  enum class Loss { kNoAnswer, kOverloaded, kNoDescriptor };

  void Begin();
  void Connected(Handle handle);
  void Piece(Handle handle, std::string_view bytes);
  bool Line(Handle handle, std::string_view object);
  bool News(std::string_view object);
  void Unheard(Handle handle);
  void Silent(Handle handle);
  void Lost(Handle handle, Loss how = Loss::kNoAnswer);
  void AskAt(Time at);
  void End(Handle handle);

  asio::io_context& io_;
  const rookgw::Site& site_;  // must outlive the watch
  asio::ip::tcp::endpoint address_;
  RouteSet* routes_;
  Deadlines* deadlines_;
  std::function<void(const RouteNews*)> news_;
  SlotTable<Call> calls_{3};
  Handle asked_, older_;  // no line yet; `older_` has waited for so long that `asked_` was started as a hedge
  Handle standing_;       // the established watch
  Deadlines::Key again_;  // when to connect again
  bool silent_ = false;   // the established watch has missed its heartbeat
  WatchBackoff backoff_;
};

}  // namespace lichenlug
