#include "net/http_connection.h"

#include <algorithm>
#include <array>
#include <climits>

namespace lichenlug {
namespace {

constexpr std::size_t kMaxPending = kMaxBody + kMaxHead;
constexpr std::size_t kReadSize = 16 * 1024;
constexpr std::size_t kMaxDiscarded = 16u << 20;  // a peer that sends more after the last response is reset

// Holds bytes only from a read until they are copied to the connection's own buffer.
char* ReadBuffer() {
  thread_local std::array<char, kReadSize> buffer;
  return buffer.data();
}

}  // namespace

// The callbacks of http-parser. A result other than 0 stops it with an error.
struct HttpConnection::Callbacks {
  static HttpConnection& Of(http_parser* p) { return *static_cast<HttpConnection*>(p->data); }

  static int Begin(http_parser* p) {
    HttpConnection& c = Of(p);
    c.message_ = {};
    c.head_size_ = 0, c.in_value_ = c.in_trailers_ = false, c.field_.clear();
    if (c.events_.on_begin) c.events_.on_begin();
    return c.ended_;
  }
  static bool HeadFits(HttpConnection& c, std::size_t more) {
    c.head_too_large_ = (c.head_size_ += more) > c.options_.max_head;
    return !c.head_too_large_;
  }
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
    // Some implementations read "Content-Length : 5" as a length and others don't; http-parser accepts it.
    const bool has_space = std::find(at, at + size, ' ') != at + size;
    return has_space || !HeadFits(c, size) ? 1 : 0;
  }
  static int Value(http_parser* p, const char* at, std::size_t size) {
    HttpConnection& c = Of(p);
    // A value is split only at the end of the parsed bytes. Any other continuation is a folded line, which
    // implementations join in different ways (RFC 9112 requires rejecting it).
    if (c.in_value_ && !c.value_split_) return 1;
    // Trailers arrive after the head has been processed. RFC 9110 allows discarding them, which is done here.
    if (!c.in_value_ && !c.in_trailers_)
      c.message_.headers.emplace_back(c.options_.keep_name_case ? c.field_ : LowerCase(c.field_), "");
    c.in_value_ = true, c.value_split_ = at + size == c.bytes_end_;
    if (!c.in_trailers_) c.message_.headers.back().second.append(at, size);
    return HeadFits(c, size + 4) ? 0 : 1;
  }
  static bool IsTransferCodingKnown(const HttpMessage& message) {
    int codings = 0;
    for (const auto& [name, value] : message.headers)
      if (SameName(name, "transfer-encoding") && (++codings > 1 || LowerCase(value) != "chunked"))
        return false;
    return true;
  }
  static int Head(http_parser* p) {
    HttpConnection& c = Of(p);
    if (p->type == HTTP_REQUEST)
      c.message_.method = http_method_str(static_cast<http_method>(p->method));
    else
      c.message_.status = static_cast<int>(p->status_code);
    c.in_trailers_ = true;  // any further headers are trailers
    c.message_.minor_version = p->http_minor;
    const bool has_positive_length = p->content_length != ULLONG_MAX && p->content_length > 0;
    c.message_.has_length = (p->flags & (F_CHUNKED | F_CONTENTLENGTH)) != 0;
    c.message_.length = has_positive_length ? p->content_length : 0;
    if (c.events_.on_head) c.events_.on_head(c.message_);
    if (c.ended_) return -1;  // 1 would mean "no body"
    if (!c.events_.on_body_chunk && has_positive_length && p->content_length > c.options_.max_body)
      c.too_large_ = true;
    // Rejects upgrades to other protocols, other HTTP versions and transfer codings that are not decoded
    // here: a body that is forwarded without decoding would be interpreted differently by its receiver.
    if (c.options_.ignore_upgrade && p->method != HTTP_CONNECT && p->type == HTTP_REQUEST) p->upgrade = 0;
    const bool unsupported = p->upgrade || p->http_major != 1 || !IsTransferCodingKnown(c.message_);
    if (c.too_large_ || unsupported) return -1;
    return c.no_body_ ? 1 : 0;
  }
  static int Body(http_parser* p, const char* at, std::size_t size) {
    HttpConnection& c = Of(p);
    if (c.finishing_) return 0;
    if (c.events_.on_body_chunk) {
      c.events_.on_body_chunk({at, size});
      return c.ended_;
    }
    if (c.message_.body.size() + size > c.options_.max_body) return c.too_large_ = true;
    c.message_.body.append(at, size);
    return 0;
  }
  static int Complete(http_parser* p) {
    HttpConnection& c = Of(p);
    if (p->type == HTTP_RESPONSE && p->status_code < 200) return 0;  // an interim response
    c.message_.keep_alive = http_should_keep_alive(p) != 0;
    c.complete_ = true;
    http_parser_pause(p, 1);
    return 0;
  }
};

HttpConnection::HttpConnection(asio::ip::tcp::socket socket, Side side, const HttpOptions& options)
    : socket_(std::move(socket)), options_(options) {
  http_parser_init(&parser_, side == Side::kServer ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
}

HttpConnection::~HttpConnection() = default;

void HttpConnection::Connect(const asio::ip::tcp::endpoint& to, std::function<void(std::error_code)> done) {
  std::error_code error;
  socket_.open(to.protocol(), error);
  if (error)  // for example, no descriptor is left; reported asynchronously, like any other failure
    return asio::post(socket_.get_executor(), [self = shared_from_this(), error, done] {
      if (!self->ended_) done(error);
    });
  socket_.async_connect(to, [self = shared_from_this(), done = std::move(done)](std::error_code e) {
    if (self->ended_) return;
    if (!e && self->options_.reading == Reading::kPaced)
      self->StopWatchingWrites(self->socket_.local_endpoint(e));
    done(e);
  });
}

// Connecting leaves the descriptor registered with the reactor for writability as well, so that each wait for
// bytes would wake up twice. Registers it anew.
void HttpConnection::StopWatchingWrites(const asio::ip::tcp::endpoint& local) {
  std::error_code ignored;
  const auto descriptor = socket_.release(ignored);
  if (!ignored) socket_.assign(local.protocol(), descriptor, ignored);
}

void HttpConnection::Start() {
  std::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  started_ = true;
  AwaitBytes();
}

// Only waits for readability and doesn't read: bytes that an asynchronous read had consumed, with its handler
// still pending, would be invisible to Read().
void HttpConnection::AwaitBytes() {
  if (ended_ || eof_ || awaiting_ || IsReadingSuspended()) return;
  awaiting_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](std::error_code) {
    self->awaiting_ = false;
    if (self->ended_) return;
    if (!self->IsReadingSuspended()) self->Read(self->options_.reading == Reading::kDrain ? kMaxReads : 1);
    self->Parse();
    self->AwaitBytes();
  });
}

std::size_t HttpConnection::MaxPending() const { return std::max(kMaxPending, options_.max_head); }

bool HttpConnection::IsReadingSuspended() const {
  return options_.reading == Reading::kPaced && !finishing_ &&
         (paused_ || (parsing_paused_ && pending_.size() >= MaxPending()));
}

void HttpConnection::PauseReading(bool pause) {
  paused_ = pause;
  if (started_) AwaitBytes();
}

void HttpConnection::SetBounds(std::size_t max_head, std::size_t max_body) {
  options_.max_head = max_head, options_.max_body = max_body;
}

// Reads what is available without blocking. While no message is being processed, a full buffer is parsed
// first.
void HttpConnection::Read(int max_reads) {
  if (!started_ || ended_ || eof_) return;
  for (int reads = 0; reads < max_reads && (parsing_paused_ || pending_.size() < MaxPending()); ++reads) {
    if (IsReadingSuspended()) return;
    std::error_code error;
    const std::size_t size = socket_.read_some(asio::buffer(ReadBuffer(), kReadSize), error);
    if (error == asio::error::would_block || error == asio::error::interrupted) return;
    if (error) {
      eof_ = true, reset_ = error != asio::error::eof;
      return;
    }
    if (finishing_) {
      discarded_ += size;
      if (discarded_ > kMaxDiscarded) eof_ = reset_ = true;
      if (eof_) return;
      continue;
    }
    const bool bounded = parsing_paused_ && options_.reading == Reading::kDrain;
    const std::size_t space = MaxPending() - std::min(pending_.size(), MaxPending());
    if (bounded && size > space) overflowed_ = true;
    pending_.append(ReadBuffer(), bounded ? std::min(size, space) : size);
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
  if (!parsing_paused_ && !pending_.empty()) {
    parsing_.swap(pending_);
    bytes_end_ = parsing_.data() + parsing_.size();
    const std::size_t used = http_parser_execute(&parser_, &settings, parsing_.data(), parsing_.size());
    if (ended_) return;
    if (finishing_) return parsing_.clear();
    if (used < parsing_.size()) pending_.insert(0, parsing_, used);
    parsing_.clear();
    if (parsing_.capacity() > kReadSize) parsing_.shrink_to_fit();
    const http_errno parse_error = HTTP_PARSER_ERRNO(&parser_);
    if (parse_error != HPE_OK && parse_error != HPE_PAUSED)
      return ReportEnd(too_large_ ? End::kTooLarge : End::kMalformed);
  }
  if (!parsing_paused_ && !complete_ && eof_ && !reset_)
    http_parser_execute(&parser_, &settings, nullptr, 0);  // the end of the stream may end a body
  if (ended_) return;
  if (complete_) {
    complete_ = false, parsing_paused_ = true;
    head_size_ = 0;
    events_.on_message(std::move(message_));
    if (ended_) return;
  }
  if (eof_) return ReportEnd(End::kClosed);
  if (events_.on_input) events_.on_input();
}

std::size_t HttpConnection::held() const {
  return pending_.size() + head_size_ + MemoryOfHeaders(message_) + message_.body.size() + out_.size();
}

void HttpConnection::Next() {
  if (!parsing_paused_ || ended_) return;
  parsing_paused_ = false;
  http_parser_pause(&parser_, 0);
  PostParse();
  AwaitBytes();
}

void HttpConnection::DropInput() {
  parsing_paused_ = true;
  // Assigning an empty value would keep the buffers.
  std::string().swap(pending_);
  HttpMessage incomplete;
  std::swap(message_, incomplete);
  head_size_ = 0;
}

// Parses asynchronously: a peer that sends many requests at once must not deepen the call stack.
void HttpConnection::PostParse() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (!self->ended_) self->Parse();
  });
}

void HttpConnection::Finish(std::function<void()> ended) {
  finishing_ = true, finished_ = std::move(ended);
  DropInput();
  std::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  PostParse();  // the peer may already have ended its side
  AwaitBytes();
}

bool HttpConnection::PeerEnded() {
  const std::size_t pending_before = pending_.size();
  const bool eof_before = eof_;
  Read(kMaxReads);
  // The system reports no further event for what was read here.
  if (pending_.size() != pending_before || eof_ != eof_before) PostParse();
  return eof_ || ended_;
}

bool HttpConnection::HasUnread() { return PeerEnded() || !pending_.empty(); }

void HttpConnection::ReportEnd(End end) {
  if (ended_) return;
  if (end == End::kClosed) {
    auto on_end = std::move(events_.on_end);
    Close();
    if (on_end) on_end(end);
  } else if (events_.on_end) {  // still open: a server sends an error response and closes
    parsing_paused_ = true;
    events_.on_end(end);
  }
}

void HttpConnection::Close() {
  if (ended_) return;
  if (finishing_) Read(kMaxReads);  // see Finish()
  ended_ = true;
  std::error_code ignored;
  socket_.close(ignored);
}

}  // namespace lichenlug
