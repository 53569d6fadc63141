#include "routes/watch.h"

#include <algorithm>
#include <cerrno>
#include <nlohmann/json.hpp>
#include <utility>

namespace lichenlug {
Watch::Watch(asio::io_context& io, const asio::ip::tcp::endpoint& discovery, const rookgw::Site& site,
             std::uint64_t seed, RouteSet* routes, Deadlines* deadlines,
             std::function<void(const RouteNews*)> news)
    : io_(io),
      site_(site),
      address_(discovery),
      routes_(routes),
      deadlines_(deadlines),
      news_(std::move(news)),
      backoff_(site.settings.instances, !site.settings.list_on_request, site.settings.poll_interval, seed) {}

void Watch::Ask() {
  if (!asked_ && !standing_ && again_ == Deadlines::Key{}) Begin();
}

void Watch::MoveTo(const asio::ip::tcp::endpoint& address) {
  if (std::exchange(address_, address) == address) return;
  backoff_.Hurry();
  End(asked_), End(older_);
  silent_ = false;  // the new call goes on even if the established watch delivers a heartbeat again
  Begin();
}

void Watch::Begin() {
  deadlines_->Remove(&again_);
  Call fresh;
  fresh.connection =
      std::make_shared<HttpConnection>(asio::ip::tcp::socket(io_), HttpConnection::Side::kClient);
  const auto connection = fresh.connection;
  const Handle handle = asked_ = calls_.Insert(std::move(fresh));
  const auto lost = [this, handle] { Lost(handle); };
  deadlines_->Move(&calls_.Find(handle)->alarm, backoff_.ConnectBy(deadlines_->Now()), lost);
  HttpConnection::Events events;
  events.on_head = [this, handle](const HttpMessage& head) {
    if (Call* call = calls_.Find(handle)) call->good = head.status == 200;
  };
  events.on_body_chunk = [this, handle](std::string_view bytes) { Piece(handle, bytes); };
  events.on_message = [this, handle](const HttpMessage& answer) {
    Lost(handle, answer.status == 503 ? Loss::kOverloaded : Loss::kNoAnswer);
  };
  events.on_end = [lost](HttpConnection::End) { lost(); };
  connection->SetEvents(std::move(events));
  connection->Connect(address_, [this, handle](std::error_code error) {
    const bool full = error.value() == EMFILE || error.value() == ENFILE;  // no descriptor left
    if (error) return Lost(handle, full ? Loss::kNoDescriptor : Loss::kNoAnswer);
    Connected(handle);
  });
}

void Watch::Connected(Handle handle) {
  Call* call = calls_.Find(handle);
  call->since = deadlines_->Now();
  deadlines_->Move(&call->alarm, backoff_.FirstLineBy(call->since), [this, handle] { Unheard(handle); });
  const auto connection = call->connection;
  connection->Start();
  const std::string host = address_.address().to_string() + ":" + std::to_string(address_.port());
  const std::string target = "/api/targets?watch=1&from=" + std::to_string(routes_->revision());
  connection->Write(FormatRequest("GET", target, host, {}, ""), [this, handle](std::error_code bad) {
    if (bad) Lost(handle);
  });
}

void Watch::Piece(Handle handle, std::string_view bytes) {
  Call* call = calls_.Find(handle);
  if (call == nullptr || !call->good) return;
  if (!std::exchange(call->begun, true))
    deadlines_->Move(&call->alarm, backoff_.WholeLineBy(call->alarm.first, deadlines_->Now()),
                     [this, handle] { Unheard(handle); });
  if (!call->lines.Add(bytes, [this, handle](std::string_view object) { return Line(handle, object); }))
    Lost(handle);
}

// Handles a complete line; an empty one is a heartbeat. Only complete lines count as a sign of life: bytes
// that never form a line could arrive forever.
bool Watch::Line(Handle handle, std::string_view object) {
  if (!object.empty() && !News(object)) return false;
  // A heartbeat means that nothing has changed; as long as no list is known, one has to arrive first.
  if (object.empty() && handle != standing_ && routes_->empty()) return true;
  Call* call = calls_.Find(handle);
  if (call == nullptr) return false;
  call->heard = deadlines_->Now();
  if (handle != standing_) {  // this watch replaces all others
    for (const Handle other : {standing_, asked_, older_})
      if (other != handle) End(other);
    standing_ = handle, asked_ = older_ = {};
    deadlines_->Remove(&again_);
    call->since = call->heard;
  } else if (std::exchange(silent_, false)) {
    backoff_.HeartbeatLate();
    deadlines_->Remove(&again_);
  }
  deadlines_->Move(&call->alarm, backoff_.HeartbeatBy(call->heard), [this, handle] { Silent(handle); });
  return true;
}

// Returns false if the update can't be used; the watch is then restarted from the last known revision.
bool Watch::News(std::string_view object) {
  RouteNews news;
  try {
    news = ParseRouteNews(nlohmann::json::parse(object, nullptr, false), site_);
  } catch (const std::exception&) {
    return false;
  }
  // Revisions of patches increase; after a restart of discovery it sends a complete list.
  if (!news.complete && news.revision < routes_->revision()) return false;
  backoff_.Succeeded();
  routes_->Apply(news);
  news_(&news);
  return true;
}

// The call may be waiting in discovery's queue or be lost: it is kept while a second call is made as a hedge,
// but not any longer.
void Watch::Unheard(Handle handle) {
  if (handle != asked_ || !backoff_.Hedge()) return Lost(handle);
  End(older_);
  older_ = asked_;
  deadlines_->Move(&calls_.Find(handle)->alarm, deadlines_->Now() + WatchBackoff::kHedgeDelay,
                   [this, handle] { Lost(handle); });
  Begin();
}

// The established watch may be broken, or its heartbeat late: it stays open while a new one is requested.
void Watch::Silent(Handle handle) {
  const Call* call = calls_.Find(handle);
  if (asked_ || again_ != Deadlines::Key{}) return;
  silent_ = true;
  AskAt(backoff_.HeartbeatMissed(call->heard, deadlines_->Now()));
}

void Watch::Lost(Handle handle, Loss how) {
  const Call* call = calls_.Find(handle);
  if (call == nullptr) return;
  const Time now = deadlines_->Now(), lasted = now - call->since;
  const bool stood = handle == standing_;
  End(handle);
  if (!asked_ && again_ == Deadlines::Key{})
    AskAt(now + (stood                        ? backoff_.Ended(lasted)
                 : how == Loss::kOverloaded   ? backoff_.Overloaded(lasted)
                 : how == Loss::kNoDescriptor ? backoff_.NoDescriptor()
                                              : backoff_.Failed()));
  if (!standing_) news_(nullptr);
}

void Watch::AskAt(Time at) {
  deadlines_->Move(&again_, at, [this] {
    again_ = {};
    Begin();
  });
}

void Watch::End(Handle handle) {
  Call* call = calls_.Find(handle);
  if (call == nullptr) return;
  deadlines_->Remove(&call->alarm);
  call->connection->Close();
  calls_.Erase(handle);
  if (asked_ == handle) asked_ = {};
  if (older_ == handle) older_ = {};
  if (standing_ == handle) standing_ = {}, silent_ = false;
}

}  // namespace lichenlug
