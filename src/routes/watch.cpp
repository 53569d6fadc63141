#include "routes/watch.h"

#include <algorithm>
#include <cerrno>
#include <nlohmann/json.hpp>
#include <utility>

namespace lichenlug {
Watch::Watch(asio::io_context& io, const asio::ip::tcp::endpoint& discovery, const rookgw::Site& site,
             std::uint64_t seed, RunnerRegistry* registry, Deadlines* deadlines,
             std::function<void(const RunnerListUpdate*)> on_update)
    : io_(io),
      site_(site),
      address_(discovery),
      registry_(registry),
      deadlines_(deadlines),
      on_update_(std::move(on_update)),
      backoff_(site.settings.instances, !site.settings.list_on_request, site.settings.poll_interval, seed) {}

void Watch::RequestList() {
  if (!pending_ && !established_ && retry_timer_ == Deadlines::Key{}) StartCall();
}

void Watch::MoveTo(const asio::ip::tcp::endpoint& address) {
  if (std::exchange(address_, address) == address) return;
  backoff_.DiscoveryMoved();
  DropCall(pending_), DropCall(hedged_);
  silent_ = false;  // the new call goes on even if the established watch delivers a heartbeat again
  StartCall();
}

void Watch::StartCall() {
  deadlines_->Remove(&retry_timer_);
  Call new_call;
  new_call.connection =
      std::make_shared<HttpConnection>(asio::ip::tcp::socket(io_), HttpConnection::Side::kClient);
  const auto connection = new_call.connection;
  const Handle handle = pending_ = calls_.Insert(std::move(new_call));
  const auto lost = [this, handle] { OnLost(handle); };
  deadlines_->Move(&calls_.Find(handle)->alarm, backoff_.ConnectDeadline(deadlines_->Now()), lost);
  HttpConnection::Events events;
  events.on_head = [this, handle](const HttpMessage& head) {
    if (Call* call = calls_.Find(handle)) call->accepted = head.status == 200;
  };
  events.on_body_chunk = [this, handle](std::string_view bytes) { OnBytes(handle, bytes); };
  events.on_message = [this, handle](const HttpMessage& answer) {
    OnLost(handle, answer.status == 503 ? Loss::kOverloaded : Loss::kNoResponse);
  };
  events.on_end = [lost](HttpConnection::End) { lost(); };
  connection->SetEvents(std::move(events));
  connection->Connect(address_, [this, handle](std::error_code error) {
    const bool no_descriptor = error.value() == EMFILE || error.value() == ENFILE;
    if (error) return OnLost(handle, no_descriptor ? Loss::kNoDescriptor : Loss::kNoResponse);
    OnConnected(handle);
  });
}

void Watch::OnConnected(Handle handle) {
  Call* call = calls_.Find(handle);
  call->started = deadlines_->Now();
  deadlines_->Move(&call->alarm, backoff_.FirstLineDeadline(call->started),
                   [this, handle] { OnLineTimeout(handle); });
  const auto connection = call->connection;
  connection->Start();
  const std::string host = address_.address().to_string() + ":" + std::to_string(address_.port());
  const std::string target = "/api/targets?watch=1&from=" + std::to_string(registry_->revision());
  connection->Write(FormatRequest("GET", target, host, {}, ""), [this, handle](std::error_code write_error) {
    if (write_error) OnLost(handle);
  });
}

void Watch::OnBytes(Handle handle, std::string_view bytes) {
  Call* call = calls_.Find(handle);
  if (call == nullptr || !call->accepted) return;
  if (!std::exchange(call->receiving, true))
    deadlines_->Move(&call->alarm, backoff_.WholeLineDeadline(call->alarm.first, deadlines_->Now()),
                     [this, handle] { OnLineTimeout(handle); });
  if (!call->parser.Add(bytes, [this, handle](std::string_view object) { return OnLine(handle, object); }))
    OnLost(handle);
}

// Handles a complete line; an empty one is a heartbeat. Only complete lines count as a sign of life: bytes
// that never form a line could arrive forever.
bool Watch::OnLine(Handle handle, std::string_view object) {
  if (!object.empty() && !ApplyUpdate(object)) return false;
  // A heartbeat means that nothing has changed; as long as no list is known, one has to arrive first.
  if (object.empty() && handle != established_ && registry_->empty()) return true;
  Call* call = calls_.Find(handle);
  if (call == nullptr) return false;
  call->last_line = deadlines_->Now();
  if (handle != established_) {  // this watch replaces all others
    for (const Handle other : {established_, pending_, hedged_})
      if (other != handle) DropCall(other);
    established_ = handle, pending_ = hedged_ = {};
    deadlines_->Remove(&retry_timer_);
    call->started = call->last_line;
  } else if (std::exchange(silent_, false)) {
    backoff_.HeartbeatLate();
    deadlines_->Remove(&retry_timer_);
  }
  deadlines_->Move(&call->alarm, backoff_.HeartbeatDeadline(call->last_line),
                   [this, handle] { OnSilence(handle); });
  return true;
}

// Returns false if the update can't be used; the watch is then restarted from the last known revision.
bool Watch::ApplyUpdate(std::string_view object) {
  RunnerListUpdate update;
  try {
    update = ParseRunnerListUpdate(nlohmann::json::parse(object, nullptr, false), site_);
  } catch (const std::exception&) {
    return false;
  }
  // Revisions of patches increase; after a restart of discovery it sends a complete list.
  if (!update.complete && update.revision < registry_->revision()) return false;
  backoff_.Succeeded();
  registry_->Apply(update);
  on_update_(&update);
  return true;
}

// The call may be waiting in discovery's queue or be lost: it is kept while a second call is made as a hedge,
// but not any longer.
void Watch::OnLineTimeout(Handle handle) {
  if (handle != pending_ || !backoff_.StartHedge()) return OnLost(handle);
  DropCall(hedged_);
  hedged_ = pending_;
  deadlines_->Move(&calls_.Find(handle)->alarm, deadlines_->Now() + WatchBackoff::kHedgeDelay,
                   [this, handle] { OnLost(handle); });
  StartCall();
}

// The established watch may be broken, or its heartbeat late: it stays open while a new one is requested.
void Watch::OnSilence(Handle handle) {
  const Call* call = calls_.Find(handle);
  if (pending_ || retry_timer_ != Deadlines::Key{}) return;
  silent_ = true;
  RetryAt(backoff_.HeartbeatMissed(call->last_line, deadlines_->Now()));
}

void Watch::OnLost(Handle handle, Loss loss) {
  const Call* call = calls_.Find(handle);
  if (call == nullptr) return;
  const Time now = deadlines_->Now(), lasted = now - call->started;
  const bool was_established = handle == established_;
  DropCall(handle);
  if (!pending_ && retry_timer_ == Deadlines::Key{})
    RetryAt(now + (was_established               ? backoff_.Ended(lasted)
                   : loss == Loss::kOverloaded   ? backoff_.Overloaded(lasted)
                   : loss == Loss::kNoDescriptor ? backoff_.NoDescriptor()
                                                 : backoff_.Failed()));
  if (!established_) on_update_(nullptr);
}

void Watch::RetryAt(Time at) {
  deadlines_->Move(&retry_timer_, at, [this] {
    retry_timer_ = {};
    StartCall();
  });
}

void Watch::DropCall(Handle handle) {
  Call* call = calls_.Find(handle);
  if (call == nullptr) return;
  deadlines_->Remove(&call->alarm);
  call->connection->Close();
  calls_.Erase(handle);
  if (pending_ == handle) pending_ = {};
  if (hedged_ == handle) hedged_ = {};
  if (established_ == handle) established_ = {}, silent_ = false;
}

}  // namespace lichenlug
