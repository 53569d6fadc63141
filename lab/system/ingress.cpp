#include "lab/system/ingress.h"

#include <utility>

#include "lab/system/http_call.h"
#include "lab/system/wire_words.h"

namespace lichenlug::standins {

namespace {

constexpr auto kProbeInterval = std::chrono::seconds(1);
constexpr Time kProbeTimeout = 900 * kMillisecond;
constexpr int kMaxConsecutiveFailures = 2;

}  // namespace

Ingress::Ingress(Loop* loop, std::vector<Dispatcher> dispatchers)
    : loop_(loop), dispatchers_(std::move(dispatchers)), timer_(loop->io()) {
  ProbeAll();
}

std::string Ingress::Next() {
  for (std::size_t tried = 0; tried < dispatchers_.size(); ++tried) {
    const Dispatcher& dispatcher = dispatchers_[next_index_++ % dispatchers_.size()];
    if (dispatcher.ready) return dispatcher.front_address;
  }
  return "";
}

bool Ingress::AllReady() const {
  for (const Dispatcher& dispatcher : dispatchers_)
    if (!dispatcher.ready) return false;
  return true;
}

void Ingress::ProbeAll() {
  for (std::size_t index = 0; index < dispatchers_.size(); ++index) {
    HttpCall call;
    call.path = wire::kReadyPath;
    call.timeout = kProbeTimeout;
    Call(loop_->io(), dispatchers_[index].ready_address, call,
         [this, alive = std::weak_ptr(alive_), index](const HttpMessage& answer) {
           if (!alive.expired()) OnProbeResponse(index, answer.status);
         });
  }
  timer_.expires_after(kProbeInterval);
  timer_.async_wait([this](std::error_code error) {
    if (!error) ProbeAll();
  });
}

void Ingress::OnProbeResponse(std::size_t index, int status) {
  Dispatcher& dispatcher = dispatchers_[index];
  if (status == 200) {
    dispatcher.consecutive_failures = 0;
    dispatcher.ready = true;
  } else if (++dispatcher.consecutive_failures >= kMaxConsecutiveFailures) {
    dispatcher.ready = false;
  }
}

}  // namespace lichenlug::standins
