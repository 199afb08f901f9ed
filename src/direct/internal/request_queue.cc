#include "direct/internal/request_queue.h"

#include <algorithm>

namespace banyanlane::direct {
namespace {

/// Shortest time over which the rate of dispatched requests is computed.
constexpr kernel::Millis kRateWindow{1'000};
constexpr double kMillisPerSecond = 1'000;

}  // namespace

std::size_t RequestQueue::CountAhead(const ServiceQueue& queue,
                                     std::int64_t urgency,
                                     kernel::TimePoint now) const {
  const auto position = queue.entries.upper_bound({urgency, this->last_ticket});
  return static_cast<std::size_t>(std::count_if(
      queue.entries.begin(), position,
      [now](const auto& entry) { return entry.second.dispatch_by > now; }));
}

std::size_t RequestQueue::CountAhead(const std::string& service,
                                     std::int64_t urgency,
                                     kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->CountAhead(this->queues[service], urgency, now);
}

std::optional<kernel::Millis> RequestQueue::ExpectedWait(
    const std::string& service, std::int64_t urgency, kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  ServiceQueue& queue = this->queues[service];
  const std::size_t ahead = this->CountAhead(queue, urgency, now);
  if (ahead == 0) return kernel::Millis{0};
  const bool is_stale = now - queue.rate_updated_at > 2 * kRateWindow;
  if (queue.dispatched_per_second <= 0 || is_stale) return std::nullopt;
  return kernel::Millis(static_cast<std::int64_t>(static_cast<double>(ahead) /
                                                  queue.dispatched_per_second *
                                                  kMillisPerSecond));
}

std::uint64_t RequestQueue::Enqueue(const std::string& service,
                                    std::int64_t urgency, std::uint64_t number,
                                    kernel::TimePoint dispatch_by) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::uint64_t ticket = ++this->last_ticket;
  this->queues[service].entries[{urgency, ticket}] = {number, dispatch_by};
  return ticket;
}

void RequestQueue::Remove(const std::string& service, std::int64_t urgency,
                          std::uint64_t ticket) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->queues[service].entries.erase({urgency, ticket});
}

void RequestQueue::OnDispatched(const std::string& service,
                                kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  ServiceQueue& queue = this->queues[service];
  ++queue.dispatched;
  const auto span = now - queue.rate_updated_at;
  if (span < kRateWindow) return;
  const double seconds =
      std::chrono::duration<double>(
          std::min<kernel::Clock::duration>(span, 2 * kRateWindow))
          .count();
  queue.dispatched_per_second = static_cast<double>(queue.dispatched) / seconds;
  queue.dispatched = 0;
  queue.rate_updated_at = now;
}

std::optional<std::uint64_t> RequestQueue::NextRequest(
    const std::string& service, const std::set<std::uint64_t>& skipped,
    kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->queues.find(service);
  if (found == this->queues.end()) return std::nullopt;
  std::optional<std::uint64_t> first;
  std::int64_t first_urgency = 0;
  for (const auto& [order, entry] : found->second.entries) {
    if (skipped.count(entry.number) != 0) continue;
    if (first && order.first != first_urgency) break;
    if (entry.dispatch_by > now) return entry.number;
    if (first) continue;
    first = entry.number;
    first_urgency = order.first;
  }
  return first;
}

std::vector<std::string> RequestQueue::QueuedServices() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<std::string> services;
  for (const auto& [service, queue] : this->queues) {
    if (!queue.entries.empty()) services.push_back(service);
  }
  return services;
}

std::size_t RequestQueue::Length(const std::string& service) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->queues.find(service);
  return found == this->queues.end() ? 0 : found->second.entries.size();
}

std::size_t RequestQueue::TotalLength() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::size_t length = 0;
  for (const auto& entry : this->queues) length += entry.second.entries.size();
  return length;
}

}  // namespace banyanlane::direct
