#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kernel/time.h"
#include "link/messages.h"

namespace banyanlane::evidence {

/// Attempt that a crash of its endpoint ended.
struct LostAttempt {
  kernel::TimePoint sent_at;
  kernel::TimePoint lost_at;  ///< When its connection was lost.
};

/// Evidence of several gateways about one key of work. Not thread-safe.
///
/// Each crash has a generation. It is higher than those of earlier crashes that
/// were known when the attempt was sent that the crash ended. So crashes of one
/// event, such as a loss of power, have the same generation, and crashes
/// of one generation after the other show that work ends endpoint after
/// endpoint. An attempt that an endpoint survives clears the crashes that were
/// known when it was sent. What happened before the first of them is no
/// evidence about the work now.
///
/// All parts grow only, or are merged by their maximum, so that gateways agree
/// once they have the same reports.
class WorkRecord {
 public:
  /// @param event_time crashes within this time can have the same cause.
  explicit WorkRecord(kernel::Millis event_time) : event_time(event_time) {}

  /// Returns the generation of a crash that ended an attempt.
  std::uint64_t GenerationOf(const std::string& crash,
                             const LostAttempt& attempt) const;

  /// Adds a crash, or raises its generation.
  /// @param known_at when it became known here.
  /// @return whether this is news.
  bool AddCrash(const std::string& crash, std::uint64_t generation,
                kernel::TimePoint known_at);

  /// Removes a crash that other work explains.
  /// @return whether it was known.
  bool RemoveCrash(const std::string& crash);

  /// Clears the crashes that were known when an attempt was sent that its
  /// endpoint survived.
  /// @return whether any was cleared.
  bool ClearKnownAt(kernel::TimePoint sent_at);

  /// Clears the crashes up to a generation.
  /// @return whether this is news.
  bool ClearThrough(std::uint64_t generation);

  /// Counts an attempt to which an endpoint began to respond, if a crash was
  /// known when it was sent.
  /// @return the new count of `node`, or nothing if it does not count.
  std::optional<std::uint64_t> CountBegun(const std::string& node,
                                          kernel::TimePoint sent_at);
  /// Merges the count of another gateway.
  /// @return whether it is news.
  bool MergeBegun(const std::string& node, std::uint64_t count);

  /// Returns the number of generations of crashes that are not cleared.
  std::int64_t Streak() const;
  /// Returns the number of begun attempts since the first crash that is not
  /// cleared, at all gateways.
  std::int64_t Begun() const;
  /// Returns the number of crashes that are not cleared.
  std::size_t CrashCount() const { return this->crashes.size(); }
  bool HasCrash(const std::string& crash) const {
    return this->crashes.count(crash) > 0;
  }
  /// Returns the ids of the crashes that are not cleared.
  std::vector<std::string> Crashes() const;

  /// Copies the evidence to a report of the gateway `node`.
  void WriteTo(link::WorkReport& report, const std::string& node) const;

 private:
  struct Crash {
    std::uint64_t generation = 0;
    kernel::TimePoint known_at;
  };

  /// Returns the highest generation that was known at `time`.
  /// @param except id of a crash that is left out, or "".
  std::uint64_t LatestGeneration(kernel::TimePoint time,
                                 const std::string& except) const;
  std::int64_t TotalBegun() const;

  kernel::Millis event_time;
  std::map<std::string, Crash> crashes;  ///< Crashes that are not cleared.
  /// All crashes up to this generation are cleared.
  std::uint64_t cleared_through = 0;
  /// Number of begun attempts that each gateway has reported.
  std::map<std::string, std::uint64_t> begun;
  /// Total of `begun` before the first crash that is not cleared.
  std::int64_t begun_before = 0;
};

}  // namespace banyanlane::evidence
