#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

#include "kernel/time.h"

namespace banyanlane::http {

class IHttpServer;

/// Connection that can be closed while it serves no request.
class IIdleConnection {
 public:
  virtual ~IIdleConnection() = default;
  /// Closes the connection. May be called from any thread.
  virtual void CloseIdle() = 0;
};

/// Decision about a newly accepted connection.
enum class Admission {
  kServe,
  kRefuse,  ///< Refuse the first request, then close.
};

/// Counts the open connections of callers. Closes idle connections if there are
/// too many connections or if they have been idle for too long. Thread-safe.
class ConnectionTracker {
 public:
  /// @param max_connections maximum number of connections that are served.
  explicit ConnectionTracker(std::size_t max_connections);

  /// Counts a new connection. Closes an idle one if the maximum is exceeded.
  Admission Admit();
  /// Subtracts a closed connection from the count.
  void Remove();
  /// Returns whether there is no capacity even for refusing a request, so that
  /// no further connection should be accepted.
  bool IsFull() const;

  /// Adds an idle connection.
  /// @param server identifies its server in CloseIdleOf.
  /// @param until time at which the connection is closed if it is still idle.
  /// @return the ticket that identifies the connection in RemoveIdle.
  std::uint64_t AddIdle(std::weak_ptr<IIdleConnection> connection,
                        const IHttpServer& server, kernel::TimePoint until);
  /// Removes a connection that is no longer idle.
  /// @return false if the connection is already being closed.
  bool RemoveIdle(std::uint64_t ticket);

  /// Closes the idle connection whose idle time ends first.
  /// @return false if no connection is idle.
  bool CloseNextIdle();
  /// Closes all idle connections of a server.
  void CloseIdleOf(const IHttpServer& server);
  /// Closes the connections whose idle time has ended.
  void CloseExpired(kernel::TimePoint now);

 private:
  struct IdleConnection {
    std::weak_ptr<IIdleConnection> connection;
    const IHttpServer* server = nullptr;  ///< Only compared.
  };

  /// Removes and returns the idle connection whose idle time ends first.
  /// @return null if the idle time of no connection ends by `now`.
  std::shared_ptr<IIdleConnection> RemoveNextIdle(kernel::TimePoint now);

  std::size_t max_connections;
  mutable std::mutex mutex;  ///< Protects the members below.
  std::size_t open = 0;
  std::uint64_t last_ticket = 0;
  /// End of the idle time by ticket.
  std::map<std::uint64_t, kernel::TimePoint> idle_ends;
  /// Idle connections by the end of their idle time and ticket.
  std::map<std::pair<kernel::TimePoint, std::uint64_t>, IdleConnection> idle;
};

}  // namespace banyanlane::http
