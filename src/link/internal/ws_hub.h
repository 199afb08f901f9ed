#pragma once

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>
#include <websocketpp/client.hpp>
#include <websocketpp/server.hpp>

#include "link/internal/accepted_connections.h"
#include "link/internal/link_session.h"

namespace banyanlane::link {

/// ILinkHub on websocketpp. One thread runs all links of the process.
/// @tparam Security PlainSecurity or TlsSecurity.
template <typename Security>
class WsHub : public ILinkHub {
 public:
  WsHub(const LinkLimits& limits, Security security,
        const std::shared_ptr<kernel::Metrics>& metrics);
  ~WsHub() override;

  void SetStateProviders(std::function<Hello()> hello,
                         std::function<Heartbeat()> heartbeat) override;
  void Subscribe(std::shared_ptr<ILinkObserver> observer) override;
  kernel::Result<std::uint16_t> Listen(const std::string& address) override;
  void SetTargets(const std::vector<std::string>& addresses) override;
  std::vector<LinkPtr> Links() const override;
  std::size_t QueuedBytes() const override;
  void Start() override;
  void Stop() override;

 private:
  using Server = websocketpp::server<typename Security::ServerConfig>;
  using Client = websocketpp::client<typename Security::ClientConfig>;
  using Handle = websocketpp::connection_hdl;

  /// Address to which this process maintains a link.
  struct Target {
    std::shared_ptr<LinkSession>
        session;  ///< Null while there is no connection.
    kernel::TimePoint next_attempt;
    kernel::Millis backoff{0};
  };

  template <typename Endpoint>
  void Configure(Endpoint& endpoint);
  template <typename Endpoint>
  void SetHandlers(Endpoint& endpoint,
                   const typename Endpoint::connection_ptr& connection,
                   const std::shared_ptr<LinkSession>& session);
  /// Counts a connection that was accepted, and closes one if there are too
  /// many.
  void OnAccepted(const Handle& handle);
  /// Closes all links and accepts no further ones.
  void CloseAll();
  void ScheduleTick();
  void Tick(kernel::TimePoint now);
  void ConnectDueTargets(kernel::TimePoint now);
  void Connect(const std::string& address, Target& target,
               kernel::TimePoint now);
  void RemoveSession(const std::shared_ptr<LinkSession>& session);
  kernel::Millis NextBackoff(kernel::Millis previous);

  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
      io.get_executor()};
  boost::asio::steady_timer tick_timer{io};
  Security security;
  std::shared_ptr<SharedSessionState> shared;
  Server server;
  Client client;
  AcceptedConnections accepted;  ///< Used by the thread only.
  std::thread thread;
  mutable std::mutex mutex;
  std::vector<std::shared_ptr<LinkSession>> sessions;
  bool is_stopping = false;
  /// Notified when `sessions` becomes empty.
  std::condition_variable all_closed;
  std::map<std::string, Target> targets;
  std::minstd_rand random{std::random_device{}()};
};

}  // namespace banyanlane::link
