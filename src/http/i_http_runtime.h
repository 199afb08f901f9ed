#pragma once

#include <atomic>
#include <functional>
#include <limits>
#include <memory>
#include <string>

#include "http/http_types.h"
#include "http/i_http_handler.h"
#include "kernel/result.h"
#include "kernel/time.h"

namespace banyanlane::http {

/// Server that listens on one address.
class IHttpServer {
 public:
  virtual ~IHttpServer() = default;
  /// Returns the port that the server listens on.
  virtual std::uint16_t port() const = 0;
  /// Stops accepting connections and closes those that are idle. The others are
  /// closed after the responses to the requests that have been received.
  virtual void StopAccepting() = 0;
  /// Sets the limits for requests that begin after this call.
  virtual void SetLimits(const ServerLimits& limits) = 0;
  /// Returns the number of requests that the handler is processing.
  virtual std::size_t ActiveExchanges() const = 0;
  /// Returns the number of connections that receive, process or answer a
  /// request.
  virtual std::size_t BusyConnections() const = 0;
  /// Returns the number of failed attempts to accept a connection.
  virtual std::uint64_t FailedAccepts() const = 0;
};

/// Whether the request of a failed call can have reached the peer.
enum class SendState { kNotSent, kMaybeSent };

/// Receives the response to a call. Methods are called in order, by one thread
/// at a time.
class IHttpCallObserver {
 public:
  virtual ~IHttpCallObserver() = default;
  virtual void OnHead(int status, const Headers& headers) = 0;
  virtual void OnData(std::string_view data) = 0;
  /// The response is complete.
  virtual void OnEnd() = 0;
  /// The call failed.
  /// @param state whether the peer can have received the request.
  virtual void OnFailed(const kernel::Error& error, SendState state) = 0;
};

/// Call in progress. The methods may be called from any thread.
class IHttpCall {
 public:
  virtual ~IHttpCall() = default;
  /// Resets the connection, so that data which the peer has not received yet is
  /// discarded. The observer receives OnFailed unless the call has already
  /// ended.
  virtual void Abort() = 0;
  /// Stops reading, so that TCP flow control slows the peer down.
  virtual void Pause() = 0;
  virtual void Resume() = 0;
};

/// Value of CallLimits::max_body_bytes for streams, whose receiver keeps only
/// parts of them.
inline constexpr std::uint64_t kUnlimitedBody =
    std::numeric_limits<std::uint64_t>::max();

/// Limits and options of one call.
struct CallLimits {
  kernel::Millis connect_timeout{1'000};
  /// Maximum time from sending the request to the response head.
  kernel::Millis head_timeout{60'000};
  /// Maximum time between two reads of the response body.
  kernel::Millis body_idle_timeout{10'000};
  /// Maximum time from the start of the call to the end of the response; 0 for
  /// no limit.
  kernel::Millis total_timeout{0};
  /// Maximum size of the response body in bytes. The call fails at a larger
  /// one.
  std::uint64_t max_body_bytes = std::uint64_t{16} * 1024 * 1024;
  /// Whether an orderly close of the connection completes a response that has
  /// no length. A reset never completes a response.
  bool close_ends_response = false;
  /// Whether the call may reuse an idle connection and leave its connection
  /// open for reuse. Only allowed for requests that may be sent twice: if the
  /// peer closes the reused connection before anything of the response has
  /// arrived, the request is sent again on a new one.
  bool reuse_connection = false;
};

/// Limits shared by all servers of a runtime.
struct ServerCapacity {
  /// Maximum number of caller connections that are served.
  std::size_t connections = 4'096;
  /// Maximum memory for the bodies of all requests in progress, in bytes.
  std::uint64_t body_bytes = std::uint64_t{64} * 1024 * 1024;
  /// Maximum number of bytes that frame one byte of a chunked body, on average.
  /// The trailer section may have as many as a head in addition.
  std::uint32_t chunk_overhead = 16;
  /// Maximum memory for the heads of all requests in progress, in bytes.
  std::uint64_t head_bytes = std::uint64_t{16} * 1024 * 1024;
  /// Maximum memory for the responses that wait for their callers, in bytes.
  std::uint64_t response_bytes = std::uint64_t{256} * 1024 * 1024;
  /// Time after which an incomplete request gives way to others that need its
  /// memory, and a response that the caller has not taken to others that need
  /// its place or memory.
  kernel::Millis patience{2'000};
};

/// Result of opening a connection only to see whether it is accepted.
enum class ConnectionCheck {
  kAccepted,
  kRefused,  ///< The machine responded, but nothing listens there any more.
  kNoReply,
};

/// Runs servers and calls on a thread pool.
class IHttpRuntime {
 public:
  virtual ~IHttpRuntime() = default;

  /// Opens a server at `address`. Port 0 selects a free port.
  virtual kernel::Result<std::shared_ptr<IHttpServer>> Listen(
      const std::string& address, std::shared_ptr<IHttpHandler> handler,
      const ServerLimits& limits) = 0;

  /// Sends `request` to `address`, on a new connection unless `limits` allows
  /// reuse. The call is kept alive until it has ended. It releases `observer`
  /// when OnEnd or OnFailed has returned, even if the result is still held.
  virtual std::shared_ptr<IHttpCall> Call(
      const std::string& address, HttpRequest request, const CallLimits& limits,
      std::shared_ptr<IHttpCallObserver> observer) = 0;

  /// Opens a connection to `address` and closes it at once.
  /// @param timeout time after which the result is kNoReply.
  /// @param report called once with the result.
  virtual void CheckConnection(const std::string& address,
                               kernel::Millis timeout,
                               std::function<void(ConnectionCheck)> report) = 0;

  /// Calls `task` with the current time until the runtime stops: first after
  /// `period`, then each time `period` after the previous call ended.
  virtual void Every(kernel::Millis period,
                     std::function<void(kernel::TimePoint)> task) = 0;

  /// Starts the thread pool, which runs until Stop.
  virtual void Start(int threads) = 0;
  virtual void Stop() = 0;
};

/// Opens a server of `runtime` at `address` with default limits.
/// @throws std::runtime_error if the server can't listen at `address`.
std::shared_ptr<IHttpServer> OpenServer(IHttpRuntime& runtime,
                                        const std::string& address,
                                        std::shared_ptr<IHttpHandler> handler);

/// Returns a runtime built on Boost.Asio and Boost.Beast.
std::shared_ptr<IHttpRuntime> MakeHttpRuntime(
    const ServerCapacity& capacity = ServerCapacity{});

/// Sends `request` and blocks the calling thread until the complete response
/// has arrived.
/// @param timeout maximum duration of the whole call.
/// @param cancelled flag that ends the wait soon after it becomes true; may be
/// null.
kernel::Result<HttpResponse> Fetch(
    const std::string& address, const HttpRequest& request,
    kernel::Millis timeout, const std::atomic<bool>* cancelled = nullptr);

}  // namespace banyanlane::http
