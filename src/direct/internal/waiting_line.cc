#include "direct/internal/waiting_line.h"

#include <algorithm>

namespace banyanlane::direct {
namespace {

/// Span over which the rate of served requests is taken.
constexpr kernel::Millis kRateSpan{1'000};
constexpr double kMillisPerSecond = 1'000;

}  // namespace

std::optional<kernel::Millis> WaitingLine::ExpectedWait(
    const std::string& service, std::int64_t urgency, kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Line& line = this->lines[service];
  const auto behind = line.waiting.upper_bound({urgency, this->last_ticket});
  const auto ahead =
      std::count_if(line.waiting.begin(), behind,
                    [now](const auto& entry) { return entry.second > now; });
  if (ahead == 0) return kernel::Millis{0};
  const bool stale = now - line.counted_at > 2 * kRateSpan;
  if (line.served_per_second <= 0 || stale) return std::nullopt;
  return kernel::Millis(static_cast<std::int64_t>(
      static_cast<double>(ahead) / line.served_per_second * kMillisPerSecond));
}

std::uint64_t WaitingLine::Join(const std::string& service,
                                std::int64_t urgency,
                                kernel::TimePoint in_time_until) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::uint64_t ticket = ++this->last_ticket;
  this->lines[service].waiting[{urgency, ticket}] = in_time_until;
  return ticket;
}

void WaitingLine::Leave(const std::string& service, std::int64_t urgency,
                        std::uint64_t ticket) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->lines[service].waiting.erase({urgency, ticket});
}

void WaitingLine::OnServed(const std::string& service, kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Line& line = this->lines[service];
  ++line.served;
  const auto span = now - line.counted_at;
  if (span < kRateSpan) return;
  const double seconds =
      std::chrono::duration<double>(
          std::min<kernel::Clock::duration>(span, 2 * kRateSpan))
          .count();
  line.served_per_second = static_cast<double>(line.served) / seconds;
  line.served = 0;
  line.counted_at = now;
}

std::optional<std::uint64_t> WaitingLine::First(const std::string& service,
                                                kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->lines.find(service);
  if (found == this->lines.end() || found->second.waiting.empty())
    return std::nullopt;
  const auto& waiting = found->second.waiting;
  const std::int64_t urgency = waiting.begin()->first.first;
  for (const auto& [place, in_time_until] : waiting) {
    if (place.first != urgency) break;
    if (in_time_until > now) return place.second;
  }
  return waiting.begin()->first.second;
}

std::vector<std::string> WaitingLine::Services() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<std::string> services;
  for (const auto& [service, line] : this->lines) {
    if (!line.waiting.empty()) services.push_back(service);
  }
  return services;
}

std::size_t WaitingLine::Length(const std::string& service) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->lines.find(service);
  return found == this->lines.end() ? 0 : found->second.waiting.size();
}

}  // namespace banyanlane::direct
