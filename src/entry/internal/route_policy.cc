#include "entry/internal/route_policy.h"

#include <algorithm>
#include <cmath>
#include <mutex>
#include <numeric>
#include <random>

#include "kernel/hash.h"

namespace banyanlane::entry {
namespace {

class RandomRoute : public IRoutePolicy {
 public:
  explicit RandomRoute(std::uint64_t seed) : random(seed) {}

  std::size_t Choose(const std::vector<EndpointView>& candidates,
                     const RouteRequest& /*request*/) override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return std::uniform_int_distribution<std::size_t>(
        0, candidates.size() - 1)(this->random);
  }

 private:
  std::mutex mutex;
  std::mt19937_64 random;
};

class LeastLoadedRoute : public IRoutePolicy {
 public:
  explicit LeastLoadedRoute(std::uint64_t seed) : random(seed) {}

  std::size_t Choose(const std::vector<EndpointView>& candidates,
                     const RouteRequest& /*request*/) override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<std::size_t> best;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      if (!best.empty() && candidates[i].load > candidates[best.front()].load)
        continue;
      if (!best.empty() && candidates[i].load < candidates[best.front()].load)
        best.clear();
      best.push_back(i);
    }
    return best[std::uniform_int_distribution<std::size_t>(
        0, best.size() - 1)(this->random)];
  }

 private:
  std::mutex mutex;
  std::mt19937_64 random;
};

class AffinityRoute : public IRoutePolicy {
 public:
  explicit AffinityRoute(double load_bound) : load_bound(load_bound) {}

  std::size_t Choose(const std::vector<EndpointView>& candidates,
                     const RouteRequest& request) override {
    std::vector<std::size_t> by_weight(candidates.size());
    std::iota(by_weight.begin(), by_weight.end(), 0);
    std::vector<std::uint64_t> weights;
    weights.reserve(candidates.size());
    for (const EndpointView& candidate : candidates) {
      weights.push_back(
          kernel::RendezvousWeight(request.affinity, candidate.node));
    }
    std::sort(by_weight.begin(), by_weight.end(),
              [&weights](std::size_t left, std::size_t right) {
                return weights[left] > weights[right];
              });
    const std::int64_t max_load = this->MaxLoad(candidates);
    for (const std::size_t index : by_weight) {
      const EndpointView& candidate = candidates[index];
      const bool has_slot =
          candidate.slots == 0 || candidate.load < candidate.slots;
      if (has_slot && candidate.load < max_load) return index;
    }
    // No endpoint has capacity, so the request is queued at the least loaded.
    return *std::min_element(by_weight.begin(), by_weight.end(),
                             [&](std::size_t left, std::size_t right) {
                               return candidates[left].load <
                                      candidates[right].load;
                             });
  }

 private:
  std::int64_t MaxLoad(const std::vector<EndpointView>& candidates) const {
    std::int64_t total = 1;  // Counts the request that is being routed.
    for (const EndpointView& candidate : candidates) total += candidate.load;
    const double mean =
        static_cast<double>(total) / static_cast<double>(candidates.size());
    return static_cast<std::int64_t>(std::ceil(this->load_bound * mean));
  }

  double load_bound;
};

}  // namespace

std::unique_ptr<IRoutePolicy> MakeRandomRoute(std::uint64_t seed) {
  return std::make_unique<RandomRoute>(seed);
}

std::unique_ptr<IRoutePolicy> MakeLeastLoadedRoute(std::uint64_t seed) {
  return std::make_unique<LeastLoadedRoute>(seed);
}

std::unique_ptr<IRoutePolicy> MakeAffinityRoute(double load_bound) {
  return std::make_unique<AffinityRoute>(load_bound);
}

}  // namespace banyanlane::entry
