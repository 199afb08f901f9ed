#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

#include "kernel/time.h"

namespace banyanlane::http {

class IHttpServer;

/// What a connection waits for until its caller goes on.
enum class CallerWait {
  kRequest,   ///< The rest of a request, or the end of a finished connection.
  kResponse,  ///< The caller takes what is written.
};

/// Connection of a caller. The methods may be called from any thread.
class ITrackedConnection {
 public:
  virtual ~ITrackedConnection() = default;
  /// Closes the connection, which serves no request.
  virtual void CloseIdle() = 0;
  /// Ends what waits for the caller, unless that wait is over.
  /// @param ticket result of AddWaiting.
  virtual void GiveWay(std::uint64_t ticket) = 0;
  /// Returns the number of bytes that are released when the wait ends.
  virtual std::uint64_t HeldBytes(CallerWait wait) const = 0;
};

/// Decision about a newly accepted connection.
enum class Admission {
  kServe,
  kRefuse,  ///< Refuse the first request, then close.
};

/// Counts the open connections of callers. Closes connections if there are too
/// many or if they have been idle for too long. The first to give way is one
/// that has been idle for a while, then the one whose request has been
/// incomplete for the longest time, then one that has just become idle, since
/// its caller may be about to send its first request, then the one whose caller
/// has been taking a response for the longest time. Thread-safe.
class ConnectionTracker {
 public:
  /// @param max_connections maximum number of connections that are served.
  /// @param patience time for which a connection may be idle, or its caller
  /// take a response, before it gives way to others.
  ConnectionTracker(std::size_t max_connections, kernel::Millis patience);

  /// Counts a new connection. Lets another one give way if the maximum is
  /// exceeded.
  Admission Admit(kernel::TimePoint now);
  /// Subtracts a closed connection from the count.
  void Remove();
  /// Returns whether there is no capacity even for refusing a request, so that
  /// no further connection should be accepted.
  bool IsFull(kernel::TimePoint now) const;

  /// Adds an idle connection.
  /// @param server identifies its server in CloseIdleOf.
  /// @param since when it became idle.
  /// @param until time at which the connection is closed if it is still idle.
  /// @return the ticket that identifies the connection in RemoveIdle.
  std::uint64_t AddIdle(std::weak_ptr<ITrackedConnection> connection,
                        const IHttpServer& server, kernel::TimePoint since,
                        kernel::TimePoint until);
  /// Removes a connection that is no longer idle.
  /// @return false if the connection is already being closed.
  bool RemoveIdle(std::uint64_t ticket);

  /// Records that a connection waits for its caller from now on.
  /// @return the ticket of the wait, for RemoveWaiting.
  std::uint64_t AddWaiting(CallerWait wait,
                           std::weak_ptr<ITrackedConnection> connection,
                           kernel::TimePoint now);
  /// Records that the wait is over.
  void RemoveWaiting(CallerWait wait, std::uint64_t ticket);

  /// Lets one connection give way.
  /// @return false if none can.
  bool MakeRoom(kernel::TimePoint now);
  /// Lets connections give way that have waited longer than the patience, the
  /// longest wait first, until they hold `bytes` bytes together.
  void ReleaseMemory(CallerWait wait, std::uint64_t bytes,
                     kernel::TimePoint now);
  /// Closes all idle connections of a server.
  void CloseIdleOf(const IHttpServer& server);
  /// Closes the connections whose idle time has ended.
  void CloseExpired(kernel::TimePoint now);

 private:
  struct IdleConnection {
    std::weak_ptr<ITrackedConnection> connection;
    const IHttpServer* server = nullptr;  ///< Only compared.
    kernel::TimePoint since;
  };

  struct WaitingConnection {
    std::weak_ptr<ITrackedConnection> connection;
    kernel::TimePoint since;
  };
  /// By ticket, and so from the longest wait to the shortest.
  using Waits = std::map<std::uint64_t, WaitingConnection>;

  Waits& WaitsFor(CallerWait wait) {
    return wait == CallerWait::kRequest ? this->request_waits
                                        : this->response_waits;
  }
  /// Closes the idle connection whose idle time ends first, if it has been idle
  /// since `latest` or longer.
  /// @return false if there is none.
  bool CloseNextIdle(kernel::TimePoint latest);
  /// Lets the longest wait give way that began by `latest`.
  /// @return the number of bytes that it holds, or nothing if there is none.
  std::optional<std::uint64_t> EndLongestWait(CallerWait wait,
                                              kernel::TimePoint latest);

  /// Removes and returns the idle connection whose idle time ends first.
  /// @return null if the idle time of no connection ends by `now`.
  std::shared_ptr<ITrackedConnection> RemoveNextIdle(kernel::TimePoint now);

  std::size_t max_connections;
  kernel::Millis patience;
  mutable std::mutex mutex;  ///< Protects the members below.
  std::size_t open = 0;
  std::uint64_t last_ticket = 0;
  /// End of the idle time by ticket.
  std::map<std::uint64_t, kernel::TimePoint> idle_ends;
  /// Idle connections by the end of their idle time and ticket.
  std::map<std::pair<kernel::TimePoint, std::uint64_t>, IdleConnection> idle;
  Waits request_waits;
  Waits response_waits;
};

}  // namespace banyanlane::http
