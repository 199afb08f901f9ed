#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

#include "http/i_http_handler.h"
#include "http/internal/connection_tracker.h"
#include "http/internal/memory_budget.h"

namespace banyanlane::http {

/// Responses up to this size are not counted. They are bounded by the number of
/// connections.
inline constexpr std::uint64_t kUncountedResponseBytes =
    std::uint64_t{8} * 1024;

/// Memory of the response of one exchange, out of the budget of all responses.
class ResponseMemory : public IResponseMemory {
 public:
  /// @param tracker asked to let others give way when memory is short.
  /// @param held_bytes counts what the responses on the connection hold.
  ResponseMemory(std::shared_ptr<MemoryBudget> budget,
                 std::shared_ptr<ConnectionTracker> tracker,
                 std::shared_ptr<std::atomic<std::uint64_t>> held_bytes);
  ~ResponseMemory() override;
  ResponseMemory(const ResponseMemory&) = delete;
  ResponseMemory& operator=(const ResponseMemory&) = delete;

  bool Resize(std::uint64_t bytes) override;

 private:
  /// Requires the lock.
  bool TryGrow(std::uint64_t additional_bytes);

  std::shared_ptr<MemoryBudget> budget;
  std::shared_ptr<ConnectionTracker> tracker;
  std::shared_ptr<std::atomic<std::uint64_t>> held_bytes;
  std::mutex mutex;  ///< Protects `allocation`.
  MemoryBudget::Allocation allocation;
  std::atomic<std::uint64_t> counted_bytes{0};
};

}  // namespace banyanlane::http
