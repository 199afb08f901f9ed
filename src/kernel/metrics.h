#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace banyanlane::kernel {

/// Counters, gauges and histograms of one process, rendered in the Prometheus
/// text format. A series is named with its labels, as in `name{label="x"}`.
/// Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  /// Adds `amount` to the counter `series`, which starts at 0.
  void Count(std::string_view series, std::uint64_t amount = 1);

  /// Sets the gauge `series` to `value`.
  void SetGauge(std::string_view series, double value);

  /// Adds the duration `millis` in milliseconds to the histogram `series`,
  /// whose name must not contain labels.
  void ObserveMillis(std::string_view series, double millis);

  /// Returns the value of the counter `series`, or 0 if it has not been
  /// counted.
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
