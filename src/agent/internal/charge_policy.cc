#include "agent/internal/charge_policy.h"

#include <algorithm>
#include <cmath>

namespace banyanlane::agent {
namespace {

constexpr std::size_t kSamplesKept = 48;
constexpr std::size_t kSamplesNeeded = 8;
constexpr std::size_t kKindsKept = 4'096;

class FullCharge : public IChargePolicy {
 public:
  std::int64_t Charge(std::string_view /*profile*/,
                      std::string_view /*organisation*/,
                      std::int64_t reserved_tokens) override {
    return reserved_tokens;
  }
  void Observe(std::string_view /*profile*/, std::string_view /*organisation*/,
               std::int64_t /*used_tokens*/) override {}
};

class ShareCharge : public IChargePolicy {
 public:
  explicit ShareCharge(double share) : share(share) {}
  std::int64_t Charge(std::string_view /*profile*/,
                      std::string_view /*organisation*/,
                      std::int64_t reserved_tokens) override {
    return std::max<std::int64_t>(
        1, std::llround(this->share * static_cast<double>(reserved_tokens)));
  }
  void Observe(std::string_view /*profile*/, std::string_view /*organisation*/,
               std::int64_t /*used_tokens*/) override {}

 private:
  double share;
};

/// The latest uses of one kind of request.
class UsageWindow {
 public:
  void Add(std::int64_t tokens) {
    this->samples.push_back(tokens);
    if (this->samples.size() > kSamplesKept) this->samples.pop_front();
  }

  bool HasEnough() const { return this->samples.size() >= kSamplesNeeded; }

  std::int64_t Quantile(double quantile) const {
    std::vector<std::int64_t> sorted(this->samples.begin(),
                                     this->samples.end());
    const auto rank = static_cast<std::size_t>(
        std::ceil(quantile * static_cast<double>(sorted.size())) - 1);
    const auto position = sorted.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(sorted.begin(), position, sorted.end());
    return *position;
  }

 private:
  std::deque<std::int64_t> samples;
};

/// Keeps windows of the kinds used last.
class UsageTable {
 public:
  UsageWindow& At(const std::string& kind) {
    const auto found = this->index.find(kind);
    if (found != this->index.end()) {
      this->order.splice(this->order.begin(), this->order, found->second);
      return found->second->second;
    }
    this->order.emplace_front(kind, UsageWindow{});
    this->index[kind] = this->order.begin();
    if (this->order.size() > kKindsKept) {
      this->index.erase(this->order.back().first);
      this->order.pop_back();
    }
    return this->order.front().second;
  }

 private:
  std::list<std::pair<std::string, UsageWindow>> order;
  std::unordered_map<std::string,
                     std::list<std::pair<std::string, UsageWindow>>::iterator>
      index;
};

class ExpectedCharge : public IChargePolicy {
 public:
  explicit ExpectedCharge(double quantile) : quantile(quantile) {}

  std::int64_t Charge(std::string_view profile, std::string_view organisation,
                      std::int64_t reserved_tokens) override {
    const UsageWindow& own = this->table.At(Kind(profile, organisation));
    if (own.HasEnough()) return this->Bounded(own, reserved_tokens);
    const UsageWindow& shared = this->table.At(Kind(profile, ""));
    if (shared.HasEnough()) return this->Bounded(shared, reserved_tokens);
    return reserved_tokens;
  }

  void Observe(std::string_view profile, std::string_view organisation,
               std::int64_t used_tokens) override {
    this->table.At(Kind(profile, organisation)).Add(used_tokens);
    this->table.At(Kind(profile, "")).Add(used_tokens);
  }

 private:
  static std::string Kind(std::string_view profile,
                          std::string_view organisation) {
    return std::string(profile) + '\n' + std::string(organisation);
  }

  std::int64_t Bounded(const UsageWindow& window,
                       std::int64_t reserved_tokens) const {
    return std::clamp<std::int64_t>(window.Quantile(this->quantile), 1,
                                    std::max<std::int64_t>(1, reserved_tokens));
  }

  double quantile;
  UsageTable table;
};

}  // namespace

std::unique_ptr<IChargePolicy> MakeFullCharge() {
  return std::make_unique<FullCharge>();
}

std::unique_ptr<IChargePolicy> MakeShareCharge(double share) {
  return std::make_unique<ShareCharge>(share);
}

std::unique_ptr<IChargePolicy> MakeExpectedCharge(double quantile) {
  return std::make_unique<ExpectedCharge>(quantile);
}

}  // namespace banyanlane::agent
