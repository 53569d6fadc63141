// Small stand-ins for the review's scripts: plain blocking sockets and threads, no library beside the C++
// standard library and POSIX. Everything listens on loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

inline void Sleep(int ms) { std::this_thread::sleep_for(Milliseconds(ms)); }

inline std::string Lower(std::string text) {
  for (char& c : text)
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  return text;
}

// The record of a run: each line with the seconds since its start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path, std::ios::trunc), start_(Clock::now()) {}

  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char at[32];
    std::snprintf(at, sizeof at, "%8.3f  ", std::chrono::duration<double>(Clock::now() - start_).count());
    file_ << at << text << std::endl;
    std::printf("%s%s\n", at, text.c_str());
    std::fflush(stdout);
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_;
};

// ---- Sockets
// -------------------------------------------------------------------------------------------------

inline sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline int Listen(const std::string& ip, int port) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = AddressOf(ip, port);
  const bool bound = ::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  if (bound && ::listen(listener, 256) == 0) return listener;
  ::close(listener);
  return -1;
}

// One TCP connection with a buffer of what was read and not yet used.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {
    const int on = 1;
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Connection(const Connection&) = delete;
  ~Connection() { Close(); }

  static std::unique_ptr<Connection> Open(const std::string& ip, int port, int timeout_ms) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval wait{timeout_ms / 1000, timeout_ms % 1000 * 1000};
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
    const sockaddr_in address = AddressOf(ip, port);
    auto connection = std::make_unique<Connection>(descriptor);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
      return nullptr;
    return connection;
  }

  bool Send(const std::string& bytes) const {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const auto count = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) return false;
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  // Reads some bytes; false at the end of the stream, after a reset or after the time has passed.
  bool Fill(Clock::time_point until) {
    pollfd ready{descriptor_, POLLIN, 0};
    const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
    if (left <= 0 || ::poll(&ready, 1, static_cast<int>(left)) <= 0) return timed_out_ = true, false;
    char bytes[16384];
    const auto count = ::recv(descriptor_, bytes, sizeof bytes, 0);
    if (count < 0) was_reset_ = true;
    if (count <= 0) return false;
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  std::optional<std::string> ReadUntil(const std::string& end, Clock::time_point until) {
    std::size_t at;
    while ((at = buffer_.find(end)) == std::string::npos)
      if (!Fill(until)) return std::nullopt;
    std::string text = buffer_.substr(0, at);
    buffer_.erase(0, at + end.size());
    return text;
  }

  std::optional<std::string> ReadBytes(std::size_t size, Clock::time_point until) {
    while (buffer_.size() < size)
      if (!Fill(until)) return std::nullopt;
    std::string text = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return text;
  }

  void Close() {
    if (descriptor_ >= 0) ::close(descriptor_);
    descriptor_ = -1;
  }

  std::string TakeBuffer() { return std::exchange(buffer_, {}); }
  bool timed_out() const { return timed_out_; }
  bool was_reset() const { return was_reset_; }

 private:
  int descriptor_;
  std::string buffer_;
  bool timed_out_ = false, was_reset_ = false;
};

// ---- HTTP
// ----------------------------------------------------------------------------------------------------

using Headers = std::map<std::string, std::string>;  // names in lower case

struct Message {
  std::string start_line;
  Headers headers;
  std::string body;

  std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
  }
  std::string Word(int index) const {
    std::size_t begin = 0;
    for (; index > 0; --index) begin = start_line.find(' ', begin) + 1;
    return start_line.substr(begin, start_line.find(' ', begin) - begin);
  }
  int status() const { return std::atoi(Word(1).c_str()); }
};

inline std::optional<Message> ReadHead(Connection* connection, Clock::time_point until) {
  const auto head = connection->ReadUntil("\r\n\r\n", until);
  if (!head) return std::nullopt;
  Message message;
  std::size_t begin = 0;
  while (begin < head->size()) {
    const std::size_t end = std::min(head->find("\r\n", begin), head->size());
    const std::string line = head->substr(begin, end - begin);
    begin = end + 2;
    if (message.start_line.empty()) {
      message.start_line = line;
      continue;
    }
    const std::size_t colon = std::min(line.find(':'), line.size());
    std::string value = colon < line.size() ? line.substr(colon + 1) : "";
    value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
    message.headers[Lower(line.substr(0, colon))] = value;
  }
  return message;
}

// The whole request, with a body of a stated length or in chunks.
inline std::optional<Message> ReadRequest(Connection* connection, Clock::time_point until) {
  auto message = ReadHead(connection, until);
  if (!message) return std::nullopt;
  const auto body = connection->ReadBytes(
      static_cast<std::size_t>(std::atoll(message->Header("content-length").c_str())), until);
  if (!body) return std::nullopt;
  message->body = *body;
  return message;
}

// What a client has seen of one answer.
struct Answer {
  int status = 0;         // 0: none
  bool complete = false;  // the whole answer is there, as its framing says
  Message message;
};

// Reads an answer with its body. `complete` is false where the connection ended before the answer's framing
// says that it is whole.
inline Answer ReadAnswer(Connection* connection, Clock::time_point until) {
  Answer answer;
  const auto head = ReadHead(connection, until);
  if (!head) return answer;
  answer.message = *head;
  answer.status = head->status();
  std::string& body = answer.message.body;
  if (Lower(head->Header("transfer-encoding")) == "chunked") {
    while (true) {
      const auto size_line = connection->ReadUntil("\r\n", until);
      if (!size_line) return answer;
      const auto size = static_cast<std::size_t>(std::strtoull(size_line->c_str(), nullptr, 16));
      const auto chunk = connection->ReadBytes(size + 2, until);
      if (!chunk) return answer;
      body.append(*chunk, 0, size);
      if (size == 0) return answer.complete = true, answer;
    }
  }
  const std::string length = head->Header("content-length");
  if (!length.empty()) {
    const auto bytes = connection->ReadBytes(static_cast<std::size_t>(std::atoll(length.c_str())), until);
    if (bytes) body = *bytes, answer.complete = true;
    return answer;
  }
  while (connection->Fill(until)) {
  }
  body = connection->TakeBuffer();
  answer.complete = !connection->timed_out() && !connection->was_reset();
  return answer;
}

inline Answer Call(const std::string& ip, int port, const std::string& method, const std::string& path,
                   const std::string& headers, const std::string& body, int timeout_ms) {
  const auto until = Clock::now() + Milliseconds(timeout_ms);
  const auto connection = Connection::Open(ip, port, timeout_ms);
  if (connection == nullptr) return {};
  std::string request = method + " " + path + " HTTP/1.1\r\nConnection: close\r\n" + headers;
  if (headers.find("Host: ") == std::string::npos)
    request += "Host: " + ip + ":" + std::to_string(port) + "\r\n";
  if (!body.empty() || method != "GET")
    request += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  if (!connection->Send(request + "\r\n" + body)) return {};
  return ReadAnswer(connection.get(), until);
}

inline std::string PlainAnswer(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A server that gives each connection a thread. Runs until its process ends.
inline void Serve(int listener, const std::function<void(Connection*)>& handle) {
  std::thread([listener, handle] {
    while (true) {
      const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0) continue;
      std::thread([descriptor, handle] {
        Connection connection(descriptor);
        handle(&connection);
      }).detach();
    }
  }).detach();
}

// ---- Processes
// -----------------------------------------------------------------------------------------------

class Process {
 public:
  Process() = default;
  Process(const Process&) = delete;
  Process(Process&& other) noexcept : pid_(std::exchange(other.pid_, -1)) {}
  ~Process() { Kill(); }

  // Starts `words` with the variables of `environment` alone. The output goes to `log`, or to the returned
  // descriptor if `log` is empty.
  int Start(const std::vector<std::string>& words, const std::vector<std::string>& environment,
            const std::string& log) {
    int ends[2] = {-1, -1};
    if (log.empty() && ::pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
    std::vector<char*> arguments, variables;
    for (const std::string& word : words) arguments.push_back(const_cast<char*>(word.c_str()));
    for (const std::string& one : environment) variables.push_back(const_cast<char*>(one.c_str()));
    arguments.push_back(nullptr), variables.push_back(nullptr);
    const int output =
        log.empty() ? ends[1] : ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t parent = ::getpid();
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // no process outlives the script
      if (::getppid() != parent) ::_exit(1);
      ::dup2(output, 1), ::dup2(output, 2);
      ::execve(arguments[0], arguments.data(), variables.data());
      ::_exit(127);
    }
    ::close(output);
    return ends[0];
  }

  void Signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }
  bool Running() const { return pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == 0; }
  void Kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  int pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
};

}  // namespace review
