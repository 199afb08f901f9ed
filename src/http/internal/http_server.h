#pragma once

#include <atomic>
#include <memory>
#include <mutex>

#include "http/i_http_runtime.h"
#include "http/internal/asio_http.h"
#include "http/internal/connection_tracker.h"
#include "http/internal/memory_budget.h"

namespace banyanlane::http {

class CallerConnection;
class HttpExchange;

/// Resources shared by all servers of a runtime.
struct SharedResources {
  std::shared_ptr<ConnectionTracker> tracker;
  std::shared_ptr<MemoryBudget> bodies;
  std::shared_ptr<MemoryBudget> heads;
  std::shared_ptr<MemoryBudget> responses;
  /// See ServerCapacity.
  std::uint32_t chunk_overhead = 0;
};

/// Server that accepts connections and passes requests to a handler.
class HttpServer : public IHttpServer,
                   public std::enable_shared_from_this<HttpServer> {
 public:
  HttpServer(asio::io_context& io, std::shared_ptr<IHttpHandler> handler,
             const ServerLimits& limits, SharedResources resources);

  /// Binds to `endpoint` and starts accepting.
  /// @return the port.
  kernel::Result<std::uint16_t> Open(const tcp::endpoint& endpoint);

  std::uint16_t port() const override { return this->bound_port; }
  void StopAccepting() override;
  void SetLimits(const ServerLimits& limits) override;
  std::size_t ActiveExchanges() const override { return this->active; }
  std::size_t BusyConnections() const override { return this->busy; }
  std::uint64_t FailedAccepts() const override { return this->failed_accepts; }

  ServerLimits CurrentLimits() const;
  bool IsAccepting() const { return this->accepting; }
  ConnectionTracker& tracker() { return *this->resources.tracker; }
  MemoryBudget& bodies() { return *this->resources.bodies; }
  MemoryBudget& heads() { return *this->resources.heads; }
  /// Returns the largest number of bytes that may frame one byte of a chunked
  /// body.
  std::uint32_t chunk_overhead() const {
    return this->resources.chunk_overhead;
  }
  IHttpHandler& handler() { return *this->request_handler; }

  /// Returns memory for one response.
  /// @param held_bytes counts what responses hold.
  std::shared_ptr<IResponseMemory> MakeResponseMemory(
      std::shared_ptr<std::atomic<std::uint64_t>> held_bytes) const;

  /// Counts a connection that begins, or has ceased, to serve requests.
  void OnConnectionBusy() { ++this->busy; }
  void OnConnectionIdle() { --this->busy; }
  /// Passes a request to the handler. Aborts the exchange if the handler
  /// throws.
  void Handle(HttpExchange& exchange);

 private:
  void Accept();
  void AcceptAfterPause();
  void OnAccepted(const std::shared_ptr<CallerConnection>& connection,
                  const beast::error_code& failure);
  /// Counts failures, and logs when accepting starts to fail and when it
  /// recovers.
  void RecordAcceptResult(const beast::error_code& failure);

  asio::io_context& io;
  tcp::acceptor acceptor;
  asio::steady_timer pause_timer;
  std::shared_ptr<IHttpHandler> request_handler;
  mutable std::mutex limits_mutex;
  ServerLimits limits;
  SharedResources resources;
  std::uint16_t bound_port = 0;
  std::atomic<std::size_t> active{0};  ///< Number of Handle calls in progress.
  std::atomic<std::size_t> busy{0};    ///< Number of busy connections.
  std::atomic<std::uint64_t> failed_accepts{0};
  std::atomic<bool> accepting{false};
  bool is_failing = false;  ///< Whether the last logged state is a failure.
  kernel::TimePoint last_failure;
};

}  // namespace banyanlane::http
