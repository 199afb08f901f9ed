#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

#include "kernel/time.h"

namespace banyanlane::http {

/// A connection that carries no request.
class IIdleConnection {
 public:
  virtual ~IIdleConnection() = default;
  /// Closes the connection. May be called from any thread.
  virtual void CloseIdle() = 0;
};

/// What to do with a connection that was just accepted.
enum class Admission {
  kServe,
  kRefuse,  ///< Its request is answered by a refusal, and then it is closed.
};

/// Counts the connections that callers have open, and closes idle ones when
/// there are too many or they have been idle for too long.
class ConnectionRoster {
 public:
  /// @param most connections that are served.
  explicit ConnectionRoster(std::size_t most);

  /// Counts a new connection, for which an idle one makes room.
  Admission Admit();
  /// Uncounts a connection.
  void Remove();
  /// Returns whether not even a refusal has room, so that nothing more should
  /// be accepted.
  bool IsFull() const;

  /// Notes that a connection is idle, until `until` at the longest.
  /// @return its ticket.
  std::uint64_t AddIdle(std::weak_ptr<IIdleConnection> connection,
                        kernel::TimePoint until);
  /// Notes that a connection has a request.
  /// @return false when it is being closed.
  bool RemoveIdle(std::uint64_t ticket);

  /// Closes the connection that is next to end its idle time.
  /// @return false when none is idle.
  bool CloseOneIdle();
  /// Closes those that have been idle for too long.
  void CloseExpired(kernel::TimePoint now);

 private:
  /// Takes the connection that is next to end its idle time, if that is due at
  /// `now`.
  std::shared_ptr<IIdleConnection> TakeNext(kernel::TimePoint now);

  std::size_t most;
  mutable std::mutex mutex;  ///< Of what follows.
  std::size_t open = 0;
  std::uint64_t last_ticket = 0;
  std::map<std::uint64_t, kernel::TimePoint> ends;  ///< By ticket.
  std::map<std::pair<kernel::TimePoint, std::uint64_t>,
           std::weak_ptr<IIdleConnection>>
      idle;  ///< By the end of the idle time, and ticket.
};

}  // namespace banyanlane::http
