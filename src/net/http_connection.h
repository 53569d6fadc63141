// One HTTP/1.1 connection over Asio, either side of it. Bytes are parsed by http-parser; buffers are bounded.
#pragma once

#include <http_parser.h>

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "net/http_message.h"

namespace lichenlug {

inline constexpr std::size_t kMaxBody = 64 * 1024, kMaxHead = 16 * 1024;

// How a connection reads while it cannot hand over what comes.
enum class Reading {
  kDrain,  // all that is there at each wake-up; what goes beyond the bound of the buffer is dropped
  kPaced,  // once a wake-up, and not at all while the buffer is full or reading is paused: the peer has to
           // wait
};

struct HttpOptions {
  std::size_t max_head = kMaxHead, max_body = kMaxBody;
  Reading reading = Reading::kDrain;
  bool keep_name_case = false;  // of headers; else their names become lower case
  bool ignore_upgrade = false;  // a wish to leave HTTP is not followed; else it is a fault
};

// Messages are handed over one at a time: after one, parsing rests until Next(). Reading goes on meanwhile,
// so that the other side's end is noticed at once; `Reading` tells what becomes of what no buffer has room
// for. Lives until its last operation has ended; after Close() no event is told.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  enum class Side { kServer, kClient };
  enum class End { kClosed, kMalformed, kTooLarge };
  struct Events {
    std::function<void()> on_begin;                   // the first byte of a message has come
    std::function<void(const HttpMessage&)> on_head;  // optional: the head is there
    std::function<void(std::string_view)>
        on_body_chunk;  // optional: takes the body piece by piece, unbounded
    std::function<void(HttpMessage)> on_message;
    std::function<void(End)> on_end;   // no message after it; kClosed may follow another end
    std::function<void()> on_drained;  // optional: all that Send() had to keep is written
  };

  HttpConnection(asio::ip::tcp::socket socket, Side side, const HttpOptions& options = {});
  ~HttpConnection();

  void SetEvents(Events events) { events_ = std::move(events); }
  void Connect(const asio::ip::tcp::endpoint& to, std::function<void(std::error_code)> done);
  void Start();  // begins to read
  void Next();   // goes on to the message after the one handed over
  void Write(std::string bytes, std::function<void(std::error_code)> done);
  // As Write(), any number of times and with no call back: what the system does not take at once is kept and
  // written when it does. A failure is told as the connection's end.
  void Send(std::string_view bytes);
  std::size_t unsent() const { return out_.size() - out_at_; }
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
  void PauseReading(bool pause);  // kPaced only; the end of the other side is not noticed meanwhile
  void SetBounds(std::size_t max_head, std::size_t max_body);  // of the messages from here on
  void ExpectNoBody(bool no_body) { no_body_ = no_body; }      // the next answers are to HEAD requests
  bool head_too_large() const { return head_too_large_; }      // what made the message malformed
  asio::ip::tcp::socket& socket() { return socket_; }          // for its options
  bool overflowed() const { return overflowed_; }  // bytes were dropped: what comes next cannot be read

 private:
  struct Callbacks;
  void AwaitBytes();
  // In one go: a side that never stops sending must not starve the others.
  static constexpr int kMaxReads = 128;
  void Read(int max_reads);
  void Parse();
  void Flush(std::function<void(std::error_code)> done);
  void ParseLater();
  void Tell(End end);
  bool Held() const;  // kPaced: nothing may be read now
  void WatchReadingOnly(const asio::ip::tcp::endpoint& local);
  void GoOnSending(std::error_code error);
  std::size_t MaxPending() const;

  asio::ip::tcp::socket socket_;
  Events events_;
  http_parser parser_;
  HttpMessage message_;
  std::string pending_, parsing_, field_, out_;
  std::size_t head_size_ = 0, out_at_ = 0;
  const char* bytes_end_ = nullptr;  // of what the parser reads now
  HttpOptions options_;
  std::function<void()> finished_;
  bool resting_ = false, started_ = false, ended_ = false, in_value_ = false, cut_ = false,
       too_large_ = false;
  bool finishing_ = false, eof_ = false, complete_ = false, overflowed_ = false;
  bool in_trailers_ = false, no_body_ = false, head_too_large_ = false, reset_ = false, paused_ = false,
       awaiting_ = false;
};

}  // namespace lichenlug
