#include "lab/fleet/crowd.h"

#include <array>
#include <utility>

namespace lichenlug::lab {

struct Crowd::Member {
  explicit Member(asio::io_context& io) : socket(io) {}

  asio::ip::tcp::socket socket;
  std::size_t sent = 0;
  bool settled = false;
  std::array<char, 4096> received{};
};

Crowd::Crowd(asio::io_context& io, const asio::ip::tcp::endpoint& to, CrowdPlan plan)
    : plan_(std::move(plan)) {
  for (int i = 0; i < plan_.connections; ++i) members_.push_back(std::make_shared<Member>(io));
  for (const auto& member : members_) Connect(member, to);
}

Crowd::~Crowd() {
  *alive_ = false;
  Close();
}

void Crowd::Close() {
  std::error_code ignored;
  for (const auto& member : members_) member->socket.close(ignored);
}

void Crowd::Connect(const std::shared_ptr<Member>& member, const asio::ip::tcp::endpoint& to) {
  member->socket.async_connect(to, [this, alive = alive_, member](std::error_code error) {
    if (!*alive) return;
    if (error) return Settle(member.get());
    SendNext(member);
    if (plan_.reads) Read(member);
  });
}

asio::const_buffer Crowd::Unsent(const Member& member) const {
  std::size_t at = member.sent;
  if (at < plan_.head.size()) return asio::buffer(plan_.head) + at;
  at -= plan_.head.size();
  const std::size_t blocks_size = plan_.block.size() * plan_.blocks;
  if (at < blocks_size) return asio::buffer(plan_.block) + at % plan_.block.size();
  return asio::buffer(plan_.tail) + (at - blocks_size);
}

void Crowd::SendNext(const std::shared_ptr<Member>& member) {
  const asio::const_buffer unsent = Unsent(*member);
  if (unsent.size() == 0) return Settle(member.get());
  member->socket.async_write_some(unsent,
                                  [this, alive = alive_, member](std::error_code error, std::size_t size) {
                                    if (!*alive) return;
                                    member->sent += size, sent_bytes_ += size;
                                    if (error) return Settle(member.get());
                                    SendNext(member);
                                  });
}

void Crowd::Read(const std::shared_ptr<Member>& member) {
  member->socket.async_read_some(asio::buffer(member->received),
                                 [this, alive = alive_, member](std::error_code error, std::size_t) {
                                   if (!*alive) return;
                                   if (error) return Settle(member.get());
                                   Read(member);
                                 });
}

void Crowd::Settle(Member* member) { settled_ += std::exchange(member->settled, true) ? 0 : 1; }

}  // namespace lichenlug::lab
