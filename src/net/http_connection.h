// One HTTP/1.1 connection over Asio, either side of it. Bytes are parsed by http-parser; buffers are bounded.
#pragma once

#include <http_parser.h>

#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

namespace lichenlug {

inline constexpr std::size_t kMostBody = 64 * 1024, kMostHead = 16 * 1024;

struct HttpMessage {
  std::string method, target, body;
  int status = 0;
  bool keep_alive = true;
  std::vector<std::pair<std::string, std::string>> headers;  // names in lower case

  const std::string* Header(std::string_view lower_name) const;  // null: absent
};

std::string FormatRequest(std::string_view method, std::string_view target, std::string_view host,
                          const std::vector<std::pair<std::string, std::string>>& headers,
                          std::string_view body);
std::string FormatAnswer(int status, const std::vector<std::pair<std::string, std::string>>& headers,
                         std::string_view body, bool keep_alive);

// Messages are handed over one at a time: after one, parsing rests until Next(). Reading goes on meanwhile,
// so that the other side's end is noticed at once; what goes beyond the bound of the buffer is dropped.
// Lives until its last operation has ended; after Close() no event is told.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  enum class Side { kServer, kClient };
  enum class End { kClosed, kMalformed, kTooLarge };
  struct Events {
    std::function<void()> on_begin;                   // the first byte of a message has come
    std::function<void(const HttpMessage&)> on_head;  // optional: the head is there
    std::function<void(std::string_view)> on_piece;   // optional: takes the body piece by piece, unbounded
    std::function<void(HttpMessage)> on_message;
    std::function<void(End)> on_end;  // no message after it; kClosed may follow another end
  };

  HttpConnection(asio::ip::tcp::socket socket, Side side);
  ~HttpConnection();

  void SetEvents(Events events) { events_ = std::move(events); }
  void Connect(const asio::ip::tcp::endpoint& to, std::function<void(std::error_code)> done);
  void Start();  // begins to read
  void Next();   // goes on to the message after the one handed over
  void Write(std::string bytes, std::function<void(std::error_code)> done);
  bool Written() const { return out_at_ == out_.size(); }  // the system has the last byte of what is written
  void Close();
  // The graceful close: sends the end of the stream and drops what still comes until the other side ends or
  // Close() is called. A close with unread bytes would reset the connection and could take the answer with
  // it. Nothing that is read from here on is handed over, so ask HasUnread() right before.
  void Finish(std::function<void()> ended);

  // Both look at what the system holds by now, whichever events have been served: PeerEnded() tells whether
  // the other side has ended, HasUnread() whether its end or bytes are there that have not been handed over.
  bool PeerEnded();
  bool HasUnread();
  bool overflowed() const { return overflowed_; }  // bytes were dropped: what comes next cannot be read

 private:
  struct Callbacks;
  void AwaitBytes();
  void Read();
  void Parse();
  void Flush(std::function<void(std::error_code)> done);
  void ParseLater();
  void Tell(End end);

  asio::ip::tcp::socket socket_;
  Events events_;
  http_parser parser_;
  HttpMessage message_;
  std::string pending_, field_, out_;
  std::size_t head_size_ = 0, out_at_ = 0;
  const char* bytes_end_ = nullptr;  // of what the parser reads now
  std::array<char, 8192> buffer_;
  std::function<void()> finished_;
  bool resting_ = false, started_ = false, ended_ = false, in_value_ = false, cut_ = false,
       too_large_ = false;
  bool finishing_ = false, eof_ = false, complete_ = false, overflowed_ = false;
};

}  // namespace lichenlug
