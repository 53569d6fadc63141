// The watch on discovery: keeps one chunked answer open, reads the list and its changes from it, and asks
// again when it ends or falls silent. When to do so is WatchBackoff's.
//
// When discovery moves or the watch falls silent, the one that stands goes on until a new one speaks: between
// the two there is no time in which news could be missed.
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
  // `news` is called with what has come, or with null when a call failed or the watch was lost.
  Watch(asio::io_context& io, const asio::ip::tcp::endpoint& discovery, const rookgw::Site& site,
        std::uint64_t seed, RouteSet* routes, Deadlines* deadlines,
        std::function<void(const RouteNews*)> news);

  void Ask();  // does nothing while a watch stands, is asked for or is to be asked for again

  // Discovery is at another address now: asks there at once.
  void MoveTo(const asio::ip::tcp::endpoint& address);

 private:
  struct Call {  // one answer, asked for or standing
    std::shared_ptr<HttpConnection> connection;
    JsonStreamSplitter lines;
    Deadlines::Key alarm;
    bool good = false;   // answered 200
    bool begun = false;  // has said something, maybe no whole line
    Time since = 0;      // when it was asked for, then when it began to stand
    Time heard = 0;      // when its last line was whole
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
  const rookgw::Site& site_;  // outlives the watch
  asio::ip::tcp::endpoint address_;
  RouteSet* routes_;
  Deadlines* deadlines_;
  std::function<void(const RouteNews*)> news_;
  SlotTable<Call> calls_{3};
  Handle asked_,
      older_;        // no line has come yet; `older_` has waited for long, so `asked_` was begun beside it
  Handle standing_;  // the one that speaks
  Deadlines::Key again_;  // when to ask again
  bool silent_ = false;   // the one that stands has said nothing for too long
  WatchBackoff backoff_;
};

}  // namespace lichenlug
