#include "limits/internal/coordinator_election.h"

namespace banyanlane::limits {

void CoordinatorElection::Join(kernel::TimePoint now) {
  if (this->candidate == 0) this->BecomeCoordinator(now);
}

void CoordinatorElection::Leave() {
  this->candidate = 0;
  this->parent.reset();
}

void CoordinatorElection::BecomeCoordinator(kernel::TimePoint now) {
  this->candidate = this->own;
  this->sequence = this->sequences[this->own];
  this->parent.reset();
  this->changed_at = now;
  this->next_news_at = now;
}

bool CoordinatorElection::OnNews(std::uint64_t link,
                                 const link::Coordinator& news,
                                 kernel::TimePoint now) {
  if (news.candidate == this->own || news.candidate < this->candidate)
    return false;
  std::uint64_t& latest = this->sequences[news.candidate];
  if (news.sequence <= latest) return false;
  latest = news.sequence;
  this->candidate = news.candidate;
  this->sequence = news.sequence;
  this->parent = link;
  this->changed_at = now;
  return true;
}

void CoordinatorElection::OnLinkDown(std::uint64_t link,
                                     kernel::TimePoint now) {
  // Another link may lead to the same coordinator, but only its next news shows
  // which one.
  if (this->parent == link) this->BecomeCoordinator(now);
}

std::optional<link::Coordinator> CoordinatorElection::Step(
    kernel::TimePoint now) {
  if (this->candidate == 0) return std::nullopt;
  const bool is_lost =
      this->parent && now - this->changed_at > this->limits.timeout;
  if (is_lost) this->BecomeCoordinator(now);
  if (this->parent || now < this->next_news_at) return std::nullopt;
  this->next_news_at = now + this->limits.period;
  this->sequence = ++this->sequences[this->own];
  return this->Current();
}

bool CoordinatorElection::MayAct(kernel::TimePoint now) const {
  return this->candidate == this->own && !this->parent &&
         now - this->changed_at >= this->limits.hold_off;
}

}  // namespace banyanlane::limits
