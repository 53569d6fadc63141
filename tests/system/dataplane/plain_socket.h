// Blocking sockets on loopback for tests. An operation that takes longer than the timeout throws.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lichenlug::dataplane::test {

inline constexpr int kTimeoutSeconds = 10;

struct Message {
  std::string first_line, body;
  std::vector<std::pair<std::string, std::string>> headers;
  bool complete = false;  // the message was received completely

  int status() const;
  std::string Header(std::string_view name) const;  // empty: absent
};

class Socket {
 public:
  explicit Socket(int descriptor);
  ~Socket();
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;

  static Socket ConnectTo(std::uint16_t port);

  void Send(std::string_view bytes);
  bool CanSend(int milliseconds);  // within that time
  void EndSending();
  void Reset();  // closes with a reset
  void Close();

  // The next message; `with_body` false for a response to HEAD.
  Message Read(bool with_body = true);
  Message ReadHead();
  std::string ReadChunk();  // the next chunk of a chunked body; empty: the last chunk or a truncated body
  bool last_chunk_seen() const { return last_chunk_; }
  std::string ReadExactly(std::size_t size);
  bool AtEnd();  // waits; true: the peer closed, false: bytes arrived
  std::string ReadToEnd();

 private:
  bool Receive();  // false: end of the stream
  std::optional<std::string> ReadLine();

  int descriptor_ = -1;
  std::string buffer_;
  bool last_chunk_ = false;
};

// A listening socket on a port chosen by the system.
class ListeningSocket {
 public:
  ListeningSocket();
  ~ListeningSocket();
  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  Socket Accept();
  void Close();                              // further connections are refused
  void StopResponding();                     // new connections get no response; open connections stay usable
  bool WaitForConnection(int milliseconds);  // whether a connection is waiting to be accepted

 private:
  int descriptor_ = -1;
  std::uint16_t port_ = 0;
  std::vector<Socket> fillers_;  // fill the accept queue
};

}  // namespace lichenlug::dataplane::test
