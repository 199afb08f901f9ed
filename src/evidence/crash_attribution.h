#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "evidence/work_record.h"
#include "kernel/time.h"
#include "link/messages.h"

namespace banyanlane::evidence {

/// Bounds of the evidence against work.
struct AttributionLimits {
  /// Work is quarantined after this many crashes one after the other, each of
  /// an attempt that was sent when the one before was known, without an attempt
  /// in between that its endpoint survived.
  std::int64_t max_streak = 3;
  /// Endpoints that crash within this time count as ended by the same event,
  /// also if attempts are sent from one to the other meanwhile.
  kernel::Millis event_time{30};
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
  /// Number of crashes from which work is doubtful.
  std::size_t doubtful_crashes = 3;
  /// Number of crashes one after the other from which attempts at doubtful work
  /// need a permit.
  std::int64_t permit_streak = 2;
  /// Attempts a second at doubtful work that need a permit, at all gateways
  /// together. A crash is known everywhere before the next attempt.
  double permits_per_second = 2;
  /// Time after which attempts at doubtful work need a permit. Longer than the
  /// time for which a new coordinator of permits waits before it acts.
  kernel::Millis permit_free_time{1'600};
  /// Time between two attempts of one gateway at work whose quarantine has
  /// ended, until the work is cleared.
  kernel::Millis probe_interval{5'000};
  /// Attempts to which endpoints began to respond are counted in windows of
  /// this length; the current one and the one before it are recent.
  kernel::Millis memory{10'000};
  /// Time after the latest crash at which evidence expires.
  kernel::Millis lifetime{600'000};
  /// Maximum number of keys for which evidence is kept, and of keys that are
  /// counted.
  std::size_t max_records = 4'096;
};

/// What the evidence says about work.
enum class WorkStatus {
  kClear,
  /// Endpoints have crashed while they ran it, perhaps all by one event, and
  /// none has survived it since.
  kDoubtful,
  /// Crashes followed one another without a survival. The work is refused.
  kQuarantined,
};

/// Finds the work that crashes endpoints, from what several gateways observe.
///
/// Work has keys, which requests with the same work share. Each gateway reports
/// the keys of the attempts that a crash ended, and which crashes are cleared
/// by an attempt that its endpoint survived. Work that crashes endpoints is
/// told from work that only ran beside it, or on endpoints that crashed at the
/// same moment, by crashes that follow one another without a survival; see
/// WorkRecord. When a quarantine ends, single attempts show whether the work is
/// sound by now. Thread-safe.
class CrashAttribution {
 public:
  using Keys = std::vector<std::string>;
  using Reports = std::vector<link::WorkReport>;

  /// Key whose status has changed.
  struct Change {
    std::string key;
    WorkStatus status = WorkStatus::kClear;
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

  /// Returns the key of the work in `keys` that is doubtful and whose attempts
  /// need a permit, or nothing. They need none at first, so that endpoints that
  /// are up show at once whether the work is sound.
  std::optional<std::string> DoubtfulKey(const Keys& keys,
                                         kernel::TimePoint now) const;

  /// Records that an attempt with `keys` ended with a crash.
  /// @param crash id of the crash. The same id counts once.
  /// @return the reports to send to other gateways.
  Reports RecordCrash(const Keys& keys, const std::string& crash,
                      const LostAttempt& attempt, kernel::TimePoint now);

  /// Records that an endpoint began to respond to an attempt with `keys`.
  /// @param sent_at when the attempt was sent.
  /// @return the reports to send to other gateways.
  Reports RecordBegun(const Keys& keys, kernel::TimePoint sent_at,
                      kernel::TimePoint now);

  /// Records that an endpoint survived an attempt with `keys`.
  /// @param sent_at when the attempt was sent.
  /// @return the reports to send to other gateways.
  Reports RecordSurvival(const Keys& keys, kernel::TimePoint sent_at,
                         kernel::TimePoint now);

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
    explicit Record(kernel::Millis event_time) : work(event_time) {}

    WorkRecord work;
    WorkStatus status = WorkStatus::kClear;
    kernel::TimePoint doubtful_since;
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
  using CountsByKey = std::unordered_map<std::string, std::int64_t>;

  /// Returns the record of `key`, or null if there is no space for a new one.
  /// Pointers to other records are invalid after it has added one.
  Record* FindOrAdd(const std::string& key);
  /// Removes the evidence against work that was in progress at one crash only.
  void MakeRoom();
  /// Counts an attempt that endpoints have begun to respond to.
  void CountBegun(const std::string& key);
  void BeginWindow(kernel::TimePoint now);
  /// Returns how often the work is begun, to compare it with other work: the
  /// recent attempts at this gateway, also from before the first crash, and
  /// those at all gateways since then.
  std::int64_t BegunOf(const std::string& key, const Record& record) const;
  /// Returns whether a crash is explained by quarantined work that is begun
  /// less often than that of `record`.
  bool IsExplained(const std::string& key, const Record& record,
                   const std::string& crash) const;
  /// Removes the crashes of the quarantined work of `culprit` from the records
  /// of work that is begun more often.
  void Explain(const std::string& key, const Record& culprit,
               kernel::TimePoint now);
  kernel::Millis QuarantineTime(const std::string& key,
                                const Record& record) const;
  /// Adds a crash unless it is explained.
  /// @return whether this is news.
  bool AddCrash(const std::string& key, Record& record,
                const std::string& crash, std::uint64_t generation,
                kernel::TimePoint known_at, kernel::TimePoint expires_at) const;
  /// Quarantines the work of `record` if its latest crash requires it.
  void JudgeCrash(const std::string& key, Record& record,
                  kernel::TimePoint now);
  /// Sets the status of work that is not to be quarantined.
  void UpdateStatus(const std::string& key, Record& record,
                    kernel::TimePoint now);
  void SetStatus(const std::string& key, Record& record, WorkStatus status);
  link::WorkReport ToReport(const std::string& key, const Record& record,
                            kernel::TimePoint now) const;

  std::string node;
  AttributionLimits limits;
  mutable std::mutex mutex;  ///< Guards all members below.
  Records records;
  /// Crashes of quarantined work.
  std::map<std::string, ExplainedCrash> explained;
  /// Begun attempts of the current window, and of the one before it.
  CountsByKey counts;
  CountsByKey previous_counts;
  kernel::TimePoint window_began_at;
  std::vector<Change> changes;
};

}  // namespace banyanlane::evidence
