#include "net/http_connection.h"

#include <algorithm>
#include <cassert>

namespace lichenlug {
namespace {

constexpr std::size_t kMostPending = kMostBody + kMostHead;
constexpr int kMostReads = 128;  // in one go: a side that never stops sending must not starve the others

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return c >= 'A' && c <= 'Z' ? c + ('a' - 'A') : c; });
  return text;
}

void AppendHeaders(const std::vector<std::pair<std::string, std::string>>& headers, std::string* out) {
  for (const auto& [name, value] : headers) out->append(name).append(": ").append(value).append("\r\n");
}

}  // namespace

const std::string* HttpMessage::Header(std::string_view lower_name) const {
  for (const auto& [name, value] : headers)
    if (name == lower_name) return &value;
  return nullptr;
}

std::string FormatRequest(std::string_view method, std::string_view target, std::string_view host,
                          const std::vector<std::pair<std::string, std::string>>& headers,
                          std::string_view body) {
  std::string out;
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n");
  AppendHeaders(headers, &out);
  if (!body.empty() || method == "POST")
    out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  return out.append("\r\n").append(body);
}

std::string FormatAnswer(int status, const std::vector<std::pair<std::string, std::string>>& headers,
                         std::string_view body, bool keep_alive) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
  out.append(http_status_str(static_cast<http_status>(status))).append("\r\n");
  AppendHeaders(headers, &out);
  if (!keep_alive) out.append("Connection: close\r\n");
  out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
  return out.append(body);
}

// What http-parser calls. A result other than 0 stops it with an error.
struct HttpConnection::Callbacks {
  static HttpConnection& Of(http_parser* p) { return *static_cast<HttpConnection*>(p->data); }

  static int Begin(http_parser* p) {
    HttpConnection& c = Of(p);
    c.message_ = {};
    c.head_size_ = 0, c.in_value_ = false, c.field_.clear();
    if (c.events_.on_begin) c.events_.on_begin();
    return c.ended_;
  }
  static bool HeadFits(HttpConnection& c, std::size_t more) { return (c.head_size_ += more) <= kMostHead; }
  static int Url(http_parser* p, const char* at, std::size_t size) {
    HttpConnection& c = Of(p);
    c.message_.target.append(at, size);
    return HeadFits(c, size) ? 0 : 1;
  }
  static int Field(http_parser* p, const char* at, std::size_t size) {
    HttpConnection& c = Of(p);
    if (c.in_value_) c.field_.clear();
    c.in_value_ = false;
    c.field_.append(at, size);
    // "Content-Length : 5" is a length to some readers and none to others; http-parser takes it for either.
    const bool odd = std::find(at, at + size, ' ') != at + size;
    return odd || !HeadFits(c, size) ? 1 : 0;
  }
  static int Value(http_parser* p, const char* at, std::size_t size) {
    HttpConnection& c = Of(p);
    // A value comes in pieces only where what was read ends. Else it is a folded line, which readers join in
    // different ways (RFC 9112 has it refused).
    if (c.in_value_ && !c.cut_) return 1;
    if (!c.in_value_) c.message_.headers.emplace_back(Lower(c.field_), "");
    c.in_value_ = true, c.cut_ = at + size == c.bytes_end_;
    c.message_.headers.back().second.append(at, size);
    return HeadFits(c, size + 4) ? 0 : 1;
  }
  static int Head(http_parser* p) {
    HttpConnection& c = Of(p);
    if (p->type == HTTP_REQUEST)
      c.message_.method = http_method_str(static_cast<http_method>(p->method));
    else
      c.message_.status = static_cast<int>(p->status_code);
    if (c.events_.on_head) c.events_.on_head(c.message_);
    if (c.ended_) return -1;  // 1 would mean "no body"
    if (!c.events_.on_piece && p->content_length != ULLONG_MAX && p->content_length > kMostBody)
      c.too_large_ = true;
    // What wants to leave HTTP, is of another version or of a coding that is not undone here is not for this
    // program: a body handed on still coded would be read in another way by the one who gets it.
    const std::string* coding = c.message_.Header("transfer-encoding");
    const bool foreign =
        p->upgrade || p->http_major != 1 || (coding != nullptr && Lower(*coding) != "chunked");
    return c.too_large_ || foreign ? -1 : 0;
  }
  static int Body(http_parser* p, const char* at, std::size_t size) {
    HttpConnection& c = Of(p);
    if (c.events_.on_piece) {
      c.events_.on_piece({at, size});
      return c.ended_;
    }
    if (c.message_.body.size() + size > kMostBody) return c.too_large_ = true;
    c.message_.body.append(at, size);
    return 0;
  }
  static int Complete(http_parser* p) {
    HttpConnection& c = Of(p);
    if (p->type == HTTP_RESPONSE && p->status_code < 200) return 0;  // an interim answer
    c.message_.keep_alive = http_should_keep_alive(p) != 0;
    c.complete_ = true;
    http_parser_pause(p, 1);
    return 0;
  }
};

HttpConnection::HttpConnection(asio::ip::tcp::socket socket, Side side) : socket_(std::move(socket)) {
  http_parser_init(&parser_, side == Side::kServer ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
}

HttpConnection::~HttpConnection() = default;

void HttpConnection::Connect(const asio::ip::tcp::endpoint& to, std::function<void(std::error_code)> done) {
  std::error_code error;
  socket_.open(to.protocol(), error);
  if (error)  // no descriptor left, for one; told later, as any other failure
    return asio::post(socket_.get_executor(), [self = shared_from_this(), error, done] {
      if (!self->ended_) done(error);
    });
  socket_.async_connect(to, [self = shared_from_this(), done = std::move(done)](std::error_code e) {
    if (!self->ended_) done(e);
  });
}

void HttpConnection::Start() {
  std::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  started_ = true;
  AwaitBytes();
}

// Only waits: bytes that an operation had taken already, its handler still to be called, Read() could not
// see.
void HttpConnection::AwaitBytes() {
  if (ended_ || eof_) return;
  socket_.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](std::error_code) {
    if (self->ended_) return;
    self->Read();
    self->Parse();
    self->AwaitBytes();
  });
}

// Takes what has come, never waits. While no message is being served a full buffer is parsed first.
void HttpConnection::Read() {
  if (!started_ || ended_ || eof_) return;
  for (int reads = 0; reads < kMostReads && (resting_ || pending_.size() < kMostPending); ++reads) {
    std::error_code error;
    const std::size_t size = socket_.read_some(asio::buffer(buffer_), error);
    if (error == asio::error::would_block || error == asio::error::interrupted) return;
    if (error) return void(eof_ = true);
    if (finishing_) continue;
    const std::size_t room = kMostPending - std::min(pending_.size(), kMostPending);
    if (resting_ && size > room) overflowed_ = true;
    pending_.append(buffer_.data(), resting_ ? std::min(size, room) : size);
  }
}

void HttpConnection::Parse() {
  static const http_parser_settings settings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_message_begin = Callbacks::Begin;
    s.on_url = Callbacks::Url;
    s.on_header_field = Callbacks::Field;
    s.on_header_value = Callbacks::Value;
    s.on_headers_complete = Callbacks::Head;
    s.on_body = Callbacks::Body;
    s.on_message_complete = Callbacks::Complete;
    return s;
  }();
  if (finishing_) {
    if (eof_) {
      auto finished = std::move(finished_);
      Close();
      if (finished) finished();
    }
    return;
  }
  if (!resting_ && !pending_.empty()) {
    const std::string bytes = std::exchange(pending_, {});
    bytes_end_ = bytes.data() + bytes.size();
    const std::size_t used = http_parser_execute(&parser_, &settings, bytes.data(), bytes.size());
    if (ended_) return;
    pending_ = bytes.substr(std::min(used, bytes.size()));
    const http_errno fault = HTTP_PARSER_ERRNO(&parser_);
    if (fault != HPE_OK && fault != HPE_PAUSED) return Tell(too_large_ ? End::kTooLarge : End::kMalformed);
  }
  if (!resting_ && !complete_ && eof_)
    http_parser_execute(&parser_, &settings, nullptr, 0);  // may end a body
  if (ended_) return;
  if (complete_) {
    complete_ = false, resting_ = true;
    events_.on_message(std::move(message_));
    if (ended_) return;
  }
  if (eof_) Tell(End::kClosed);
}

void HttpConnection::Next() {
  if (!resting_ || ended_) return;
  resting_ = false;
  http_parser_pause(&parser_, 0);
  ParseLater();
}

// Not now: a peer that sends many requests at once must not deepen the stack.
void HttpConnection::ParseLater() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (!self->ended_) self->Parse();
  });
}

void HttpConnection::Write(std::string bytes, std::function<void(std::error_code)> done) {
  assert(Written());  // one at a time
  out_ = std::move(bytes), out_at_ = 0;
  Flush(std::move(done));
}

// Gives the system what it takes at once, so that Written() is known whichever event is served next: an
// operation's handler could come after that of an end which the other side sent before.
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

void HttpConnection::Finish(std::function<void()> ended) {
  finishing_ = resting_ = true, finished_ = std::move(ended);
  pending_.clear();
  std::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  ParseLater();  // the other side may have ended before
}

bool HttpConnection::PeerEnded() {
  const std::size_t known = pending_.size();
  const bool known_end = eof_;
  Read();
  // What was taken here no event of the system tells of any more.
  if (pending_.size() != known || eof_ != known_end) ParseLater();
  return eof_ || ended_;
}

bool HttpConnection::HasUnread() { return PeerEnded() || !pending_.empty(); }

void HttpConnection::Tell(End end) {
  if (ended_) return;
  if (end == End::kClosed) {
    auto on_end = std::move(events_.on_end);
    Close();
    if (on_end) on_end(end);
  } else if (events_.on_end) {  // still open: a server words the fault and closes then
    resting_ = true;
    events_.on_end(end);
  }
}

void HttpConnection::Close() {
  if (ended_) return;
  if (finishing_) Read();  // see Finish()
  ended_ = true;
  std::error_code ignored;
  socket_.close(ignored);
}

}  // namespace lichenlug
