#include "link/internal/ws_hub.h"

#include <algorithm>

#include "http/http_types.h"
#include "link/internal/link_security.h"

namespace banyanlane::link {
namespace {

constexpr kernel::Millis kTickPeriod{50};
constexpr int kListenBacklog = 512;
/// Pings are not answered while more than this is queued for the peer.
constexpr std::size_t kMaxQueuedPongBytes = std::size_t{16} * 1024;

/// Transport on a websocketpp connection.
template <typename Endpoint>
class WsTransport : public ITransport {
 public:
  WsTransport(boost::asio::io_context& io,
              const typename Endpoint::connection_ptr& connection,
              std::string address)
      : io(io), connection(connection), address(std::move(address)) {}

  void Send(std::string frame) override {
    const auto open = this->connection.lock();
    if (!open) return;
    // After a failed send, the connection's close handler runs.
    static_cast<void>(open->send(frame, websocketpp::frame::opcode::binary));
  }

  void Close(std::string_view reason, kernel::Millis timeout) override {
    boost::asio::post(this->io, [weak = this->connection,
                                 text = std::string(reason), timeout] {
      const auto open = weak.lock();
      if (!open) return;
      open->set_close_handshake_timeout(timeout.count());
      websocketpp::lib::error_code ignored;
      open->close(websocketpp::close::status::normal, text, ignored);
      if (ignored) open->terminate(ignored);
    });
  }

  std::size_t QueuedBytes() const override {
    const auto open = this->connection.lock();
    return open ? open->get_buffered_amount() : 0;
  }

  std::string Address() const override { return this->address; }

 private:
  boost::asio::io_context& io;
  std::weak_ptr<typename Endpoint::connection_type> connection;
  std::string address;
};

}  // namespace

template <typename Security>
WsHub<Security>::WsHub(const LinkLimits& limits, Security security,
                       const std::shared_ptr<kernel::Metrics>& metrics)
    : security(std::move(security)),
      shared(std::make_shared<SharedSessionState>()),
      accepted(limits.max_accepted) {
  this->shared->limits = limits;
  this->shared->metrics = metrics;
  this->Configure(this->server);
  this->Configure(this->client);
  this->server.set_reuse_addr(true);
  this->server.set_listen_backlog(kListenBacklog);
  this->server.set_tcp_pre_init_handler(
      [this](const Handle& handle) { this->OnAccepted(handle); });
}

template <typename Security>
WsHub<Security>::~WsHub() {
  this->Stop();
}

template <typename Security>
template <typename Endpoint>
void WsHub<Security>::Configure(Endpoint& endpoint) {
  endpoint.clear_access_channels(websocketpp::log::alevel::all);
  endpoint.clear_error_channels(websocketpp::log::elevel::all);
  endpoint.init_asio(&this->io);
  endpoint.set_max_message_size(this->shared->limits.max_hello_bytes);
  // The requests of the handshake have no body.
  endpoint.set_max_http_body_size(0);
  endpoint.set_open_handshake_timeout(
      this->shared->limits.handshake_timeout.count());
  endpoint.set_close_handshake_timeout(
      this->shared->limits.close_timeout.count());
  this->security.Apply(endpoint);
  endpoint.set_tcp_post_init_handler([&endpoint](const Handle& handle) {
    // Without no_delay, small frames in a row would each wait for an
    // acknowledgement.
    boost::system::error_code ignored;
    endpoint.get_con_from_hdl(handle)->get_raw_socket().set_option(
        boost::asio::ip::tcp::no_delay(true), ignored);
  });
}

template <typename Security>
void WsHub<Security>::SetStateProviders(std::function<Hello()> hello,
                                        std::function<Heartbeat()> heartbeat) {
  this->shared->hello = std::move(hello);
  this->shared->heartbeat = std::move(heartbeat);
}

template <typename Security>
void WsHub<Security>::Subscribe(std::shared_ptr<ILinkObserver> observer) {
  this->shared->observers.push_back(std::move(observer));
}

template <typename Security>
template <typename Endpoint>
void WsHub<Security>::SetHandlers(
    Endpoint& /*endpoint*/, const typename Endpoint::connection_ptr& connection,
    const std::shared_ptr<LinkSession>& session) {
  connection->set_open_handler(
      [this, session, weak = std::weak_ptr(connection)](const Handle&) {
        const auto open = weak.lock();
        if (!open) return;
        session->OnOpen(this->security.PeerName(*open), kernel::Clock::now());
      });
  connection->set_message_handler(
      [this, session, weak = std::weak_ptr(connection)](
          const Handle& handle, const typename Endpoint::message_ptr& message) {
        const bool was_up = session->IsUp();
        session->OnFrame(message->get_payload(), kernel::Clock::now());
        if (was_up || !session->IsUp()) return;
        this->accepted.OnHandshake(handle);
        const auto open = weak.lock();
        if (open)
          open->set_max_message_size(this->shared->limits.max_frame_bytes);
      });
  // Responses to pings are queued at once. Only the latest ping needs one
  // (RFC 6455, section 5.5.3).
  connection->set_ping_handler(
      [weak = std::weak_ptr(connection)](const Handle&, const std::string&) {
        const auto open = weak.lock();
        return open && open->get_buffered_amount() <= kMaxQueuedPongBytes;
      });
  const auto on_closed = [this, session](const Handle&) {
    session->OnClosed(kernel::Clock::now());
    this->RemoveSession(session);
  };
  connection->set_close_handler(on_closed);
  connection->set_fail_handler(on_closed);
}

template <typename Security>
kernel::Result<std::uint16_t> WsHub<Security>::Listen(
    const std::string& address) {
  const auto parsed = http::ParseHostPort(address);
  if (const kernel::Error* error = kernel::ErrorOf(parsed)) return *error;
  const auto& host_port = std::get<0>(parsed);
  const auto fail = [&address](const std::string& detail) {
    return kernel::Error{kernel::ErrorCode::kInvalidSettings, "listen", address,
                         detail};
  };
  boost::system::error_code invalid;
  const auto ip = boost::asio::ip::make_address(host_port.host, invalid);
  if (invalid) return fail(invalid.message());
  this->server.set_validate_handler([this](const Handle& handle) {
    const auto connection = this->server.get_con_from_hdl(handle);
    auto transport = std::make_shared<WsTransport<Server>>(
        this->io, connection, connection->get_remote_endpoint());
    auto session = std::make_shared<LinkSession>(
        this->shared, std::move(transport), kernel::Clock::now());
    this->SetHandlers(this->server, connection, session);
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->is_stopping) return false;
    this->sessions.push_back(session);
    return true;
  });
  websocketpp::lib::error_code failure;
  this->server.listen(boost::asio::ip::tcp::endpoint(ip, host_port.port),
                      failure);
  if (failure) return fail(failure.message());
  this->server.start_accept(failure);
  if (failure) return fail(failure.message());
  boost::system::error_code ignored;
  return this->server.get_local_endpoint(ignored).port();
}

template <typename Security>
void WsHub<Security>::OnAccepted(const Handle& handle) {
  const auto surplus = this->accepted.Add(handle);
  if (!surplus) return;
  websocketpp::lib::error_code unknown;
  const auto connection = this->server.get_con_from_hdl(*surplus, unknown);
  if (!connection) return;
  // Its pending read fails, which ends the connection.
  boost::system::error_code ignored;
  connection->get_raw_socket().close(ignored);
}

template <typename Security>
void WsHub<Security>::SetTargets(const std::vector<std::string>& addresses) {
  std::vector<std::shared_ptr<LinkSession>> unwanted;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (auto it = this->targets.begin(); it != this->targets.end();) {
      const bool kept = std::find(addresses.begin(), addresses.end(),
                                  it->first) != addresses.end();
      if (!kept && it->second.session) unwanted.push_back(it->second.session);
      it = kept ? std::next(it) : this->targets.erase(it);
    }
    for (const std::string& address : addresses)
      this->targets.emplace(address, Target{});
  }
  for (const auto& session : unwanted) session->Close("no longer wanted");
}

template <typename Security>
std::vector<LinkPtr> WsHub<Security>::Links() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<LinkPtr> links;
  for (const auto& session : this->sessions) {
    if (session->IsUp()) links.push_back(session);
  }
  return links;
}

template <typename Security>
void WsHub<Security>::Start() {
  this->ScheduleTick();
  this->thread = std::thread([this] { this->io.run(); });
}

template <typename Security>
std::size_t WsHub<Security>::QueuedBytes() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::size_t bytes = 0;
  for (const auto& session : this->sessions) bytes += session->QueuedBytes();
  return bytes;
}

template <typename Security>
void WsHub<Security>::Stop() {
  if (!this->thread.joinable()) return;
  this->CloseAll();
  {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->all_closed.wait_for(lock, this->shared->limits.stop_timeout,
                              [this] { return this->sessions.empty(); });
  }
  this->io.stop();
  this->thread.join();
}

template <typename Security>
void WsHub<Security>::CloseAll() {
  std::vector<std::shared_ptr<LinkSession>> all;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->is_stopping = true;
    all = this->sessions;
  }
  for (const auto& session : all)
    session->CloseWithin(this->shared->limits.stop_timeout, "stopping");
}

template <typename Security>
void WsHub<Security>::ScheduleTick() {
  this->tick_timer.expires_after(kTickPeriod);
  this->tick_timer.async_wait([this](const boost::system::error_code& failure) {
    if (failure) return;
    this->Tick(kernel::Clock::now());
    this->ScheduleTick();
  });
}

template <typename Security>
void WsHub<Security>::Tick(kernel::TimePoint now) {
  std::vector<std::shared_ptr<LinkSession>> all;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    all = this->sessions;
  }
  for (const auto& session : all) session->OnTick(now);
  this->ConnectDueTargets(now);
}

template <typename Security>
void WsHub<Security>::ConnectDueTargets(kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->is_stopping) return;
  for (auto& [address, target] : this->targets) {
    if (!target.session && now >= target.next_attempt)
      this->Connect(address, target, now);
  }
}

template <typename Security>
void WsHub<Security>::Connect(const std::string& address, Target& target,
                              kernel::TimePoint now) {
  target.backoff = this->NextBackoff(target.backoff);
  target.next_attempt = now + target.backoff;
  websocketpp::lib::error_code failure;
  const auto connection = this->client.get_connection(
      Security::kScheme + address + "/link", failure);
  if (failure) return;
  auto transport =
      std::make_shared<WsTransport<Client>>(this->io, connection, address);
  auto session =
      std::make_shared<LinkSession>(this->shared, std::move(transport), now);
  this->SetHandlers(this->client, connection, session);
  target.session = session;
  this->sessions.push_back(session);
  this->client.connect(connection);
}

template <typename Security>
void WsHub<Security>::RemoveSession(
    const std::shared_ptr<LinkSession>& session) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->sessions.erase(
      std::remove(this->sessions.begin(), this->sessions.end(), session),
      this->sessions.end());
  if (this->sessions.empty()) this->all_closed.notify_all();
  for (auto& [address, target] : this->targets) {
    if (target.session != session) continue;
    target.session = nullptr;
    // The link was up if the peer's Hello was received. The next backoff then
    // starts at the minimum again.
    if (session->peer().incarnation != 0) target.backoff = kernel::Millis{0};
  }
}

template <typename Security>
kernel::Millis WsHub<Security>::NextBackoff(kernel::Millis previous) {
  const LinkLimits& limits = this->shared->limits;
  const auto max_backoff =
      std::min(limits.max_reconnect_delay,
               std::max(limits.min_reconnect_delay, previous * 2));
  std::uniform_int_distribution<std::int64_t> jitter(max_backoff.count() / 2,
                                                     max_backoff.count());
  return kernel::Millis(jitter(this->random));
}

template class WsHub<PlainSecurity>;
template class WsHub<TlsSecurity>;

}  // namespace banyanlane::link
