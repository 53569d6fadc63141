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
#include "routes/json_stream_splitter.h"
#include "routes/runner_registry.h"
#include "routes/watch_backoff.h"

namespace lichenlug {

class Watch {
 public:
  // `on_update` is called with each update, or with null when a call failed or the watch was lost.
  Watch(asio::io_context& io, const asio::ip::tcp::endpoint& discovery, const rookgw::Site& site,
        std::uint64_t seed, RunnerRegistry* registry, Deadlines* deadlines,
        std::function<void(const RunnerListUpdate*)> on_update);

  void RequestList();  // does nothing while a watch is established, being established or scheduled

  // Discovery has a new address: connects to it at once.
  void MoveTo(const asio::ip::tcp::endpoint& address);

 private:
  struct Call {  // one watch request, pending or established
    std::shared_ptr<HttpConnection> connection;
    JsonStreamSplitter parser;
    Deadlines::Key alarm;
    bool accepted = false;   // the status is 200
    bool receiving = false;  // bytes of the body have arrived, maybe not a whole line
    Time started = 0;        // when it was requested, later when it was established
    Time last_line = 0;      // when its last line was completed
  };

  enum class Loss { kNoResponse, kOverloaded, kNoDescriptor };

  void StartCall();
  void OnConnected(Handle handle);
  void OnBytes(Handle handle, std::string_view bytes);
  bool OnLine(Handle handle, std::string_view object);
  bool ApplyUpdate(std::string_view object);
  void OnLineTimeout(Handle handle);
  void OnSilence(Handle handle);
  void OnLost(Handle handle, Loss loss = Loss::kNoResponse);
  void RetryAt(Time at);
  void DropCall(Handle handle);

  asio::io_context& io_;
  const rookgw::Site& site_;  // must outlive the watch
  asio::ip::tcp::endpoint address_;
  RunnerRegistry* registry_;
  Deadlines* deadlines_;
  std::function<void(const RunnerListUpdate*)> on_update_;
  SlotTable<Call> calls_{3};
  // No line has arrived yet; `hedged_` has waited for so long that `pending_` was started as a hedge.
  Handle pending_, hedged_;
  Handle established_;          // the established watch
  Deadlines::Key retry_timer_;  // when to connect again
  bool silent_ = false;         // the established watch has missed its heartbeat
  WatchBackoff backoff_;
};

}  // namespace lichenlug
