#include "link/internal/accepted_connections.h"

#include <algorithm>

namespace banyanlane::link {
namespace {

using Connection = AcceptedConnections::Connection;

void RemoveClosed(std::list<Connection>& connections) {
  connections.remove_if(
      [](const Connection& connection) { return connection.expired(); });
}

bool IsSame(const Connection& left, const Connection& right) {
  return !left.owner_before(right) && !right.owner_before(left);
}

}  // namespace

std::optional<Connection> AcceptedConnections::Add(
    const Connection& connection) {
  RemoveClosed(this->in_handshake);
  RemoveClosed(this->up);
  this->in_handshake.push_back(connection);
  if (this->in_handshake.size() + this->up.size() <= this->max_open) return {};
  Connection oldest = this->in_handshake.front();
  this->in_handshake.pop_front();
  return oldest;
}

void AcceptedConnections::OnHandshake(const Connection& connection) {
  const auto found =
      std::find_if(this->in_handshake.begin(), this->in_handshake.end(),
                   [&connection](const Connection& other) {
                     return IsSame(connection, other);
                   });
  if (found == this->in_handshake.end()) return;
  this->up.splice(this->up.end(), this->in_handshake, found);
}

}  // namespace banyanlane::link
