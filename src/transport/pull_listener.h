// The nng pull socket on which all peers' messages arrive, one at a time, on nng's threads.
#pragma once

#include <nng/nng.h>

#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <span>
#include <string>

#include "transport/link_liveness.h"

namespace lichenlug::transport {

class PullListener {
 public:
  using Handler = std::function<void(std::span<const std::byte>)>;

  explicit PullListener(Handler handler) : handler_(std::move(handler)) {}
  ~PullListener() { Close(); }
  PullListener(const PullListener&) = delete;
  PullListener& operator=(const PullListener&) = delete;

  bool Listen(const std::string& address, std::size_t longest_message, std::string* error);
  void Close();  // when it has returned, the handler runs no more

 private:
  int Start(const std::string& url, std::size_t longest_message);
  void OnMessage();
  void Heard(nng_pipe pipe);
  static void OnPipeEvent(nng_pipe pipe, nng_pipe_ev event, void* listener);

  Handler handler_;
  bool open_ = false;
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
  nng_aio* receive_ = nullptr;

  std::mutex pipes_mutex_;
  std::map<int, SteadyTime> last_heard_;  // by pipe
  SteadyTime next_sweep_;
};

}  // namespace lichenlug::transport
