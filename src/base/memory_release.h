// Control over how the allocator returns memory to the system.
#pragma once

namespace lichenlug {

// To be called once at the start. Otherwise the allocator raises the size from which it maps blocks
// separately as large blocks are freed, and keeps the later ones for itself.
void MapLargeBlocksSeparately();
void ReturnFreeMemory();

}  // namespace lichenlug
