#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace banyanlane::http {

/// Limits the memory of a kind of data of all requests. A large part is kept
/// from large allocations, so that small ones find memory beside them.
/// Thread-safe.
class MemoryBudget : public std::enable_shared_from_this<MemoryBudget> {
 public:
  /// Memory reserved for one request. The destructor releases it.
  class Allocation {
   public:
    Allocation() = default;
    Allocation(std::shared_ptr<MemoryBudget> budget, std::uint64_t bytes);
    Allocation(Allocation&& other) noexcept;
    Allocation& operator=(Allocation&& other) noexcept;
    Allocation(const Allocation&) = delete;
    Allocation& operator=(const Allocation&) = delete;
    ~Allocation();

    std::uint64_t bytes() const { return this->allocated_bytes; }
    /// Reserves `additional_bytes` more. Does not wait, since other requests
    /// may be waiting for the memory of this one.
    /// @return false if the memory is not available.
    bool Extend(std::uint64_t additional_bytes);
    /// Releases a part of the memory.
    void Reduce(std::uint64_t bytes);

   private:
    std::shared_ptr<MemoryBudget> budget;
    std::uint64_t allocated_bytes = 0;
  };

  explicit MemoryBudget(std::uint64_t max_bytes) : max_bytes(max_bytes) {}

  /// Returns whether `bytes` fit the budget when nothing else is reserved.
  bool CanHold(std::uint64_t bytes) const { return bytes <= this->max_bytes; }

  /// Reserves `bytes` if they are available and no entry of this size is
  /// queued.
  std::optional<Allocation> TryReserve(std::uint64_t bytes);

  /// Adds an entry for `bytes` to the queue. Entries are served in order, small
  /// ones apart from large ones.
  /// @param on_granted called at most once when the bytes have been reserved,
  /// from any thread and possibly before Enqueue returns. RemoveFromQueue
  /// before that prevents the call.
  /// @return the ticket of the queue entry.
  std::uint64_t Enqueue(std::uint64_t bytes, std::function<void()> on_granted);
  /// Removes a queue entry.
  /// @return its memory if it has been reserved.
  std::optional<Allocation> RemoveFromQueue(std::uint64_t ticket);
  /// Returns the number of bytes that the queue waits for.
  std::uint64_t QueuedBytes();

 private:
  struct QueueEntry {
    std::uint64_t ticket = 0;
    std::uint64_t bytes = 0;
    bool granted = false;
    std::function<void()> on_granted;
  };

  void Release(std::uint64_t bytes);
  /// @param total_bytes size of the allocation after it is extended.
  bool TryExtend(std::uint64_t bytes, std::uint64_t total_bytes);
  /// Returns whether `bytes` are available to an allocation of `total_bytes`.
  /// Requires the lock.
  bool HasRoom(std::uint64_t bytes, std::uint64_t total_bytes) const;
  /// Reserves memory for the queue entries that fit, in order. Requires the
  /// lock.
  /// @return the callbacks of these entries, to be called without the lock.
  std::vector<std::function<void()>> GrantQueued();

  std::uint64_t max_bytes;
  std::mutex mutex;  ///< Protects the members below.
  std::uint64_t reserved_bytes = 0;
  std::uint64_t last_ticket = 0;
  std::list<QueueEntry> queue;
};

}  // namespace banyanlane::http
