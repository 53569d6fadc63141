#include "peers/transport.h"

#include <string>

namespace lichenlug {
namespace {

constexpr int kMaxDatagramsPerRead = 64;  // datagrams read per event loop iteration

}  // namespace

PeerTransport::PeerTransport(asio::io_context& io, const PeerSettings& settings, Holdings* holdings,
                             Deadlines* deadlines)
    : settings_(settings), holdings_(holdings), deadlines_(deadlines), socket_(io) {
  for (std::size_t i = 0; i < settings_.peers.size(); ++i)
    if (static_cast<int>(i) != settings_.own_number) peer_numbers_[settings_.peers[i]] = static_cast<int>(i);
}

void PeerTransport::Start() {
  socket_.open(settings_.listen.protocol());
  socket_.bind(settings_.listen);
  socket_.non_blocking(true);
  AwaitDatagrams();
  RunPeriodicTasks();
}

void PeerTransport::AwaitDatagrams() {
  socket_.async_wait(asio::ip::udp::socket::wait_read, [this](std::error_code error) {
    if (error) return;
    ReceiveAvailable();
    AwaitDatagrams();
  });
}

void PeerTransport::ReceiveAvailable() {
  const Time now = deadlines_->Now();
  for (int i = 0; i < kMaxDatagramsPerRead; ++i) {
    asio::ip::udp::endpoint from;
    std::error_code error;
    bool greet = false;
    const std::size_t size = socket_.receive_from(asio::buffer(receive_buffer_), from, 0, error);
    if (error) break;
    const auto peer = peer_numbers_.find(from);
    if (peer == peer_numbers_.end())
      ++unknown_senders_;
    else
      holdings_->HandleMessage(peer->second, {receive_buffer_.data(), size}, now, &greet);
    if (greet) Greet(from, holdings_->GreetingReply(peer->second));
  }
  Changed();  // a received datagram may have caused new updates
}

void PeerTransport::Changed() {
  const Time next = holdings_->DueAt();
  if (next == 0 || (due_at_ != 0 && due_at_ <= next)) return;
  due_at_ = next;
  deadlines_->Move(&due_, next, [this] {
    due_ = {}, due_at_ = 0;
    Send();
  });
}

void PeerTransport::Send() {
  for (const Holdings::Datagram& datagram : holdings_->MakeDatagrams(deadlines_->Now())) {
    std::error_code ignored;
    if (datagram.peer != kUnset) {
      socket_.send_to(asio::buffer(datagram.bytes), settings_.peers.at(datagram.peer), 0, ignored);
      continue;
    }
    for (const auto& [address, number] : peer_numbers_)
      if (datagram.zone == kNoZone || holdings_->ZoneOf(number) == datagram.zone)
        socket_.send_to(asio::buffer(datagram.bytes), address, 0, ignored);
  }
  Changed();
}

void PeerTransport::Greet(const asio::ip::udp::endpoint& peer, const std::string& greeting) {
  std::error_code ignored;
  socket_.send_to(asio::buffer(greeting), peer, 0, ignored);
}

// Greetings are repeated, as they may get lost.
void PeerTransport::RunPeriodicTasks() {
  const Time now = deadlines_->Now();
  holdings_->ExpireEntries(now);
  if (last_greeting_at_ == 0 || now - last_greeting_at_ >= holdings_->GreetingInterval()) {
    last_greeting_at_ = now;
    if (settings_.all.port() != 0)
      Greet(settings_.all, holdings_->Greeting());
    else
      for (const auto& [address, number] : peer_numbers_) Greet(address, holdings_->Greeting());
  }
  deadlines_->Add(now + kSecond, [this] { RunPeriodicTasks(); });
}

}  // namespace lichenlug
