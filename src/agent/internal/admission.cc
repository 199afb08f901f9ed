#include "agent/internal/admission.h"

namespace banyanlane::agent {
namespace {

constexpr std::int64_t kMaxPriority = 9;
/// Fraction of the token capacity that work of the lowest priority can use. The
/// fraction grows linearly with priority, so that work of high priority does
/// not wait for long streams of lower priority to end.
constexpr double kLowestPriorityFraction = 0.8;

}  // namespace

Admission::Verdict Admission::Add(const CapacityClaim& claim,
                                  std::optional<std::string>& displaced) {
  if (this->queue.empty() && this->Fits(claim)) {
    this->MarkRunning(claim);
    return Verdict::kRun;
  }
  const QueueKey key{-claim.priority, ++this->last_arrival};
  if (this->queue.size() >= this->limits.max_queued) {
    const auto last =
        this->queue.empty() ? this->queue.end() : std::prev(this->queue.end());
    const bool outranks =
        last != this->queue.end() && last->second.priority < claim.priority;
    if (!outranks) return Verdict::kFull;
    displaced = last->second.request;
    this->Remove(*displaced);
  }
  this->queue.emplace(key, claim);
  this->queue_keys.emplace(claim.request, key);
  return Verdict::kQueued;
}

std::vector<std::string> Admission::DequeueRunnable() {
  std::vector<std::string> runnable;
  while (!this->queue.empty()) {
    const CapacityClaim claim = this->queue.begin()->second;
    // The first claim blocks those after it, so that a large claim is not
    // starved by small ones.
    if (!this->Fits(claim)) break;
    this->queue_keys.erase(claim.request);
    this->queue.erase(this->queue.begin());
    this->MarkRunning(claim);
    runnable.push_back(claim.request);
  }
  return runnable;
}

void Admission::RaiseCharge(const std::string& request,
                            std::int64_t used_tokens) {
  const auto found = this->running.find(request);
  if (found == this->running.end() || found->second >= used_tokens) return;
  this->charged_tokens += used_tokens - found->second;
  found->second = used_tokens;
}

void Admission::RequireAlone(const std::string& request) {
  const auto queued = this->queue_keys.find(request);
  if (queued != this->queue_keys.end())
    this->queue.at(queued->second).must_run_alone = true;
}

void Admission::Remove(const std::string& request) {
  const auto queued = this->queue_keys.find(request);
  if (queued != this->queue_keys.end()) {
    this->queue.erase(queued->second);
    this->queue_keys.erase(queued);
    return;
  }
  const auto active = this->running.find(request);
  if (active == this->running.end()) return;
  this->charged_tokens -= active->second;
  this->running.erase(active);
  if (this->request_running_alone == request)
    this->request_running_alone.clear();
}

bool Admission::Fits(const CapacityClaim& claim) const {
  if (this->running.empty()) return true;
  if (claim.must_run_alone || !this->request_running_alone.empty())
    return false;
  if (this->running.size() >= this->limits.slots) return false;
  return this->charged_tokens + claim.tokens <=
         this->TokenCapacityFor(claim.priority);
}

std::int64_t Admission::TokenCapacityFor(std::int64_t priority) const {
  const auto max_priority = static_cast<double>(kMaxPriority);
  const double fraction = kLowestPriorityFraction +
                          (1.0 - kLowestPriorityFraction) *
                              static_cast<double>(priority) / max_priority;
  return static_cast<std::int64_t>(
      fraction * static_cast<double>(this->limits.token_capacity));
}

void Admission::MarkRunning(const CapacityClaim& claim) {
  this->running.emplace(claim.request, claim.tokens);
  this->charged_tokens += claim.tokens;
  if (claim.must_run_alone) this->request_running_alone = claim.request;
}

}  // namespace banyanlane::agent
