#include "kernel/metrics.h"

#include <fmt/format.h>

#include <boost/histogram.hpp>

namespace banyanlane::kernel {
namespace {

namespace bh = boost::histogram;

/// Number of histogram buckets between kMinMillis and kMaxMillis. Their bounds
/// are evenly spaced on a logarithmic scale.
constexpr unsigned kBucketCount = 24;
constexpr double kMinMillis = 0.05;
constexpr double kMaxMillis = 60'000.0;

using LatencyAxis = bh::axis::regular<double, bh::axis::transform::log>;
using LatencyHistogram = decltype(bh::make_histogram(
    LatencyAxis(kBucketCount, kMinMillis, kMaxMillis)));

LatencyHistogram MakeLatencyHistogram() {
  return bh::make_histogram(LatencyAxis(kBucketCount, kMinMillis, kMaxMillis));
}

/// Returns the metric name of `series` without its labels.
std::string BaseName(std::string_view series) {
  return std::string(series.substr(0, series.find('{')));
}

/// Appends a TYPE line if `series` belongs to another metric than the preceding
/// series.
/// @param previous metric of the preceding series; set to that of `series`.
void RenderType(std::string& text, std::string& previous,
                std::string_view series, std::string_view type) {
  const std::string base = BaseName(series);
  if (base == previous) return;
  text += fmt::format("# TYPE {} {}\n", base, type);
  previous = base;
}

}  // namespace

struct Metrics::Histograms {
  struct Series {
    LatencyHistogram histogram = MakeLatencyHistogram();
    double sum = 0;
  };
  std::map<std::string, Series, std::less<>> series;
};

Metrics::Metrics() : histograms(std::make_unique<Histograms>()) {}
Metrics::~Metrics() = default;

void Metrics::Count(std::string_view series, std::uint64_t amount) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->counters.find(series);
  if (found == this->counters.end()) {
    this->counters.emplace(series, amount);
    return;
  }
  found->second += amount;
}

void Metrics::SetGauge(std::string_view series, double value) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->gauges.insert_or_assign(std::string(series), value);
}

void Metrics::ObserveMillis(std::string_view series, double millis) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Histograms::Series& target = this->histograms->series[std::string(series)];
  target.histogram(millis);
  target.sum += millis;
}

std::uint64_t Metrics::Counter(std::string_view series) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->counters.find(series);
  return found == this->counters.end() ? 0 : found->second;
}

std::string Metrics::Render() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::string text;
  std::string previous;
  for (const auto& [series, value] : this->counters) {
    RenderType(text, previous, series, "counter");
    text += fmt::format("{} {}\n", series, value);
  }
  for (const auto& [series, value] : this->gauges) {
    RenderType(text, previous, series, "gauge");
    text += fmt::format("{} {}\n", series, value);
  }
  for (const auto& [name, series] : this->histograms->series) {
    RenderType(text, previous, name, "histogram");
    double cumulative = 0;
    for (const auto& bin : bh::indexed(series.histogram, bh::coverage::all)) {
      cumulative += *bin;
      const double upper = bin.bin().upper();
      const std::string upper_label =
          upper > kMaxMillis ? "+Inf" : fmt::format("{:.3f}", upper);
      text += fmt::format("{}_bucket{{le=\"{}\"}} {}\n", name, upper_label,
                          cumulative);
    }
    text += fmt::format("{}_sum {}\n{}_count {}\n", name, series.sum, name,
                        cumulative);
  }
  return text;
}

}  // namespace banyanlane::kernel
