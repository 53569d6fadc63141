// One HTTP/1.1 connection over Asio, as server or client. Parsed with http-parser; buffers are bounded.
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

// How a connection reads while it can't deliver what arrives.
enum class Reading {
  kDrain,  // reads everything available at each wake-up and drops what exceeds the buffer
  kPaced,  // reads once per wake-up, and not while the buffer is full or reading is paused: flow control then
           // makes the peer wait
};

struct HttpOptions {
  std::size_t max_head = kMaxHead, max_body = kMaxBody;
  Reading reading = Reading::kDrain;
  bool keep_name_case = false;  // of headers; otherwise their names are converted to lower case
  bool ignore_upgrade = false;  // ignores requests to upgrade to another protocol; otherwise they are errors
};

// Messages are delivered one at a time: after each, parsing pauses until Next(). Reading goes on meanwhile,
// so that the peer's end of stream is noticed at once; `Reading` determines what happens when the buffer is
// full. The object lives until its last operation has completed; after Close() it delivers no events.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  enum class Side { kServer, kClient };
  enum class End { kClosed, kMalformed, kTooLarge };
  struct Events {
    std::function<void()> on_begin;                   // the first byte of a message has arrived
    std::function<void(const HttpMessage&)> on_head;  // optional: the head is complete
    std::function<void(std::string_view)>
        on_body_chunk;  // optional: receives the body in pieces, without a limit
    std::function<void(HttpMessage)> on_message;
    std::function<void(End)> on_end;   // no message follows; kClosed may follow another end
    std::function<void()> on_drained;  // optional: everything that Send() buffered is written
    std::function<void()> on_input;    // optional: bytes were read and parsed, so held() may have changed
  };

  HttpConnection(asio::ip::tcp::socket socket, Side side, const HttpOptions& options = {});
  ~HttpConnection();

  void SetEvents(Events events) { events_ = std::move(events); }
  void Connect(const asio::ip::tcp::endpoint& to, std::function<void(std::error_code)> done);
  void Start();      // starts reading
  void Next();       // resumes parsing after a delivered message
  void DropInput();  // frees what has been received of an incomplete message and stops parsing
  void Write(std::string bytes, std::function<void(std::error_code)> done);
  // Like Write(), but may be called while bytes are unsent, and has no callback: what the system doesn't
  // accept at once is buffered and written later. A failure is reported as the end of the connection.
  // Bytes with an owner are not copied: the owner is kept until they are sent.
  void Send(std::string_view bytes, std::shared_ptr<const void> owner = nullptr);
  std::size_t unsent() const { return out_.size() - out_at_ + shared_out_.size(); }
  bool Written() const { return unsent() == 0; }  // the system has accepted every byte
  // Memory used by bytes that are not delivered yet or not sent yet, without shared ones.
  std::size_t held() const;
  void Close();
  // Graceful close: sends the end of the stream and discards input until the peer ends its side or Close() is
  // called, but no more than a bound: closing with unread bytes would reset the connection and could discard
  // the response. Nothing read from here on is delivered, so check HasUnread() immediately before.
  void Finish(std::function<void()> ended);

  // Both check what the system has received by now, even if its events have not been handled yet: PeerEnded()
  // returns whether the peer has ended its side, HasUnread() whether that or undelivered bytes are present.
  bool PeerEnded();
  bool HasUnread();
  void PauseReading(bool pause);  // kPaced only; the peer's end of stream is not noticed meanwhile
  void SetBounds(std::size_t max_head, std::size_t max_body);  // for the following messages
  void ExpectNoBody(bool no_body) { no_body_ = no_body; }      // the next responses are to HEAD requests
  bool head_too_large() const { return head_too_large_; }      // the reason why the message is malformed
  asio::ip::tcp::socket& socket() { return socket_; }          // to set its options
  bool overflowed() const { return overflowed_; }  // bytes were dropped: the rest of the stream is unusable

 private:
  struct Callbacks;
  void AwaitBytes();
  // Per wake-up: a peer that never stops sending must not starve the other connections.
  static constexpr int kMaxReads = 128;
  void Read(int max_reads);
  void Parse();
  void Flush(std::function<void(std::error_code)> done);
  void PostParse();
  void ReportEnd(End end);
  bool IsReadingSuspended() const;  // kPaced: reading is suspended
  void StopWatchingWrites(const asio::ip::tcp::endpoint& local);
  void ContinueSending(std::error_code error);
  void SendBuffered(std::error_code* error);
  void BufferSharedOut();
  std::size_t MaxPending() const;

  asio::ip::tcp::socket socket_;
  Events events_;
  http_parser parser_;
  HttpMessage message_;
  std::string pending_, parsing_, field_, out_;
  std::string_view shared_out_;  // to be sent after `out_`
  std::shared_ptr<const void> shared_out_owner_;
  std::size_t head_size_ = 0, out_at_ = 0;
  std::size_t discarded_ = 0;        // bytes read since Finish()
  const char* bytes_end_ = nullptr;  // of the bytes that are being parsed
  HttpOptions options_;
  std::function<void()> finished_;
  bool parsing_paused_ = false, started_ = false, ended_ = false, in_value_ = false, value_split_ = false,
       too_large_ = false;
  bool finishing_ = false, eof_ = false, complete_ = false, overflowed_ = false;
  bool in_trailers_ = false, no_body_ = false, head_too_large_ = false, reset_ = false, paused_ = false,
       awaiting_ = false;
};

}  // namespace lichenlug
