#include "agent/internal/admission.h"

namespace banyanlane::agent {
namespace {

constexpr std::int64_t kHighestPriority = 9;
/// Share of the capacity that work of the lowest priority can use; the rest
/// opens step by step, so that work of high priority does not wait for long
/// streams of the others to end.
constexpr double kOpenToAll = 0.8;

}  // namespace

Admission::Verdict Admission::Add(const Claim& claim,
                                  std::optional<std::string>& displaced) {
  if (this->queue.empty() && this->Fits(claim)) {
    this->Run(claim);
    return Verdict::kRun;
  }
  const QueueKey key{-claim.priority, ++this->arrivals};
  if (this->queue.size() >= this->limits.queue) {
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

std::vector<std::string> Admission::TakeRunnable() {
  std::vector<std::string> runnable;
  while (!this->queue.empty()) {
    const Claim claim = this->queue.begin()->second;
    // The first in line holds back the others, so that a large claim is not
    // starved.
    if (!this->Fits(claim)) break;
    this->queue_keys.erase(claim.request);
    this->queue.erase(this->queue.begin());
    this->Run(claim);
    runnable.push_back(claim.request);
  }
  return runnable;
}

void Admission::RaiseCharge(const std::string& request,
                            std::int64_t used_tokens) {
  const auto found = this->running.find(request);
  if (found == this->running.end() || found->second >= used_tokens) return;
  this->charged += used_tokens - found->second;
  found->second = used_tokens;
}

void Admission::RequireAlone(const std::string& request) {
  const auto waiting = this->queue_keys.find(request);
  if (waiting != this->queue_keys.end())
    this->queue.at(waiting->second).alone = true;
}

void Admission::Remove(const std::string& request) {
  const auto waiting = this->queue_keys.find(request);
  if (waiting != this->queue_keys.end()) {
    this->queue.erase(waiting->second);
    this->queue_keys.erase(waiting);
    return;
  }
  const auto active = this->running.find(request);
  if (active == this->running.end()) return;
  this->charged -= active->second;
  this->running.erase(active);
  if (this->running_alone == request) this->running_alone.clear();
}

bool Admission::Fits(const Claim& claim) const {
  if (this->running.empty()) return true;
  if (claim.alone || !this->running_alone.empty()) return false;
  if (this->running.size() >= this->limits.slots) return false;
  return this->charged + claim.tokens <= this->CapacityFor(claim.priority);
}

std::int64_t Admission::CapacityFor(std::int64_t priority) const {
  const auto highest = static_cast<double>(kHighestPriority);
  const double share =
      kOpenToAll + (1.0 - kOpenToAll) * static_cast<double>(priority) / highest;
  return static_cast<std::int64_t>(
      share * static_cast<double>(this->limits.token_capacity));
}

void Admission::Run(const Claim& claim) {
  this->running.emplace(claim.request, claim.tokens);
  this->charged += claim.tokens;
  if (claim.alone) this->running_alone = claim.request;
}

}  // namespace banyanlane::agent
