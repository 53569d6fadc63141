// A bounded table of numbered slots. A handle consists of a slot and its generation: once the slot is reused,
// old handles no longer resolve, so that a late event can't reach the wrong entry.
#pragma once

#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace lichenlug {

struct Handle {
  std::uint32_t slot = 0, generation = 0;  // generation 0: the null handle

  explicit operator bool() const { return generation != 0; }
  bool operator==(const Handle&) const = default;
  std::uint64_t Packed() const { return std::uint64_t{generation} << 32 | slot; }
  static Handle Unpack(std::uint64_t packed) {
    return {static_cast<std::uint32_t>(packed), static_cast<std::uint32_t>(packed >> 32)};
  }
};

template <typename T>
class SlotTable {
 public:
  explicit SlotTable(std::size_t capacity) : capacity_(capacity) {}

  std::size_t size() const { return size_; }
  bool full() const { return size_ >= capacity_; }

  // Returns a null handle if the table is full.
  Handle Insert(T value) {
    if (full()) return {};
    if (free_.empty()) {
      free_.push_back(static_cast<std::uint32_t>(slots_.size()));
      slots_.emplace_back();
    }
    const std::uint32_t index = free_.back();
    free_.pop_back();
    slots_[index].value = std::make_unique<T>(std::move(value));  // keeps its address while the table grows
    ++size_;
    return {index, slots_[index].generation};
  }

  T* Find(Handle handle) {
    if (handle.slot >= slots_.size() || slots_[handle.slot].generation != handle.generation) return nullptr;
    return slots_[handle.slot].value.get();
  }

  void Erase(Handle handle) {
    if (Find(handle) == nullptr) return;
    Slot& slot = slots_[handle.slot];
    slot.value.reset();
    if (++slot.generation == 0) slot.generation = 1;
    free_.push_back(handle.slot);
    --size_;
  }

  // Calls `call` with each handle and entry; it may erase that entry.
  template <typename Callback>
  void ForEach(Callback callback) {
    for (std::uint32_t i = 0; i < slots_.size(); ++i)
      if (slots_[i].value) callback(Handle{i, slots_[i].generation}, *slots_[i].value);
  }

 private:
  struct Slot {
    std::uint32_t generation = 1;
    std::unique_ptr<T> value;
  };
  std::size_t capacity_, size_ = 0;
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_;
};

}  // namespace lichenlug
