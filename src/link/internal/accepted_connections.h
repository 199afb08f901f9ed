#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <optional>

namespace banyanlane::link {

/// Connections that other processes have opened. Those whose handshake is not
/// complete give way to new ones. Not thread-safe.
class AcceptedConnections {
 public:
  /// Connection, whose owner destroys it when it is closed.
  using Connection = std::weak_ptr<void>;

  /// @param max_open maximum number of open connections.
  explicit AcceptedConnections(std::size_t max_open) : max_open(max_open) {}

  /// Adds a connection that has just been accepted.
  /// @return the connection that must be closed, since there are too many: the
  /// oldest one whose handshake is not complete.
  std::optional<Connection> Add(const Connection& connection);

  /// Records that the handshake of a connection is complete.
  void OnHandshake(const Connection& connection);

 private:
  std::size_t max_open;
  /// In the order of their arrival.
  std::list<Connection> in_handshake;
  std::list<Connection> up;
};

}  // namespace banyanlane::link
