#include <criterion/criterion.h>

#include "processes/gateway_fleet.h"
#include "processes/raw_server.h"

namespace banyanlane::processes {
namespace {

constexpr int kBadGateway = 502;
/// Statuses of no response, neither a final nor an interim one.
constexpr const char* kOddStatuses[] = {"000", "001", "099", "600", "999"};
const std::string kBody = "id: 1\ndata: x\n\n";

/// Returns a response to the request with `head`. Only a success has content.
std::string Response(const std::string& status, const std::string& head) {
  const std::string body = status == "200" ? kBody : "";
  return "HTTP/1.1 " + status +
         " Odd\r\nx-server-stamp: s\r\ncontent-type: text/event-stream\r\n"
         "x-request-id: " +
         RawConnection::FieldOf(head, "x-request-id") +
         "\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

/// Returns the statuses of the responses to a repeatable request and to a
/// stream, when the only server sends responses with `statuses` to each.
std::vector<int> StatusesAfter(const std::vector<std::string>& statuses) {
  GatewayFleet fleet;
  fleet.StartStore();
  const RawServer server(
      fleet.AddOwnServer("s1"), [&statuses](RawConnection& connection) {
        const std::string head = connection.ReadRequest();
        if (head.empty()) return;
        for (const std::string& status : statuses)
          connection.Send(Response(status, head));
        connection.ReadRequest();  // Ends with the connection.
      });
  fleet.PublishRoutes(1, {});
  fleet.AddGateway("g1");
  cr_assert(
      Fleet::Await([&] { return fleet.ListsServer("g1", "s1", "live"); }));
  return {fleet.Post("g1", "/plain/a", "").status,
          fleet.Post("g1", "/stream/a", "").status};
}

}  // namespace

// Guards against a response that is taken for an interim one, so that its
// request waits for another one until its deadline.
Test(gateway_odd_status, is_a_lost_response_at_once) {
  for (const char* status : kOddStatuses) {
    for (const int received : StatusesAfter({status}))
      cr_expect_eq(received, kBadGateway, "%d after %s", received, status);
  }
}

// Guards against the next bytes of such a server that are taken for the
// response.
Test(gateway_odd_status, is_not_followed_by_the_response) {
  for (const char* status : kOddStatuses) {
    for (const int received : StatusesAfter({status, "200"}))
      cr_expect_eq(received, kBadGateway, "%d after %s", received, status);
  }
}

// An interim response has no content (RFC 9110, section 15.2).
Test(gateway_odd_status, of_an_interim_response_with_content_is_none) {
  for (const int received : StatusesAfter({"199"}))
    cr_expect_eq(received, kBadGateway, "%d after 199", received);
}

}  // namespace banyanlane::processes
