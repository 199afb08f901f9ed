#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace banyanlane::agent {

/// Attempts that must not start. Each is kept until its latest start time has
/// passed, after which it could not start anyway.
class SettledAttempts {
 public:
  /// Reason why an attempt must not start.
  enum class Kind {
    kNone,     ///< The attempt may start.
    kRevoked,  ///< The revocation arrived before the attempt.
    kEnded,    ///< The attempt was refused or has ended.
  };

  Kind Find(const std::string& request, std::uint64_t attempt) const;

  /// @param start_by_ms latest time at which the attempt could start, on this
  /// agent's clock, in milliseconds.
  void Add(const std::string& request, std::uint64_t attempt, Kind kind,
           std::uint64_t start_by_ms);

  /// Removes the attempts whose latest start time is before `clock_ms`.
  void Expire(std::uint64_t clock_ms);

 private:
  struct Entry {
    Kind kind = Kind::kNone;
    std::uint64_t start_by_ms = 0;
  };

  std::map<std::pair<std::string, std::uint64_t>, Entry> entries;
};

}  // namespace banyanlane::agent
