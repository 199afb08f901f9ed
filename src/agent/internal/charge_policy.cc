#include "agent/internal/charge_policy.h"

#include <algorithm>
#include <cmath>

namespace banyanlane::agent {
namespace {

/// Maximum number of samples of a usage window.
constexpr std::size_t kMaxSamples = 48;
/// Number of samples from which a usage window is used.
constexpr std::size_t kMinSamples = 8;
/// Maximum number of kinds of requests. A kind is a profile together with an
/// organisation, or a profile over all organisations.
constexpr std::size_t kMaxKinds = 4'096;

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

class FractionCharge : public IChargePolicy {
 public:
  explicit FractionCharge(double fraction) : fraction(fraction) {}
  std::int64_t Charge(std::string_view /*profile*/,
                      std::string_view /*organisation*/,
                      std::int64_t reserved_tokens) override {
    return std::max<std::int64_t>(
        1, std::llround(this->fraction * static_cast<double>(reserved_tokens)));
  }
  void Observe(std::string_view /*profile*/, std::string_view /*organisation*/,
               std::int64_t /*used_tokens*/) override {}

 private:
  double fraction;
};

/// Recent token usage of one kind of request.
class UsageWindow {
 public:
  void Add(std::int64_t tokens) {
    this->samples.push_back(tokens);
    if (this->samples.size() > kMaxSamples) this->samples.pop_front();
  }

  bool HasEnoughSamples() const { return this->samples.size() >= kMinSamples; }

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

/// Usage windows of the most recently used kinds of requests.
class UsageTable {
 public:
  UsageWindow& At(const std::string& kind) {
    const auto found = this->index.find(kind);
    if (found != this->index.end()) {
      this->by_recency.splice(this->by_recency.begin(), this->by_recency,
                              found->second);
      return found->second->second;
    }
    this->by_recency.emplace_front(kind, UsageWindow{});
    this->index[kind] = this->by_recency.begin();
    if (this->by_recency.size() > kMaxKinds) {
      this->index.erase(this->by_recency.back().first);
      this->by_recency.pop_back();
    }
    return this->by_recency.front().second;
  }

 private:
  std::list<std::pair<std::string, UsageWindow>> by_recency;
  std::unordered_map<std::string,
                     std::list<std::pair<std::string, UsageWindow>>::iterator>
      index;
};

class QuantileCharge : public IChargePolicy {
 public:
  explicit QuantileCharge(double quantile) : quantile(quantile) {}

  std::int64_t Charge(std::string_view profile, std::string_view organisation,
                      std::int64_t reserved_tokens) override {
    const UsageWindow& organisation_window =
        this->table.At(Kind(profile, organisation));
    if (organisation_window.HasEnoughSamples())
      return this->BoundedQuantile(organisation_window, reserved_tokens);
    const UsageWindow& profile_window = this->table.At(Kind(profile, ""));
    if (profile_window.HasEnoughSamples())
      return this->BoundedQuantile(profile_window, reserved_tokens);
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

  std::int64_t BoundedQuantile(const UsageWindow& window,
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

std::unique_ptr<IChargePolicy> MakeFractionCharge(double fraction) {
  return std::make_unique<FractionCharge>(fraction);
}

std::unique_ptr<IChargePolicy> MakeQuantileCharge(double quantile) {
  return std::make_unique<QuantileCharge>(quantile);
}

}  // namespace banyanlane::agent
