#include "limits/internal/shared_rate_limits.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "limits/i_rate_limits.h"

namespace banyanlane::limits {
namespace {

constexpr double kMilliPerUnit = 1'000;

/// Returns the thousandths that are announced. Rounded up, since 0 is the end
/// of a limit.
double ToMilli(double per_second) {
  return std::ceil(per_second * kMilliPerUnit);
}

}  // namespace

bool SharedRateLimits::IsLimited(const std::string& endpoint) const {
  return this->LimitOf(endpoint).has_value();
}

std::optional<double> SharedRateLimits::LimitOf(
    const std::string& endpoint) const {
  const auto found = this->known.find(endpoint);
  const bool is_limited =
      found != this->known.end() && found->second.per_second > 0;
  return is_limited ? std::optional(found->second.per_second) : std::nullopt;
}

bool SharedRateLimits::MaySend(const std::string& endpoint,
                               kernel::TimePoint now) {
  const auto found = this->known.find(endpoint);
  if (found == this->known.end() || found->second.per_second <= 0) return true;
  DropExpired(found->second, now);
  if (!found->second.permits.empty()) return true;
  ++found->second.wanted;
  return false;
}

void SharedRateLimits::OnSent(const std::string& endpoint,
                              kernel::TimePoint /*now*/) {
  const auto found = this->known.find(endpoint);
  if (found == this->known.end() || found->second.permits.empty()) return;
  found->second.permits.pop_front();
}

void SharedRateLimits::OnResponse(const std::string& endpoint,
                                  std::optional<double> per_second,
                                  kernel::TimePoint sent_at,
                                  kernel::TimePoint now) {
  const auto found = this->known.find(endpoint);
  if (found == this->known.end() && !per_second) return;
  const bool is_outdated =
      found != this->known.end() &&
      IsOutdated(found->second, per_second.has_value(), sent_at);
  if (is_outdated) return;
  Limit& limit = this->known[endpoint];
  const bool was_limited = limit.per_second > 0;
  this->Set(limit, per_second.value_or(0), now);
  const double change = std::abs(limit.per_second - limit.announced_per_second);
  const bool is_announced =
      was_limited == per_second.has_value() &&
      change <= this->limits.min_change * limit.announced_per_second;
  if (is_announced) return;
  limit.announced_per_second = ToMilli(limit.per_second) / kMilliPerUnit;
  ++limit.sequence;
  this->changes.emplace_back(endpoint, limit.per_second);
  this->SendToAll(NewsOf(endpoint, limit), std::nullopt);
}

void SharedRateLimits::SetLimit(const std::string& resource,
                                std::optional<double> per_second,
                                kernel::TimePoint now) {
  const bool is_known = this->known.count(resource) != 0;
  if (!is_known && !per_second) return;
  this->Set(this->known[resource], per_second.value_or(0), now);
}

bool SharedRateLimits::IsOutdated(const Limit& limit, bool names_limit,
                                  kernel::TimePoint sent_at) {
  const bool is_limited = limit.per_second > 0;
  if (is_limited == names_limit) return false;
  const kernel::TimePoint changed_at =
      is_limited ? limit.named_at : limit.observed_at;
  return sent_at < changed_at;
}

void SharedRateLimits::Set(Limit& limit, double per_second,
                           kernel::TimePoint now) {
  const bool was_limited = limit.per_second > 0;
  const bool is_limited = per_second > 0;
  limit.observed_at = now;
  limit.per_second = per_second;
  this->has_limits = true;
  if (is_limited && !was_limited) {
    limit.named_at = now;
    limit.refilled_at = now;
    limit.tokens = 0;
    this->election.Join(now);
  }
  if (was_limited && !is_limited) {
    limit.permits.clear();
    limit.waiters.clear();
    limit.requested_at.reset();
    limit.wanted = 0;
    this->permits_changed = true;
  }
}

void SharedRateLimits::Retain(const std::set<std::string>& endpoints) {
  for (auto it = this->known.begin(); it != this->known.end();) {
    const bool is_limited_work =
        IsWorkResource(it->first) && it->second.per_second > 0;
    const bool is_kept = is_limited_work || endpoints.count(it->first) != 0;
    it = is_kept ? std::next(it) : this->known.erase(it);
  }
}

link::RateLimit SharedRateLimits::NewsOf(const std::string& endpoint,
                                         const Limit& limit) {
  return {endpoint,
          static_cast<std::uint64_t>(
              std::llround(limit.announced_per_second * kMilliPerUnit)),
          limit.sequence};
}

void SharedRateLimits::SendToAll(const link::Message& message,
                                 std::optional<std::uint64_t> except) {
  for (const std::uint64_t link : this->links) {
    if (link != except) this->outgoing.push_back({link, message});
  }
}

void SharedRateLimits::OnLinkUp(std::uint64_t link, kernel::TimePoint /*now*/) {
  this->links.insert(link);
  for (const auto& [endpoint, limit] : this->known) {
    if (!IsWorkResource(endpoint))
      this->outgoing.push_back({link, NewsOf(endpoint, limit)});
  }
  const link::Coordinator current = this->election.Current();
  if (current.candidate != 0) this->outgoing.push_back({link, current});
}

void SharedRateLimits::OnLinkDown(std::uint64_t link, kernel::TimePoint now) {
  this->links.erase(link);
  this->election.OnLinkDown(link, now);
  for (auto& entry : this->known) {
    auto& waiters = entry.second.waiters;
    waiters.erase(std::remove_if(waiters.begin(), waiters.end(),
                                 [link](const Waiter& waiter) {
                                   return waiter.link == link;
                                 }),
                  waiters.end());
    entry.second.requested_at.reset();
  }
}

void SharedRateLimits::OnMessage(std::uint64_t link,
                                 const link::RateLimit& message,
                                 kernel::TimePoint now) {
  const double per_second =
      static_cast<double>(message.milli_per_second) / kMilliPerUnit;
  Limit& limit = this->known[message.endpoint];
  // News with the same number come from different gateways; all keep the higher
  // limit.
  const bool is_news = std::tie(message.sequence, per_second) >
                       std::tie(limit.sequence, limit.announced_per_second);
  if (!is_news) return;
  limit.sequence = message.sequence;
  limit.announced_per_second = per_second;
  if (per_second != limit.per_second)
    this->changes.emplace_back(message.endpoint, per_second);
  this->Set(limit, per_second, now);
  this->SendToAll(message, link);
}

void SharedRateLimits::OnMessage(std::uint64_t link,
                                 const link::Coordinator& message,
                                 kernel::TimePoint now) {
  if (this->election.OnNews(link, message, now)) this->SendToAll(message, link);
}

void SharedRateLimits::OnMessage(std::uint64_t link,
                                 const link::PermitRequest& message,
                                 kernel::TimePoint now) {
  const auto found = this->known.find(message.endpoint);
  if (found == this->known.end() || found->second.per_second <= 0) return;
  Limit& limit = found->second;
  limit.waiters.erase(std::remove_if(limit.waiters.begin(), limit.waiters.end(),
                                     [link](const Waiter& waiter) {
                                       return waiter.link == link;
                                     }),
                      limit.waiters.end());
  constexpr std::uint64_t kMaxCount = 1'000;
  this->Enqueue(limit, link,
                static_cast<int>(std::min(message.count, kMaxCount)), now);
}

void SharedRateLimits::OnMessage(std::uint64_t /*link*/,
                                 const link::PermitGrant& message,
                                 kernel::TimePoint now) {
  const auto found = this->known.find(message.endpoint);
  if (found == this->known.end() || found->second.per_second <= 0) return;
  found->second.requested_at.reset();
  const auto lifetime =
      std::min(this->limits.permit_lifetime,
               kernel::Millis(static_cast<std::int64_t>(message.lifetime_ms)));
  this->Grant(message.endpoint, found->second, now + lifetime, now);
}

void SharedRateLimits::Enqueue(Limit& limit, std::optional<std::uint64_t> link,
                               int count, kernel::TimePoint now) const {
  const int most =
      std::max(1, static_cast<int>(limit.per_second * this->limits.request_s));
  for (int i = 0; i < std::min(count, most); ++i)
    limit.waiters.push_back({link, now + this->limits.request_lifetime});
}

void SharedRateLimits::EnqueueOwn(Limit& limit, kernel::TimePoint now) const {
  const int wanted = limit.wanted;
  limit.wanted = 0;
  const bool is_waiting = std::any_of(
      limit.waiters.begin(), limit.waiters.end(),
      [](const Waiter& waiter) { return !waiter.link.has_value(); });
  if (!is_waiting) this->Enqueue(limit, std::nullopt, wanted, now);
}

void SharedRateLimits::Grant(const std::string& endpoint, Limit& limit,
                             kernel::TimePoint expires_at,
                             kernel::TimePoint now) {
  std::optional<std::uint64_t> link;
  if (!limit.waiters.empty()) {
    link = limit.waiters.front().link;
    limit.waiters.pop_front();
  }
  if (!link) {
    limit.permits.push_back(expires_at);
    this->permits_changed = true;
    return;
  }
  const auto lifetime =
      std::max<std::int64_t>(0, kernel::MillisBetween(now, expires_at));
  this->outgoing.push_back(
      {*link,
       link::PermitGrant{endpoint, static_cast<std::uint64_t>(lifetime)}});
}

void SharedRateLimits::DropExpired(Limit& limit, kernel::TimePoint now) {
  while (!limit.permits.empty() && limit.permits.front() <= now)
    limit.permits.pop_front();
  while (!limit.waiters.empty() && limit.waiters.front().expires_at <= now)
    limit.waiters.pop_front();
}

void SharedRateLimits::HandOut(const std::string& endpoint, Limit& limit,
                               kernel::TimePoint now) {
  const double burst = std::max(1.0, limit.per_second * this->limits.burst_s);
  const std::chrono::duration<double> elapsed = now - limit.refilled_at;
  limit.tokens = std::min(
      burst, limit.tokens + elapsed.count() * limit.per_second * this->reach);
  limit.refilled_at = now;
  while (limit.tokens >= 1 && !limit.waiters.empty()) {
    limit.tokens -= 1;
    this->Grant(endpoint, limit, now + this->limits.permit_lifetime, now);
  }
}

void SharedRateLimits::RequestPermits(const std::string& endpoint, Limit& limit,
                                      kernel::TimePoint now) {
  const auto parent = this->election.Parent();
  const bool is_pending =
      limit.requested_at &&
      now - *limit.requested_at < this->limits.request_lifetime;
  if (!parent || limit.waiters.empty() || is_pending) return;
  limit.requested_at = now;
  this->outgoing.push_back(
      {*parent, link::PermitRequest{endpoint, limit.waiters.size()}});
}

void SharedRateLimits::Step(kernel::TimePoint now) {
  if (const auto news = this->election.Step(now))
    this->SendToAll(*news, std::nullopt);
  const bool may_act = this->election.MayAct(now);
  this->has_limits = false;
  for (auto& [name, limit] : this->known) {
    const bool has_ended = limit.per_second <= 0;
    const bool is_remembered =
        now - limit.observed_at <= this->limits.end_memory;
    if (!has_ended || is_remembered) this->has_limits = true;
    if (has_ended) continue;
    DropExpired(limit, now);
    this->EnqueueOwn(limit, now);
    if (may_act) {
      this->HandOut(name, limit, now);
      continue;
    }
    limit.tokens = 0;
    limit.refilled_at = now;
    this->RequestPermits(name, limit, now);
  }
  if (!this->has_limits) this->election.Leave();
}

std::vector<SharedRateLimits::Outgoing> SharedRateLimits::TakeMessages() {
  std::vector<Outgoing> taken;
  taken.swap(this->outgoing);
  return taken;
}

std::vector<std::pair<std::string, double>> SharedRateLimits::TakeChanges() {
  std::vector<std::pair<std::string, double>> taken;
  taken.swap(this->changes);
  return taken;
}

bool SharedRateLimits::TakePermitsChanged() {
  const bool changed = this->permits_changed;
  this->permits_changed = false;
  return changed;
}

}  // namespace banyanlane::limits
