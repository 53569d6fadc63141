// How the control plane's parts share the memory and the descriptors of the machine. The data plane has a
// share of its own (dataplane::Settings); what is not shared out is left to the state of the process.
#pragma once

#include <cstddef>

#include "host/http_server.h"
#include "node/node_settings.h"

namespace lichenlug::host {

struct MemoryShares {
  HttpServer::Limits control, ready;
  std::size_t unfinished_message_bytes = 0;  // of other dispatchers' messages
  std::size_t internal_connections = 0;      // from other dispatchers
};

MemoryShares SharesOf(const node::NodeSettings& settings);

}  // namespace lichenlug::host
