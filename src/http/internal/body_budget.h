#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace banyanlane::http {

/// Limits the memory of the bodies of all requests. A body that does not fit
/// yet is not read, so that TCP flow control slows the caller down.
/// Thread-safe.
class BodyBudget : public std::enable_shared_from_this<BodyBudget> {
 public:
  /// Memory reserved for one body. The destructor releases it.
  class Lease {
   public:
    Lease() = default;
    Lease(std::shared_ptr<BodyBudget> budget, std::uint64_t bytes);
    Lease(Lease&& other) noexcept;
    Lease& operator=(Lease&& other) noexcept;
    Lease(const Lease&) = delete;
    Lease& operator=(const Lease&) = delete;
    ~Lease();

    std::uint64_t bytes() const { return this->held; }
    /// Reserves `more` additional bytes. Does not wait, since other requests
    /// may be waiting for the memory of this one.
    /// @return false if the memory is not available.
    bool Grow(std::uint64_t more);

   private:
    std::shared_ptr<BodyBudget> budget;
    std::uint64_t held = 0;
  };

  explicit BodyBudget(std::uint64_t most) : most(most) {}

  /// Returns whether a body of `bytes` fits the budget when it is unused.
  bool CanHold(std::uint64_t bytes) const { return bytes <= this->most; }

  /// Reserves `bytes` if they are available and no request is queued.
  std::optional<Lease> Take(std::uint64_t bytes);

  /// Queues a request for `bytes`. The queue is served in order.
  /// @param on_room called at most once, from any thread, when the bytes have
  /// been reserved. Leave before that prevents the call.
  /// @return the ticket of the queue entry.
  std::uint64_t Wait(std::uint64_t bytes, std::function<void()> on_room);
  /// Removes a queue entry.
  /// @return its memory if it has been reserved.
  std::optional<Lease> Leave(std::uint64_t ticket);

 private:
  struct Waiter {
    std::uint64_t ticket = 0;
    std::uint64_t bytes = 0;
    bool granted = false;
    std::function<void()> on_room;
  };

  void Give(std::uint64_t bytes);
  bool TryGrow(std::uint64_t bytes);
  /// Reserves memory for the queue entries that fit, in order. Requires the
  /// lock.
  /// @return the callbacks of these entries, to be called without the lock.
  std::vector<std::function<void()>> Grant();

  std::uint64_t most;
  std::mutex mutex;  ///< Protects the members below.
  std::uint64_t taken = 0;
  std::uint64_t last_ticket = 0;
  std::list<Waiter> waiters;
};

}  // namespace banyanlane::http
