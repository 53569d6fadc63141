#include "lab/fleet/crowd_requests.h"

#include <algorithm>
#include <cstdio>

namespace lichenlug::lab {
namespace {

constexpr std::size_t kBlockBytes = 64 * 1024;  // written at once
constexpr char kLastChunk[] = "0\r\n\r\n";
constexpr char kShortHeader[] = "a:\r\n";

std::string Repeat(const std::string& text, std::size_t times) {
  std::string repeated;
  repeated.reserve(text.size() * times);
  for (std::size_t i = 0; i < times; ++i) repeated += text;
  return repeated;
}

std::string Chunk(std::size_t size) {
  char length[24];
  std::snprintf(length, sizeof length, "%zx\r\n", size);
  return length + std::string(size, 'x') + "\r\n";
}

}  // namespace

CrowdPlan AnnouncedBodies(int connections, const RequestStart& start, std::size_t size, Ending ending) {
  CrowdPlan plan;
  plan.connections = connections;
  plan.head = start + "Content-Length: " + std::to_string(size) + "\r\n\r\n";
  plan.block = std::string(kBlockBytes, 'x');
  plan.blocks = (size - 1) / kBlockBytes;
  const std::size_t rest = size - plan.blocks * kBlockBytes;
  plan.tail = std::string(ending == Ending::kComplete ? rest : rest - 1, 'x');
  return plan;
}

CrowdPlan ChunkedBodies(int connections, const RequestStart& start, std::size_t chunk_size,
                        std::size_t chunks, Ending ending) {
  CrowdPlan plan;
  plan.connections = connections;
  plan.head = start + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = Chunk(chunk_size);
  const std::size_t chunks_in_block = std::max<std::size_t>(1, kBlockBytes / chunk.size());
  plan.block = Repeat(chunk, chunks_in_block);
  plan.blocks = chunks / chunks_in_block;
  plan.tail = Repeat(chunk, chunks % chunks_in_block);
  if (ending == Ending::kComplete) plan.tail += kLastChunk;
  return plan;
}

CrowdPlan EndlessHeads(int connections, const RequestStart& start, std::size_t bytes) {
  CrowdPlan plan;
  plan.connections = connections;
  plan.head = start;
  plan.tail = Repeat(kShortHeader, bytes / (sizeof kShortHeader - 1));
  return plan;
}

}  // namespace lichenlug::lab
