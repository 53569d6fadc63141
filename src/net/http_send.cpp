// The writing side of HttpConnection.
#include <cassert>
#include <utility>

#include "net/http_connection.h"

namespace lichenlug {
namespace {

constexpr std::size_t kMaxRetainedCapacity =
    16 * 1024;  // of the buffer of a connection that has sent everything

}  // namespace

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
  SendBuffered(&error);
  if (error == asio::error::would_block || error == asio::error::interrupted)
    return socket_.async_wait(
        asio::ip::tcp::socket::wait_write,
        [self = shared_from_this(), done = std::move(done)](std::error_code) { self->Flush(done); });
  asio::post(socket_.get_executor(), [self = shared_from_this(), error, done = std::move(done)] {
    if (!self->ended_ && done) done(error);
  });
}

void HttpConnection::Send(std::string_view bytes, std::shared_ptr<const void> owner) {
  if (ended_) return;
  const bool was_written = Written();
  std::error_code error;
  if (was_written)
    while (!bytes.empty() && !error) bytes.remove_prefix(socket_.write_some(asio::buffer(bytes), error));
  if (bytes.empty()) return;
  BufferSharedOut();
  if (owner != nullptr)
    shared_out_ = bytes, shared_out_owner_ = std::move(owner);
  else
    out_.append(bytes);
  if (was_written) ContinueSending(error);
}

// Bytes that follow are sent after the shared ones. Sent bytes are dropped, as a peer that reads slowly might
// never let the buffer become empty.
void HttpConnection::BufferSharedOut() {
  if (out_at_ >= out_.size() / 2) out_.erase(0, std::exchange(out_at_, 0));
  out_.append(shared_out_);
  shared_out_ = {};
  shared_out_owner_.reset();
}

void HttpConnection::SendBuffered(std::error_code* error) {
  while (out_at_ < out_.size() && !*error)
    out_at_ += socket_.write_some(asio::buffer(out_) + out_at_, *error);
  while (out_at_ == out_.size() && !shared_out_.empty() && !*error)
    shared_out_.remove_prefix(socket_.write_some(asio::buffer(shared_out_), *error));
  if (shared_out_.empty()) shared_out_owner_.reset();
  if (!Written()) return;
  out_.clear(), out_at_ = 0;
  if (out_.capacity() > kMaxRetainedCapacity) out_.shrink_to_fit();
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
    self->SendBuffered(&failure);
    if (failure) return self->ContinueSending(failure);
    if (self->events_.on_drained) self->events_.on_drained();
  });
}

}  // namespace lichenlug
