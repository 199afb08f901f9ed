#include "http/internal/connection_roster.h"

#include <algorithm>

namespace banyanlane::http {
namespace {

/// Divisor of the maximum that gives the number of connections accepted beyond
/// it only to refuse their requests. It covers the connections that arrive
/// while one refusal is written.
constexpr std::size_t kRefusedPart = 16;
constexpr std::size_t kFewestRefused = 16;

}  // namespace

ConnectionRoster::ConnectionRoster(std::size_t most) : most(most) {}

Admission ConnectionRoster::Admit() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->open;
    if (this->open <= this->most) return Admission::kServe;
  }
  return this->CloseOneIdle() ? Admission::kServe : Admission::kRefuse;
}

void ConnectionRoster::Remove() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  --this->open;
}

bool ConnectionRoster::IsFull() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::size_t refused =
      std::max(kFewestRefused, this->most / kRefusedPart);
  return this->idle.empty() && this->open >= this->most + refused;
}

std::uint64_t ConnectionRoster::AddIdle(
    std::weak_ptr<IIdleConnection> connection, kernel::TimePoint until) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::uint64_t ticket = ++this->last_ticket;
  this->ends[ticket] = until;
  this->idle[{until, ticket}] = std::move(connection);
  return ticket;
}

bool ConnectionRoster::RemoveIdle(std::uint64_t ticket) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->ends.find(ticket);
  if (found == this->ends.end()) return false;
  this->idle.erase({found->second, ticket});
  this->ends.erase(found);
  return true;
}

std::shared_ptr<IIdleConnection> ConnectionRoster::TakeNext(
    kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  while (!this->idle.empty()) {
    const auto next = this->idle.begin();
    const auto [end, ticket] = next->first;
    if (end > now) return nullptr;
    auto connection = next->second.lock();
    this->ends.erase(ticket);
    this->idle.erase(next);
    if (connection) return connection;
  }
  return nullptr;
}

bool ConnectionRoster::CloseOneIdle() {
  const auto next = this->TakeNext(kernel::TimePoint::max());
  if (!next) return false;
  next->CloseIdle();
  return true;
}

void ConnectionRoster::CloseExpired(kernel::TimePoint now) {
  while (const auto next = this->TakeNext(now)) next->CloseIdle();
}

}  // namespace banyanlane::http
