#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace banyanlane::http {

/// Bounds the memory that the bodies of all requests take together. A caller
/// whose body has no room yet is held back by its own connection.
class BodyBudget : public std::enable_shared_from_this<BodyBudget> {
 public:
  /// Memory taken for one body; given back at its end.
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
    /// Takes `more` bytes besides. Does not wait, since others may wait for
    /// what this one holds. @return false when there is no room.
    bool Grow(std::uint64_t more);

   private:
    std::shared_ptr<BodyBudget> budget;
    std::uint64_t held = 0;
  };

  explicit BodyBudget(std::uint64_t most) : most(most) {}

  /// Returns whether a body of `bytes` can ever have room.
  bool CanHold(std::uint64_t bytes) const { return bytes <= this->most; }

  /// Takes `bytes` if there is room and nobody waits.
  std::optional<Lease> Take(std::uint64_t bytes);

  /// Waits in order for `bytes`. `on_room` is called once, from any thread,
  /// when another Take may succeed; not after Leave.
  /// @return a ticket.
  std::uint64_t Wait(std::uint64_t bytes, std::function<void()> on_room);
  /// Ends a wait, and takes its bytes if they have been set aside.
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
  /// Sets bytes aside for those that come first. Needs the lock.
  std::vector<std::function<void()>> Grant();

  std::uint64_t most;
  std::mutex mutex;  ///< Of what follows.
  std::uint64_t taken = 0;
  std::uint64_t last_ticket = 0;
  std::list<Waiter> waiters;
};

}  // namespace banyanlane::http
