#include "limits/internal/rate_limits.h"

#include <type_traits>

#include "kernel/event_log.h"
#include "peers/i_peers.h"

namespace banyanlane::limits {

template <typename Update>
void RateLimits::Apply(kernel::TimePoint now, Update update) {
  std::vector<std::pair<link::LinkPtr, link::Message>> messages;
  std::vector<std::pair<std::string, double>> changes;
  bool permits_changed = false;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    update(this->shared);
    this->shared.Step(now);
    for (SharedRateLimits::Outgoing& outgoing : this->shared.TakeMessages()) {
      const auto found = this->links.find(outgoing.link);
      if (found != this->links.end())
        messages.emplace_back(found->second, std::move(outgoing.message));
    }
    changes = this->shared.TakeChanges();
    permits_changed = this->shared.TakePermitsChanged();
    this->is_active = this->shared.IsActive();
  }
  for (const auto& [endpoint, per_second] : changes) {
    if (IsWorkResource(endpoint)) continue;
    kernel::LogEvent(
        kernel::EventId::kEndpointLimited,
        {{"endpoint", endpoint}, {"per_second", std::to_string(per_second)}});
  }
  for (const auto& [link, message] : messages) link->Send(message);
  if (permits_changed && this->on_permits) this->on_permits(now);
}

bool RateLimits::MaySend(const std::string& endpoint, kernel::TimePoint now) {
  if (!this->is_active) return true;
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->shared.MaySend(endpoint, now);
}

void RateLimits::OnSent(const std::string& endpoint, kernel::TimePoint now) {
  if (!this->is_active) return;
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->shared.OnSent(endpoint, now);
}

std::optional<double> RateLimits::LimitOf(const std::string& endpoint,
                                          kernel::TimePoint /*now*/) {
  if (!this->is_active) return std::nullopt;
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->shared.LimitOf(endpoint);
}

void RateLimits::OnResponse(const std::string& endpoint,
                            std::optional<double> per_second,
                            kernel::TimePoint sent_at, kernel::TimePoint now) {
  if (!this->is_active && !per_second) return;
  this->Apply(now, [&](SharedRateLimits& limits) {
    limits.OnResponse(endpoint, per_second, sent_at, now);
  });
}

void RateLimits::SetLimit(const std::string& resource,
                          std::optional<double> per_second,
                          kernel::TimePoint now) {
  if (!this->is_active && !per_second) return;
  this->Apply(now, [&](SharedRateLimits& limits) {
    limits.SetLimit(resource, per_second, now);
  });
}

void RateLimits::Subscribe(
    std::function<void(kernel::TimePoint)> new_on_permits) {
  this->on_permits = std::move(new_on_permits);
}

void RateLimits::OnLinkUp(const link::LinkPtr& link, kernel::TimePoint now) {
  if (link->peer().role != peers::kGatewayRole) return;
  this->Apply(now, [&](SharedRateLimits& limits) {
    this->links[link->id()] = link;
    limits.OnLinkUp(link->id(), now);
  });
}

void RateLimits::OnMessage(const link::LinkPtr& link, link::Message message,
                           kernel::TimePoint now) {
  std::visit(
      [this, &link, now](const auto& received) {
        using Received = std::decay_t<decltype(received)>;
        constexpr bool kIsHandled =
            std::is_same_v<Received, link::RateLimit> ||
            std::is_same_v<Received, link::Coordinator> ||
            std::is_same_v<Received, link::PermitRequest> ||
            std::is_same_v<Received, link::PermitGrant>;
        if constexpr (kIsHandled) {
          this->Apply(now, [&](SharedRateLimits& limits) {
            limits.OnMessage(link->id(), received, now);
          });
        }
      },
      message);
}

void RateLimits::OnLinkDown(const link::LinkPtr& link, kernel::TimePoint now) {
  this->Apply(now, [&](SharedRateLimits& limits) {
    this->links.erase(link->id());
    limits.OnLinkDown(link->id(), now);
  });
}

void RateLimits::Retain(const std::set<std::string>& endpoints) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->shared.Retain(endpoints);
}

void RateLimits::OnTick(double reach, kernel::TimePoint now) {
  this->Apply(now,
              [reach](SharedRateLimits& limits) { limits.SetReach(reach); });
}

}  // namespace banyanlane::limits
