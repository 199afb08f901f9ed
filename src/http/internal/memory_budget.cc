#include "http/internal/memory_budget.h"

#include <algorithm>
#include <utility>

namespace banyanlane::http {
namespace {

/// Allocations up to this size are small.
constexpr std::uint64_t kSmallBytes = std::uint64_t{64} * 1024;
/// Large allocations leave the budget divided by this number to small ones.
constexpr std::uint64_t kSmallShareDivisor = 4;

bool IsLarge(std::uint64_t bytes) { return bytes > kSmallBytes; }

}  // namespace

MemoryBudget::Allocation::Allocation(std::shared_ptr<MemoryBudget> budget,
                                     std::uint64_t bytes)
    : budget(std::move(budget)), allocated_bytes(bytes) {}

MemoryBudget::Allocation::Allocation(Allocation&& other) noexcept
    : budget(std::move(other.budget)),
      allocated_bytes(std::exchange(other.allocated_bytes, 0)) {}

MemoryBudget::Allocation& MemoryBudget::Allocation::operator=(
    Allocation&& other) noexcept {
  std::swap(this->budget, other.budget);
  std::swap(this->allocated_bytes, other.allocated_bytes);
  return *this;
}

MemoryBudget::Allocation::~Allocation() {
  if (this->budget && this->allocated_bytes > 0)
    this->budget->Release(this->allocated_bytes);
}

bool MemoryBudget::Allocation::Extend(std::uint64_t additional_bytes) {
  const std::uint64_t total = this->allocated_bytes + additional_bytes;
  if (!this->budget || !this->budget->TryExtend(additional_bytes, total))
    return false;
  this->allocated_bytes = total;
  return true;
}

void MemoryBudget::Allocation::Reduce(std::uint64_t bytes) {
  if (!this->budget || bytes == 0) return;
  this->allocated_bytes -= bytes;
  this->budget->Release(bytes);
}

std::optional<MemoryBudget::Allocation> MemoryBudget::TryReserve(
    std::uint64_t bytes) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const bool is_any_ahead = std::any_of(
      this->queue.begin(), this->queue.end(), [bytes](const QueueEntry& entry) {
        return IsLarge(entry.bytes) == IsLarge(bytes);
      });
  if (is_any_ahead || !this->HasRoom(bytes, bytes)) return {};
  this->reserved_bytes += bytes;
  return Allocation(this->shared_from_this(), bytes);
}

std::uint64_t MemoryBudget::Enqueue(std::uint64_t bytes,
                                    std::function<void()> on_granted) {
  std::vector<std::function<void()>> callbacks;
  std::uint64_t ticket = 0;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ticket = ++this->last_ticket;
    this->queue.push_back({ticket, bytes, false, std::move(on_granted)});
    callbacks = this->GrantQueued();
  }
  for (const auto& call : callbacks) call();
  return ticket;
}

std::optional<MemoryBudget::Allocation> MemoryBudget::RemoveFromQueue(
    std::uint64_t ticket) {
  std::optional<Allocation> allocation;
  std::vector<std::function<void()>> callbacks;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = std::find_if(
        this->queue.begin(), this->queue.end(),
        [ticket](const QueueEntry& entry) { return entry.ticket == ticket; });
    if (found == this->queue.end()) return {};
    if (found->granted)
      allocation = Allocation(this->shared_from_this(), found->bytes);
    this->queue.erase(found);
    callbacks = this->GrantQueued();
  }
  for (const auto& call : callbacks) call();
  return allocation;
}

void MemoryBudget::Release(std::uint64_t bytes) {
  std::vector<std::function<void()>> callbacks;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->reserved_bytes -= bytes;
    callbacks = this->GrantQueued();
  }
  for (const auto& call : callbacks) call();
}

bool MemoryBudget::HasRoom(std::uint64_t bytes,
                           std::uint64_t total_bytes) const {
  const std::uint64_t reserved = this->reserved_bytes + bytes;
  const bool is_only_one = reserved == total_bytes;
  const std::uint64_t kept = IsLarge(total_bytes) && !is_only_one
                                 ? this->max_bytes / kSmallShareDivisor
                                 : 0;
  return reserved <= this->max_bytes - kept;
}

std::uint64_t MemoryBudget::QueuedBytes() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::uint64_t bytes = 0;
  for (const QueueEntry& entry : this->queue)
    bytes += entry.granted ? 0 : entry.bytes;
  return bytes;
}

bool MemoryBudget::TryExtend(std::uint64_t bytes, std::uint64_t total_bytes) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->HasRoom(bytes, total_bytes)) return false;
  this->reserved_bytes += bytes;
  return true;
}

std::vector<std::function<void()>> MemoryBudget::GrantQueued() {
  std::vector<std::function<void()>> callbacks;
  bool is_large_blocked = false;
  for (QueueEntry& entry : this->queue) {
    if (entry.granted || (is_large_blocked && IsLarge(entry.bytes))) continue;
    if (!this->HasRoom(entry.bytes, entry.bytes)) {
      if (!IsLarge(entry.bytes)) break;
      is_large_blocked = true;
      continue;
    }
    this->reserved_bytes += entry.bytes;
    entry.granted = true;
    callbacks.push_back(entry.on_granted);
  }
  return callbacks;
}

}  // namespace banyanlane::http
