// Accepts connections from peers and reads their frames. Nothing is sent on these connections.
#pragma once

#include <event2/listener.h>

#include <array>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <span>
#include <string>

#include "base/byte_budget.h"
#include "base/clock.h"
#include "transport/frame.h"
#include "transport/socket.h"

namespace lichenlug::transport {

class FrameListener {
 public:
  using Handler = std::function<void(std::span<const std::byte>)>;
  struct Limits {
    std::size_t max_frame_bytes = 0;
    std::size_t max_connections = 0;
    std::size_t max_unfinished_bytes = 0;  // of frames that have arrived in part, on all connections
  };

  // `base` must outlive the listener. Calls `handler` with the body of each frame, on the loop's thread.
  FrameListener(event_base* base, const Limits& limits, Handler handler);
  ~FrameListener();
  FrameListener(const FrameListener&) = delete;
  FrameListener& operator=(const FrameListener&) = delete;

  bool Listen(const std::string& address, std::string* error);  // `error`: one line

 private:
  struct Connection {
    Connection(FrameListener* parent, int descriptor);

    FrameListener* listener;
    Socket socket;
    EventPointer readable;  // freed before the socket is closed
    FrameReader reader;
    ByteAccount account;  // of the unfinished frame
    bool sent_frame = false;
    bool evicted = false;
    Time last_frame_at;  // or when it was accepted
    std::list<Connection>::iterator position;
  };
  struct ListenerDeleter {
    void operator()(evconnlistener* owned) const { evconnlistener_free(owned); }
  };

  void Accept(int descriptor);
  void OnEvent(Connection* connection, short what);
  bool ReadOnce(Connection* connection);  // false if it was closed or is unreadable
  bool MakeRoomForConnection();
  void CloseEvicted();

  event_base* const base_;
  const Limits limits_;
  const Handler handler_;
  ByteBudget budget_;
  bool has_evicted_ = false;
  std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
  std::list<Connection> connections_;
  std::array<std::byte, 64u << 10> received_;
};

}  // namespace lichenlug::transport
