#pragma once

#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "soak/loss_judge.h"
#include "soak/soak_asio.h"
#include "soak/work_order.h"

namespace banyanlane::soak {

/// Where callers ask for addresses.
struct Directory {
  std::vector<std::string> addresses;  ///< One of each gateway.
  /// How long callers keep an unused connection.
  kernel::Millis idle_limit{0};
  std::string host;
  std::string api_key;
};

/// Caller that keeps the addresses it was given and some connections. It tells
/// the judge how its requests ended. Used by one thread.
class SoakCaller : public std::enable_shared_from_this<SoakCaller> {
 public:
  SoakCaller(asio::io_context& io, LossJudge& judge,
             std::shared_ptr<Directory> directory, std::string name,
             std::uint64_t seed);

  /// Sends a request of the given class, and a second one if the first may be
  /// repeated and failed.
  void Send(const RequestSpec& spec, asio::yield_context yield);

 private:
  struct Connection {
    Connection(asio::io_context& io, std::string gateway)
        : stream(io), gateway(std::move(gateway)) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::string gateway;
    kernel::TimePoint idle_since;
    bool was_used = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;
  using ResponseParser = beast::http::response_parser<beast::http::string_body>;

  WorkOrder DrawWork(const RequestSpec& spec);
  int Draw(double mean, int max);
  /// Sends one request.
  /// @param deadline moment at which the caller leaves.
  SentRequest Attempt(const RequestSpec& spec, const WorkOrder& work,
                      kernel::TimePoint deadline, asio::yield_context yield);
  void ReadResponse(Connection& connection, const WorkOrder& work,
                    kernel::TimePoint deadline, SentRequest& sent,
                    asio::yield_context yield);
  ConnectionPtr TakeKept();
  ConnectionPtr Open(asio::yield_context yield);
  void RefreshAddresses(asio::yield_context yield);
  std::optional<std::string> FetchAddresses(const std::string& directory,
                                            asio::yield_context yield);
  void AdoptAddresses(const std::string& body);

  asio::io_context& io;
  LossJudge& judge;
  const std::shared_ptr<Directory> directory;
  const std::string name;
  const std::string zone;  ///< Failure domain of the caller.
  std::mt19937_64 random;
  /// Factor by which this caller keeps addresses longer than it was told.
  const int patience;
  std::vector<std::string> addresses;
  kernel::TimePoint addresses_until;
  std::set<std::string> failed;  ///< Addresses that did not accept.
  std::vector<ConnectionPtr> kept;
  int sent = 0;
};

}  // namespace banyanlane::soak
