#include "http/internal/body_budget.h"

#include <algorithm>
#include <utility>

namespace banyanlane::http {

BodyBudget::Allocation::Allocation(std::shared_ptr<BodyBudget> budget,
                                   std::uint64_t bytes)
    : budget(std::move(budget)), allocated_bytes(bytes) {}

BodyBudget::Allocation::Allocation(Allocation&& other) noexcept
    : budget(std::move(other.budget)),
      allocated_bytes(std::exchange(other.allocated_bytes, 0)) {}

BodyBudget::Allocation& BodyBudget::Allocation::operator=(
    Allocation&& other) noexcept {
  std::swap(this->budget, other.budget);
  std::swap(this->allocated_bytes, other.allocated_bytes);
  return *this;
}

BodyBudget::Allocation::~Allocation() {
  if (this->budget && this->allocated_bytes > 0)
    this->budget->Release(this->allocated_bytes);
}

bool BodyBudget::Allocation::Extend(std::uint64_t additional_bytes) {
  if (!this->budget || !this->budget->TryExtend(additional_bytes)) return false;
  this->allocated_bytes += additional_bytes;
  return true;
}

std::optional<BodyBudget::Allocation> BodyBudget::TryReserve(
    std::uint64_t bytes) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->queue.empty() || this->reserved_bytes + bytes > this->max_bytes)
    return {};
  this->reserved_bytes += bytes;
  return Allocation(this->shared_from_this(), bytes);
}

std::uint64_t BodyBudget::Enqueue(std::uint64_t bytes,
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

std::optional<BodyBudget::Allocation> BodyBudget::RemoveFromQueue(
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

void BodyBudget::Release(std::uint64_t bytes) {
  std::vector<std::function<void()>> callbacks;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->reserved_bytes -= bytes;
    callbacks = this->GrantQueued();
  }
  for (const auto& call : callbacks) call();
}

bool BodyBudget::TryExtend(std::uint64_t bytes) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->reserved_bytes + bytes > this->max_bytes) return false;
  this->reserved_bytes += bytes;
  return true;
}

std::vector<std::function<void()>> BodyBudget::GrantQueued() {
  std::vector<std::function<void()>> callbacks;
  for (QueueEntry& entry : this->queue) {
    if (entry.granted) continue;
    if (this->reserved_bytes + entry.bytes > this->max_bytes) break;
    this->reserved_bytes += entry.bytes;
    entry.granted = true;
    callbacks.push_back(entry.on_granted);
  }
  return callbacks;
}

}  // namespace banyanlane::http
