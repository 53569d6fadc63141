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
  explicit SlotTable(std::size_t max) : max_(max) {}

  std::size_t size() const { return size_; }
  bool full() const { return size_ >= max_; }

  // Returns a null handle if the table is full.
  Handle Insert(T value) {
    if (full()) return {};
    if (spare_.empty()) {
      spare_.push_back(static_cast<std::uint32_t>(slots_.size()));
      slots_.emplace_back();
    }
    const std::uint32_t index = spare_.back();
    spare_.pop_back();
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
    spare_.push_back(handle.slot);
    --size_;
  }

  // Calls `call` with each handle and entry; it may erase that entry.
  template <typename Call>
  void ForEach(Call call) {
    for (std::uint32_t i = 0; i < slots_.size(); ++i)
      if (slots_[i].value) call(Handle{i, slots_[i].generation}, *slots_[i].value);
  }

 private:
  struct Slot {
    std::uint32_t generation = 1;
    std::unique_ptr<T> value;
  };
  std::size_t max_, size_ = 0;
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> spare_;
};

}  // namespace lichenlug
