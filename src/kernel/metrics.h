#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace banyanlane::kernel {

/// Counters, gauges and histograms of one process, rendered as Prometheus text.
/// Series are named in Prometheus form, with labels: `name{label="x"}`.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  /// Adds `amount` to the counter `series`.
  void Count(std::string_view series, std::uint64_t amount = 1);

  /// Sets the gauge `series`.
  void SetGauge(std::string_view series, double value);

  /// Adds `millis` to the histogram `series`.
  void ObserveMillis(std::string_view series, double millis);

  /// Returns the counter's value; 0 when it was never counted.
  std::uint64_t Counter(std::string_view series) const;

  /// Returns all series in the Prometheus text format.
  std::string Render() const;

 private:
  struct Histograms;
  mutable std::mutex mutex;
  std::map<std::string, std::uint64_t, std::less<>> counters;
  std::map<std::string, double, std::less<>> gauges;
  std::unique_ptr<Histograms> histograms;
};

}  // namespace banyanlane::kernel
