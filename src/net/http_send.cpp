// The writing side of HttpConnection.
#include <cassert>

#include "net/http_connection.h"

namespace lichenlug {

void HttpConnection::Write(std::string bytes, std::function<void(std::error_code)> done) {
  assert(Written());  // one write at a time
  out_ = std::move(bytes), out_at_ = 0;
  Flush(std::move(done));
}

// Writes synchronously what the system accepts at once, so that Written() is accurate whichever event is
// handled next: the handler of an asynchronous write could run after that of the peer's end of stream.
void HttpConnection::Flush(std::function<void(std::error_code)> done) {
  if (ended_) return;
  std::error_code error;
  while (!Written() && !error) out_at_ += socket_.write_some(asio::buffer(out_) + out_at_, error);
  if (error == asio::error::would_block || error == asio::error::interrupted)
    return socket_.async_wait(
        asio::ip::tcp::socket::wait_write,
        [self = shared_from_this(), done = std::move(done)](std::error_code) { self->Flush(done); });
  asio::post(socket_.get_executor(), [self = shared_from_this(), error, done = std::move(done)] {
    if (!self->ended_ && done) done(error);
  });
}

void HttpConnection::Send(std::string_view bytes) {
  if (ended_) return;
  if (!Written()) return void(out_.append(bytes));
  std::error_code error;
  while (!bytes.empty() && !error) bytes.remove_prefix(socket_.write_some(asio::buffer(bytes), error));
  if (bytes.empty()) return;
  out_.assign(bytes), out_at_ = 0;
  ContinueSending(error);
}

void HttpConnection::ContinueSending(std::error_code error) {
  const bool full = error == asio::error::would_block || error == asio::error::interrupted;
  if (!full) {
    Read(kMaxReads);  // what the peer sent before it closed
    eof_ = reset_ = true;
    return PostParse();
  }
  socket_.async_wait(asio::ip::tcp::socket::wait_write, [self = shared_from_this()](std::error_code) {
    if (self->ended_) return;
    std::error_code failure;
    while (!self->Written() && !failure)
      self->out_at_ += self->socket_.write_some(asio::buffer(self->out_) + self->out_at_, failure);
    if (failure) return self->ContinueSending(failure);
    if (self->events_.on_drained) self->events_.on_drained();
  });
}

}  // namespace lichenlug
