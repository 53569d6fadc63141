#include "lab/fleet/relay.h"

#include <array>

namespace lichenlug::lab {
namespace {

constexpr Time kLookAgain = 5 * kMillisecond;  // how often a stalled way is looked at
constexpr std::size_t kLongest = 256;          // of a datagram between dispatchers

void Abort(Tcp::socket* socket) {
  std::error_code ignored;
  socket->set_option(asio::socket_base::linger(true, 0), ignored);
  socket->close(ignored);
}

}  // namespace

struct TcpRelay::Session : std::enable_shared_from_this<Session> {
  Session(asio::io_context& io, Deadlines* d, Links* l, const std::string& f, const std::string& t)
      : deadlines(d), links(l), from(f), to(t), sides{Tcp::socket(io), Tcp::socket(io)} {}

  // Both directions have ended, or one was reset: nothing is left.
  void End() {
    if (std::exchange(ended, true)) return;
    for (Tcp::socket& side : sides) Abort(&side);
  }

  void Connect(const Tcp::endpoint& target) {
    const Links::Way way = links->At(deadlines->Now(), from, to),
                     back = links->At(deadlines->Now(), to, from);
    if (ended || way.cut || back.cut) return End();
    if (way.hole || back.hole)  // a connection needs both ways
      return void(deadlines->Add(deadlines->Now() + kLookAgain,
                                 [self = shared_from_this(), target] { self->Connect(target); }));
    sides[1].async_connect(target, [self = shared_from_this()](std::error_code error) {
      if (error || self->ended) return self->End();
      for (int i : {0, 1}) self->Read(i);
      std::error_code ignored;
      for (Tcp::socket& side : self->sides) side.set_option(Tcp::no_delay(true), ignored);
    });
  }

  void Read(int side) {  // what side 0 sends goes to side 1, and the other way round
    sides[side].async_read_some(asio::buffer(buffers[side]),
                                [self = shared_from_this(), side](std::error_code error, std::size_t size) {
                                  if (self->ended) return;
                                  if (error && error != asio::error::eof) return self->End();
                                  if (!error && self->links->random().Chance(self->WayOf(side).reset))
                                    return self->End();
                                  self->Deliver(side, size, self->deadlines->Now() + self->WayOf(side).delay);
                                });
  }

  void Deliver(int side, std::size_t size, Time at) {  // 0 bytes: the end of what this side sends
    if (ended) return;
    const Links::Way way = WayOf(side);
    const Time now = deadlines->Now();
    if (way.hole || now < at)
      return void(deadlines->Add(way.hole ? now + kLookAgain : at, [self = shared_from_this(), side, size,
                                                                    at] { self->Deliver(side, size, at); }));
    if (size == 0) {
      std::error_code ignored;
      sides[1 - side].shutdown(Tcp::socket::shutdown_send, ignored);
      if (std::exchange(done, true)) End();
      return;
    }
    asio::async_write(sides[1 - side], asio::buffer(buffers[side], size),
                      [self = shared_from_this(), side](std::error_code error, std::size_t) {
                        if (self->ended) return;
                        error ? self->End() : self->Read(side);
                      });
  }

  Links::Way WayOf(int side) const {
    return side == 0 ? links->At(deadlines->Now(), from, to) : links->At(deadlines->Now(), to, from);
  }

  Deadlines* deadlines;
  Links* links;
  const std::string from, to;
  std::array<Tcp::socket, 2> sides;
  std::array<std::array<char, 8192>, 2> buffers;
  bool ended = false, done = false;
};

TcpRelay::TcpRelay(asio::io_context& io, Deadlines* deadlines, Links* links, std::string from, std::string to,
                   Tcp::endpoint target)
    : io_(io),
      deadlines_(deadlines),
      links_(links),
      from_(std::move(from)),
      to_(std::move(to)),
      target_(std::move(target)),
      acceptor_(io, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      address_(acceptor_.local_endpoint()) {
  Accept();
}

TcpRelay::~TcpRelay() {
  for (const auto& weak : sessions_)
    if (const auto session = weak.lock()) session->End();
}

void TcpRelay::Accept() {
  auto session = std::make_shared<Session>(io_, deadlines_, links_, from_, to_);
  acceptor_.async_accept(session->sides[0], [this, session](std::error_code error) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (!error) {
      std::erase_if(sessions_, [](const auto& weak) { return weak.expired(); });
      sessions_.push_back(session);
      session->Connect(target_);
    }
    Accept();
  });
}

void TcpRelay::Watch() {
  const Time now = deadlines_->Now();
  if (!sessions_.empty() && (links_->At(now, from_, to_).cut || links_->At(now, to_, from_).cut)) Reset();
}

void TcpRelay::Reset() {
  for (const auto& weak : sessions_)
    if (const auto session = weak.lock()) session->End();
}

void TcpRelay::Close() {
  std::error_code ignored;
  acceptor_.close(ignored);
  Reset();
}

PeerRelay::PeerRelay(asio::io_context& io, Deadlines* deadlines, Links* links,
                     std::vector<Udp::endpoint> dispatchers)
    : deadlines_(deadlines), links_(links), dispatchers_(std::move(dispatchers)) {
  for (std::size_t i = 0; i <= dispatchers_.size(); ++i)
    sockets_.push_back(std::make_unique<Udp::socket>(io, Udp::endpoint(asio::ip::address_v4::loopback(), 0)));
  buffers_.resize(sockets_.size()), senders_.resize(sockets_.size());
  for (std::size_t i = 0; i < sockets_.size(); ++i) Receive(i);
}

PeerRelay::~PeerRelay() { *alive_ = false; }

void PeerRelay::Receive(std::size_t socket) {
  sockets_[socket]->async_receive_from(
      asio::buffer(buffers_[socket]), senders_[socket],
      [this, alive = alive_, socket](std::error_code error, std::size_t size) {
        if (!*alive || error == asio::error::operation_aborted) return;
        const auto sender = std::ranges::find(dispatchers_, senders_[socket]);
        if (!error && sender != dispatchers_.end()) {
          const int from = static_cast<int>(sender - dispatchers_.begin());
          const std::string datagram(buffers_[socket].data(), size);
          if (size > kLongest) ++too_long_;
          for (int to = 0; to < static_cast<int>(dispatchers_.size()); ++to)
            if (to != from && (socket == dispatchers_.size() || static_cast<int>(socket) == to))
              Pass(from, to, datagram);
        }
        Receive(socket);
      });
}

void PeerRelay::Pass(int from, int to, const std::string& datagram) {
  const Time now = deadlines_->Now();
  const Links::Way way = links_->At(now, "n" + std::to_string(from), "n" + std::to_string(to));
  Random& random = links_->random();
  if (way.cut || way.hole || random.Chance(way.loss)) return;
  const int copies = random.Chance(way.copies) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const Time late =
        way.delay + static_cast<Time>(random.Below(static_cast<std::uint64_t>(way.reorder) + 1));
    const auto send = [this, alive = alive_, from, to, datagram] {
      if (!*alive) return;
      std::error_code ignored;
      sockets_[from]->send_to(asio::buffer(datagram), dispatchers_[to], 0, ignored);
      ++passed_;
    };
    late == 0 ? send() : void(deadlines_->Add(now + late, send));
  }
}

}  // namespace lichenlug::lab
