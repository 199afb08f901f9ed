#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "kernel/time.h"
#include "link/messages.h"

namespace banyanlane::evidence {

/// Bounds of the evidence against work.
struct AttributionLimits {
  /// Work is quarantined when the crashes that ended its attempts outnumber the
  /// attempts that endpoints have survived recently by this number. It is
  /// cleared, and its crashes are forgotten, when it is the other way round.
  std::int64_t excess = 3;
  /// Work that endpoints have begun to respond to more often than this for each
  /// of its crashes is not quarantined. Work that crashes endpoints does so
  /// when they begin to respond; other work with a part in common is begun far
  /// more often than it is in progress at a crash, also when crashes come so
  /// fast that nothing survives.
  std::int64_t begun_per_crash = 3;
  /// Minimum duration of the first quarantine. Each later one takes twice as
  /// long. Gateways add up to as much again, so that they do not all try the
  /// work again at the same time.
  kernel::Millis quarantine{60'000};
  /// Time between two attempts of one gateway at work whose quarantine has
  /// ended, until the work is cleared.
  kernel::Millis probe_interval{5'000};
  /// Windows of this length are counted; the current one and the one before it
  /// are recent. Work that was sound before can still be quarantined.
  kernel::Millis memory{10'000};
  /// Time after the latest crash at which evidence expires.
  kernel::Millis lifetime{600'000};
  /// Maximum number of keys for which evidence is kept, and of other keys that
  /// are counted.
  std::size_t max_records = 4'096;
};

/// Numbers of attempts at some work.
struct WorkCounts {
  std::int64_t begun = 0;      ///< Endpoints began to respond.
  std::int64_t survivals = 0;  ///< Endpoints survived them.
};

/// Finds the work that crashes endpoints, from what several gateways observe.
///
/// Work has keys, which requests with the same work share. Each gateway reports
/// the keys of the attempts that a crash ended, and how many attempts with
/// those keys endpoints have survived since. Work that crashes endpoints is
/// told from work that only ran beside it by its lack of survivals.
/// When a quarantine ends, single attempts show whether the work is sound by
/// now. Thread-safe.
class CrashAttribution {
 public:
  using Keys = std::vector<std::string>;
  using Reports = std::vector<link::WorkReport>;

  /// Key that has been quarantined, or released.
  struct Change {
    std::string key;
    bool is_quarantined = false;
    std::size_t crashes = 0;
  };

  /// @param node name of this gateway's incarnation in reports.
  CrashAttribution(std::string node, const AttributionLimits& limits)
      : node(std::move(node)), limits(limits) {}

  /// Returns the end of the quarantine if any of `keys` is quarantined.
  std::optional<kernel::TimePoint> QuarantinedUntil(
      const Keys& keys, kernel::TimePoint now) const;

  /// Admits one attempt at work whose quarantine has ended, and quarantines the
  /// work for the probe interval. Does nothing if no key has been quarantined.
  /// @return whether the attempt is such a probe.
  bool TryProbe(const Keys& keys, kernel::TimePoint now);

  /// Records that an attempt with `keys` ended with a crash.
  /// @param crash id of the crash. The same id counts once.
  /// @return the reports to send to other gateways.
  Reports RecordCrash(const Keys& keys, const std::string& crash,
                      kernel::TimePoint now);

  /// Records that an endpoint began to respond to an attempt with `keys`.
  /// @return the reports to send to other gateways.
  Reports RecordBegun(const Keys& keys, kernel::TimePoint now);

  /// Records that an endpoint survived an attempt with `keys`.
  /// @return the reports to send to other gateways.
  Reports RecordSurvival(const Keys& keys, kernel::TimePoint now);

  /// Merges a report of another gateway.
  /// @return whether it was new and must be forwarded.
  bool Merge(const link::WorkReport& report, kernel::TimePoint now);

  /// Returns all evidence, for a gateway that has connected.
  Reports All(kernel::TimePoint now) const;

  /// Removes expired evidence.
  void Expire(kernel::TimePoint now);

  /// Returns the changes since the last call.
  std::vector<Change> TakeChanges();

 private:
  struct Record {
    std::set<std::string> crashes;  ///< Crashes since the last clearance.
    std::set<std::string> cleared;  ///< Crashes before the last clearance.
    /// Number of survivals that each gateway has reported.
    std::map<std::string, std::uint64_t> survivals;
    /// Number of begun attempts that each gateway has reported.
    std::map<std::string, std::uint64_t> begun;
    /// Totals of the counts above when the current window of
    /// AttributionLimits::memory began, and the one before it.
    WorkCounts window_start;
    WorkCounts previous_window_start;
    bool is_quarantined = false;
    kernel::TimePoint quarantined_until;
    int quarantines = 0;
    kernel::TimePoint expires_at;
  };
  struct ExplainedCrash {
    /// Number of attempts begun of the work that explains the crash.
    std::int64_t begun = 0;
    kernel::TimePoint expires_at;
  };
  using Records = std::unordered_map<std::string, Record>;
  using CountsByKey = std::unordered_map<std::string, WorkCounts>;

  /// Returns the record of `key`, or null if there is no space for a new one.
  /// Pointers to other records are invalid after it has added one.
  Record* FindOrAdd(const std::string& key);
  /// Removes the evidence against work that was in progress at one crash only.
  void MakeRoom();
  /// Returns the recent counts of work that has no record.
  WorkCounts RecentCounts(const std::string& key) const;
  /// Returns where to count attempts at work that has no record, or null if
  /// there is no space.
  WorkCounts* CountsWithoutRecord(const std::string& key);
  /// Returns the counts of the current window and the one before it.
  static WorkCounts RecentCounts(const Record& record);
  void BeginWindow(kernel::TimePoint now);
  /// Returns by how much crashes outnumber recent survivals.
  static std::int64_t ScoreOf(const Record& record);
  /// Returns the number of recently begun attempts.
  static std::int64_t BegunOf(const Record& record);
  /// Returns whether a crash is explained by quarantined work that is begun
  /// less often than that of `record`.
  bool IsExplained(const Record& record, const std::string& crash) const;
  /// Removes the crashes of the quarantined work of `culprit` from the records
  /// of work that is begun more often.
  void Explain(const Record& culprit);
  kernel::Millis QuarantineTime(const std::string& key,
                                const Record& record) const;
  /// Adds a crash unless it is known or explained.
  /// @return whether it was added.
  bool AddCrash(Record& record, const std::string& crash,
                kernel::TimePoint expires_at) const;
  /// Quarantines the work of `record` if its latest crash requires it.
  void JudgeCrash(const std::string& key, Record& record,
                  kernel::TimePoint now);
  /// Releases or clears the work of `record` if its latest survival allows it.
  void JudgeSurvival(const std::string& key, Record& record);
  void SetQuarantined(const std::string& key, Record& record, bool quarantined);
  link::WorkReport ToReport(const std::string& key, const Record& record,
                            kernel::TimePoint now) const;

  std::string node;
  AttributionLimits limits;
  mutable std::mutex mutex;  ///< Guards all members below.
  Records records;
  /// Crashes of quarantined work.
  std::map<std::string, ExplainedCrash> explained;
  /// Counts of the current window for work without a record, and those of the
  /// one before it.
  CountsByKey counts;
  CountsByKey previous_counts;
  kernel::TimePoint window_began_at;
  std::vector<Change> changes;
};

}  // namespace banyanlane::evidence
