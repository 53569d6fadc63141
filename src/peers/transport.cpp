#include "peers/transport.h"

#include <string>

namespace lichenlug {
namespace {

constexpr int kMaxAtOnce = 64;  // datagrams read per event loop iteration

}  // namespace

PeerTransport::PeerTransport(asio::io_context& io, const PeerSettings& settings, Holdings* holdings,
                             Deadlines* deadlines)
    : settings_(settings), holdings_(holdings), deadlines_(deadlines), socket_(io) {
  for (std::size_t i = 0; i < settings_.peers.size(); ++i)
    if (static_cast<int>(i) != settings_.own_number) numbers_[settings_.peers[i]] = static_cast<int>(i);
}

void PeerTransport::Start() {
  socket_.open(settings_.listen.protocol());
  socket_.bind(settings_.listen);
  socket_.non_blocking(true);
  Await();
  EverySecond();
}

void PeerTransport::Await() {
  socket_.async_wait(asio::ip::udp::socket::wait_read, [this](std::error_code error) {
    if (error) return;
    Take();
    Await();
  });
}

void PeerTransport::Take() {
  const Time now = deadlines_->Now();
  for (int i = 0; i < kMaxAtOnce; ++i) {
    asio::ip::udp::endpoint from;
    std::error_code error;
    bool greet = false;
    const std::size_t size = socket_.receive_from(asio::buffer(bytes_), from, 0, error);
    if (error) break;
    const auto peer = numbers_.find(from);
    if (peer == numbers_.end())
      ++strangers_;
    else
      holdings_->HandleMessage(peer->second, {bytes_.data(), size}, now, &greet);
    if (greet) Greet(from, holdings_->Answer(peer->second));
  }
  Changed();  // a received datagram may have caused new updates
}

void PeerTransport::Changed() {
  const Time at = holdings_->DueAt();
  if (at == 0 || (due_at_ != 0 && due_at_ <= at)) return;
  due_at_ = at;
  deadlines_->Move(&due_, at, [this] {
    due_ = {}, due_at_ = 0;
    Send();
  });
}

void PeerTransport::Send() {
  for (const Holdings::Datagram& datagram : holdings_->MakeDatagrams(deadlines_->Now())) {
    std::error_code lost;
    if (datagram.peer != kUnheard) {
      socket_.send_to(asio::buffer(datagram.bytes), settings_.peers.at(datagram.peer), 0, lost);
      continue;
    }
    for (const auto& [address, number] : numbers_)
      if (datagram.zone == kNoZone || holdings_->ZoneOf(number) == datagram.zone)
        socket_.send_to(asio::buffer(datagram.bytes), address, 0, lost);
  }
  Changed();
}

void PeerTransport::Greet(const asio::ip::udp::endpoint& peer, const std::string& greeting) {
  std::error_code lost;
  socket_.send_to(asio::buffer(greeting), peer, 0, lost);
}

// Greetings are repeated, as they may get lost.
void PeerTransport::EverySecond() {
  const Time now = deadlines_->Now();
  holdings_->Fade(now);
  if (greeted_ == 0 || now - greeted_ >= holdings_->GreetEvery()) {
    greeted_ = now;
    if (settings_.all.port() != 0)
      Greet(settings_.all, holdings_->Greeting());
    else
      for (const auto& [address, number] : numbers_) Greet(address, holdings_->Greeting());
  }
  deadlines_->Add(now + kSecond, [this] { EverySecond(); });
}

}  // namespace lichenlug
