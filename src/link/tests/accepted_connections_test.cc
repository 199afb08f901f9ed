#include "link/internal/accepted_connections.h"

#include <criterion/criterion.h>

#include <array>

namespace banyanlane::link {

Test(accepted_connections, the_oldest_handshake_gives_way) {
  std::array<std::shared_ptr<int>, 4> connections;
  for (auto& connection : connections) connection = std::make_shared<int>(0);
  AcceptedConnections accepted(2);
  cr_expect_not(accepted.Add(connections[0]).has_value());
  cr_expect_not(accepted.Add(connections[1]).has_value());
  accepted.OnHandshake(connections[0]);
  const auto first = accepted.Add(connections[2]);
  cr_assert(first.has_value());
  cr_expect_eq(first->lock(), connections[1]);
  accepted.OnHandshake(connections[2]);
  const auto second = accepted.Add(connections[3]);
  cr_assert(second.has_value());
  cr_expect_eq(second->lock(), connections[3], "no link gives way");
}

Test(accepted_connections, closed_ones_do_not_count) {
  AcceptedConnections accepted(1);
  auto connection = std::make_shared<int>(0);
  cr_expect_not(accepted.Add(connection).has_value());
  accepted.OnHandshake(connection);
  connection = std::make_shared<int>(0);
  cr_expect_not(accepted.Add(connection).has_value());
}

}  // namespace banyanlane::link
