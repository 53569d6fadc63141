#include "peers/transport.h"

#include <string>

namespace lichenlug {
namespace {

constexpr int kMostAtOnce = 64;  // datagrams taken in one turn of the loop

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
  Changed();
}

void PeerTransport::Await() {
  socket_.async_wait(asio::ip::udp::socket::wait_read, [this](std::error_code error) {
    if (error) return;
    Take();
    Await();
  });
}

void PeerTransport::Take() {
  for (int i = 0; i < kMostAtOnce; ++i) {
    asio::ip::udp::endpoint from;
    std::error_code error;
    const std::size_t size = socket_.receive_from(asio::buffer(bytes_), from, 0, error);
    if (error) break;
    const auto peer = numbers_.find(from);
    if (peer == numbers_.end())
      ++strangers_;
    else
      Hear(peer->second, {bytes_.data(), size});
  }
  turn_(kUnheard);
  Changed();  // what is heard may be to be passed on
}

void PeerTransport::Host(extension::Kind kind, PeerPart* part, int life) { parts_[kind] = {part, life}; }

void PeerTransport::Hear(int peer, std::string_view bytes) {
  const Time now = deadlines_->Now();
  turn_(peer);
  if (const auto read = extension::Take(bytes)) {
    const auto part = parts_.find(read->kind);
    if (part == parts_.end() || !part->second.part->Hear(peer, read->body, now)) ++dropped_;
    return;
  }
  bool greet = false;
  holdings_->Hear(peer, bytes, now, &greet);
  if (greet) Greet(settings_.peers.at(peer), holdings_->Answer(peer));
}

void PeerTransport::Changed() {
  Time at = holdings_->DueAt();
  for (const auto& [kind, it] : parts_)
    if (const Time due = it.part->DueAt(); due != 0 && (at == 0 || due < at)) at = due;
  if (at == 0 || (due_at_ != 0 && due_at_ <= at)) return;
  due_at_ = at;
  deadlines_->Move(&due_, at, [this] {
    due_ = {}, due_at_ = 0;
    Send();
  });
}

void PeerTransport::Send() {
  const Time now = deadlines_->Now();
  SendParts(now);
  for (const Holdings::Datagram& datagram : holdings_->Tell(now)) {
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

void PeerTransport::SendParts(Time now) {
  for (const auto& [kind, it] : parts_) {
    if (it.part->DueAt() == 0 || it.part->DueAt() > now) continue;
    for (const PeerPart::Word& word : it.part->Tell(now)) {
      const std::string bytes = extension::Make(it.life, kind, word.body);
      std::error_code lost;
      if (word.peer != PeerPart::kAll) {
        socket_.send_to(asio::buffer(bytes), settings_.peers.at(word.peer), 0, lost);
        continue;
      }
      for (const auto& [address, number] : numbers_) socket_.send_to(asio::buffer(bytes), address, 0, lost);
    }
  }
  if (!parts_.empty()) turn_(kUnheard);
}

void PeerTransport::Greet(const asio::ip::udp::endpoint& peer, const std::string& greeting) {
  std::error_code lost;
  socket_.send_to(asio::buffer(greeting), peer, 0, lost);
}

// Greetings are said again, as they may be lost.
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
