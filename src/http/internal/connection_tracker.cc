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

ConnectionTracker::ConnectionTracker(std::size_t max_connections,
                                     kernel::Millis patience)
    : max_connections(max_connections), patience(patience) {}

Admission ConnectionTracker::Admit(kernel::TimePoint now) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->open;
    if (this->open <= this->max_connections) return Admission::kServe;
  }
  return this->MakeRoom(now) ? Admission::kServe : Admission::kRefuse;
}

void ConnectionTracker::Remove() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  --this->open;
}

bool ConnectionTracker::IsFull(kernel::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::size_t refused =
      std::max(kMinRefused, this->max_connections / kRefusedDivisor);
  const bool can_make_room =
      !this->idle.empty() || !this->request_waits.empty() ||
      (!this->response_waits.empty() &&
       this->response_waits.begin()->second.since <= now - this->patience);
  return !can_make_room && this->open >= this->max_connections + refused;
}

std::uint64_t ConnectionTracker::AddIdle(
    std::weak_ptr<ITrackedConnection> connection, const IHttpServer& server,
    kernel::TimePoint since, kernel::TimePoint until) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::uint64_t ticket = ++this->last_ticket;
  this->idle_ends[ticket] = until;
  this->idle[{until, ticket}] = {std::move(connection), &server, since};
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

std::shared_ptr<ITrackedConnection> ConnectionTracker::RemoveNextIdle(
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

std::uint64_t ConnectionTracker::AddWaiting(
    CallerWait wait, std::weak_ptr<ITrackedConnection> connection,
    kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::uint64_t ticket = ++this->last_ticket;
  this->WaitsFor(wait).emplace_hint(
      this->WaitsFor(wait).end(), ticket,
      WaitingConnection{std::move(connection), now});
  return ticket;
}

void ConnectionTracker::RemoveWaiting(CallerWait wait, std::uint64_t ticket) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->WaitsFor(wait).erase(ticket);
}

std::optional<std::uint64_t> ConnectionTracker::EndLongestWait(
    CallerWait wait, kernel::TimePoint latest) {
  std::shared_ptr<ITrackedConnection> connection;
  std::uint64_t ticket = 0;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    Waits& waits = this->WaitsFor(wait);
    while (!connection) {
      if (waits.empty() || waits.begin()->second.since > latest) return {};
      ticket = waits.begin()->first;
      connection = waits.begin()->second.connection.lock();
      waits.erase(waits.begin());
    }
  }
  const std::uint64_t bytes = connection->HeldBytes(wait);
  connection->GiveWay(ticket);
  return bytes;
}

bool ConnectionTracker::CloseNextIdle(kernel::TimePoint latest) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const bool is_idle_since_then =
        !this->idle.empty() && this->idle.begin()->second.since <= latest;
    if (!is_idle_since_then) return false;
  }
  const auto next = this->RemoveNextIdle(kernel::TimePoint::max());
  if (!next) return false;
  next->CloseIdle();
  return true;
}

bool ConnectionTracker::MakeRoom(kernel::TimePoint now) {
  const kernel::TimePoint latest = now - this->patience;
  return this->CloseNextIdle(latest) ||
         this->EndLongestWait(CallerWait::kRequest, now).has_value() ||
         this->CloseNextIdle(now) ||
         this->EndLongestWait(CallerWait::kResponse, latest).has_value();
}

void ConnectionTracker::ReleaseMemory(CallerWait wait, std::uint64_t bytes,
                                      kernel::TimePoint now) {
  std::uint64_t released = 0;
  while (released < bytes) {
    const auto held = this->EndLongestWait(wait, now - this->patience);
    if (!held) return;
    released += *held;
  }
}

void ConnectionTracker::CloseIdleOf(const IHttpServer& server) {
  std::vector<std::shared_ptr<ITrackedConnection>> closed;
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
