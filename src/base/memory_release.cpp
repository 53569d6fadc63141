#include "base/memory_release.h"

#include <malloc.h>

namespace lichenlug {
namespace {

constexpr int kSeparateBlockBytes = 128 * 1024;

}  // namespace

void MapLargeBlocksSeparately() { mallopt(M_MMAP_THRESHOLD, kSeparateBlockBytes); }
void ReturnFreeMemory() { malloc_trim(0); }

}  // namespace lichenlug
