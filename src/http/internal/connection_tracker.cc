#include "http/internal/connection_tracker.h"

#include <algorithm>
#include <vector>

namespace banyanlane::http {
namespace {

/// Beyond the maximum, max_connections / kRefusedDivisor connections, but at
/// least kMinRefused, are accepted only to refuse their requests. This covers
/// the connections that arrive while one refusal is written.
constexpr std::size_t kRefusedDivisor = 16;
constexpr std::size_t kMinRefused = 16;

}  // namespace

ConnectionTracker::ConnectionTracker(std::size_t max_connections)
    : max_connections(max_connections) {}

Admission ConnectionTracker::Admit() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->open;
    if (this->open <= this->max_connections) return Admission::kServe;
  }
  return this->CloseNextIdle() ? Admission::kServe : Admission::kRefuse;
}

void ConnectionTracker::Remove() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  --this->open;
}

bool ConnectionTracker::IsFull() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::size_t refused =
      std::max(kMinRefused, this->max_connections / kRefusedDivisor);
  return this->idle.empty() && this->open >= this->max_connections + refused;
}

std::uint64_t ConnectionTracker::AddIdle(
    std::weak_ptr<IIdleConnection> connection, const IHttpServer& server,
    kernel::TimePoint until) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::uint64_t ticket = ++this->last_ticket;
  this->idle_ends[ticket] = until;
  this->idle[{until, ticket}] = {std::move(connection), &server};
  return ticket;
}

bool ConnectionTracker::RemoveIdle(std::uint64_t ticket) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->idle_ends.find(ticket);
  if (found == this->idle_ends.end()) return false;
  this->idle.erase({found->second, ticket});
  this->idle_ends.erase(found);
  return true;
}

std::shared_ptr<IIdleConnection> ConnectionTracker::RemoveNextIdle(
    kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  while (!this->idle.empty()) {
    const auto next = this->idle.begin();
    const auto [end, ticket] = next->first;
    if (end > now) return nullptr;
    auto connection = next->second.connection.lock();
    this->idle_ends.erase(ticket);
    this->idle.erase(next);
    if (connection) return connection;
  }
  return nullptr;
}

bool ConnectionTracker::CloseNextIdle() {
  const auto next = this->RemoveNextIdle(kernel::TimePoint::max());
  if (!next) return false;
  next->CloseIdle();
  return true;
}

void ConnectionTracker::CloseIdleOf(const IHttpServer& server) {
  std::vector<std::shared_ptr<IIdleConnection>> closed;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (auto it = this->idle.begin(); it != this->idle.end();) {
      if (it->second.server != &server) {
        ++it;
        continue;
      }
      if (auto connection = it->second.connection.lock())
        closed.push_back(std::move(connection));
      this->idle_ends.erase(it->first.second);
      it = this->idle.erase(it);
    }
  }
  for (const auto& connection : closed) connection->CloseIdle();
}

void ConnectionTracker::CloseExpired(kernel::TimePoint now) {
  while (const auto next = this->RemoveNextIdle(now)) next->CloseIdle();
}

}  // namespace banyanlane::http
