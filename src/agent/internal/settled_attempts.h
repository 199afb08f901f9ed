#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace banyanlane::agent {

/// Attempts that must not start, each kept until it could not start anyway.
class SettledAttempts {
 public:
  /// Why an attempt must not start.
  enum class Kind {
    kNone,     ///< It may.
    kRevoked,  ///< It was revoked before it came.
    kEnded,    ///< It came, and was refused or has ended.
  };

  Kind Find(const std::string& request, std::uint64_t attempt) const;

  /// @param start_by_ms the attempt's own bound, on this agent's clock.
  void Add(const std::string& request, std::uint64_t attempt, Kind kind,
           std::uint64_t start_by_ms);

  /// Drops attempts whose bound has passed.
  void Expire(std::uint64_t clock_ms);

 private:
  struct Entry {
    Kind kind = Kind::kNone;
    std::uint64_t start_by_ms = 0;
  };

  std::map<std::pair<std::string, std::uint64_t>, Entry> entries;
};

}  // namespace banyanlane::agent
