#include "http/internal/body_budget.h"

#include <algorithm>
#include <utility>

namespace banyanlane::http {

BodyBudget::Lease::Lease(std::shared_ptr<BodyBudget> budget,
                         std::uint64_t bytes)
    : budget(std::move(budget)), held(bytes) {}

BodyBudget::Lease::Lease(Lease&& other) noexcept
    : budget(std::move(other.budget)), held(std::exchange(other.held, 0)) {}

BodyBudget::Lease& BodyBudget::Lease::operator=(Lease&& other) noexcept {
  std::swap(this->budget, other.budget);
  std::swap(this->held, other.held);
  return *this;
}

BodyBudget::Lease::~Lease() {
  if (this->budget && this->held > 0) this->budget->Give(this->held);
}

bool BodyBudget::Lease::Grow(std::uint64_t more) {
  if (!this->budget || !this->budget->TryGrow(more)) return false;
  this->held += more;
  return true;
}

std::optional<BodyBudget::Lease> BodyBudget::Take(std::uint64_t bytes) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->waiters.empty() || this->taken + bytes > this->most) return {};
  this->taken += bytes;
  return Lease(this->shared_from_this(), bytes);
}

std::uint64_t BodyBudget::Wait(std::uint64_t bytes,
                               std::function<void()> on_room) {
  std::vector<std::function<void()>> granted;
  std::uint64_t ticket = 0;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ticket = ++this->last_ticket;
    this->waiters.push_back({ticket, bytes, false, std::move(on_room)});
    granted = this->Grant();
  }
  for (const auto& call : granted) call();
  return ticket;
}

std::optional<BodyBudget::Lease> BodyBudget::Leave(std::uint64_t ticket) {
  std::optional<Lease> lease;
  std::vector<std::function<void()>> granted;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = std::find_if(
        this->waiters.begin(), this->waiters.end(),
        [ticket](const Waiter& waiter) { return waiter.ticket == ticket; });
    if (found == this->waiters.end()) return {};
    if (found->granted) lease = Lease(this->shared_from_this(), found->bytes);
    this->waiters.erase(found);
    granted = this->Grant();
  }
  for (const auto& call : granted) call();
  return lease;
}

void BodyBudget::Give(std::uint64_t bytes) {
  std::vector<std::function<void()>> granted;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->taken -= bytes;
    granted = this->Grant();
  }
  for (const auto& call : granted) call();
}

bool BodyBudget::TryGrow(std::uint64_t bytes) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->taken + bytes > this->most) return false;
  this->taken += bytes;
  return true;
}

std::vector<std::function<void()>> BodyBudget::Grant() {
  std::vector<std::function<void()>> granted;
  for (Waiter& waiter : this->waiters) {
    if (waiter.granted) continue;
    if (this->taken + waiter.bytes > this->most) break;
    this->taken += waiter.bytes;
    waiter.granted = true;
    granted.push_back(waiter.on_room);
  }
  return granted;
}

}  // namespace banyanlane::http
