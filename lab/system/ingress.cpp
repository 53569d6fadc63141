#include "lab/system/ingress.h"

#include <utility>

#include "lab/system/http_call.h"
#include "lab/system/wire_words.h"

namespace lichenlug::standins {

namespace {

constexpr auto kPollInterval = std::chrono::seconds(1);
constexpr Time kTimeout = 900 * kMillisecond;
constexpr int kMissesOut = 2;

}  // namespace

Ingress::Ingress(Loop* loop, std::vector<Dispatcher> dispatchers)
    : loop_(loop), dispatchers_(std::move(dispatchers)), timer_(loop->io()) {
  Ask();
}

std::string Ingress::Next() {
  for (std::size_t tried = 0; tried < dispatchers_.size(); ++tried) {
    const Dispatcher& dispatcher = dispatchers_[turn_++ % dispatchers_.size()];
    if (dispatcher.in) return dispatcher.front_address;
  }
  return "";
}

bool Ingress::AllIn() const {
  for (const Dispatcher& dispatcher : dispatchers_)
    if (!dispatcher.in) return false;
  return true;
}

void Ingress::Ask() {
  for (std::size_t index = 0; index < dispatchers_.size(); ++index) {
    HttpCall call;
    call.path = wire::kReadyPath;
    call.timeout = kTimeout;
    Call(loop_->io(), dispatchers_[index].ready_address, call,
         [this, alive = std::weak_ptr(alive_), index](const HttpMessage& answer) {
           if (!alive.expired()) Answered(index, answer.status);
         });
  }
  timer_.expires_after(kPollInterval);
  timer_.async_wait([this](std::error_code error) {
    if (!error) Ask();
  });
}

void Ingress::Answered(std::size_t index, int status) {
  Dispatcher& dispatcher = dispatchers_[index];
  if (status == 200) {
    dispatcher.misses = 0;
    dispatcher.in = true;
  } else if (++dispatcher.misses >= kMissesOut) {
    dispatcher.in = false;
  }
}

}  // namespace lichenlug::standins
