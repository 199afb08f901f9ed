#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "http/http_types.h"
#include "http/i_http_handler.h"
#include "kernel/result.h"
#include "kernel/time.h"

namespace banyanlane::http {

/// A listening server.
class IHttpServer {
 public:
  virtual ~IHttpServer() = default;
  /// Returns the port it listens on.
  virtual std::uint16_t port() const = 0;
  /// Accepts no more connections; those open go on.
  virtual void StopAccepting() = 0;
  /// Sets the bounds for requests that begin from now on.
  virtual void SetLimits(const ServerLimits& limits) = 0;
  /// Returns the number of exchanges that are not answered yet.
  virtual std::size_t ActiveExchanges() const = 0;
  /// Returns how often a connection could not be accepted.
  virtual std::uint64_t FailedAccepts() const = 0;
};

/// What became of the connection under a failed call.
enum class SendState { kNotSent, kMaybeSent };

/// Receives the answer to a call, from one thread at a time, in order.
class IHttpCallObserver {
 public:
  virtual ~IHttpCallObserver() = default;
  virtual void OnHead(int status, const Headers& headers) = 0;
  virtual void OnData(std::string_view data) = 0;
  /// The answer is whole.
  virtual void OnEnd() = 0;
  /// The call failed; `state` tells if the peer can have seen the request.
  virtual void OnFailed(const kernel::Error& error, SendState state) = 0;
};

/// A call in progress; its methods may be called from any thread.
class IHttpCall {
 public:
  virtual ~IHttpCall() = default;
  /// Closes the connection; the observer gets OnFailed unless the call has
  /// ended.
  virtual void Abort() = 0;
  /// Stops reading, so that the peer is held back by its own connection.
  virtual void Pause() = 0;
  virtual void Resume() = 0;
};

/// Bounds on one call.
struct CallLimits {
  kernel::Millis connect_timeout{1'000};
  kernel::Millis head_timeout{
      60'000};  ///< From the request sent to the answer's head.
  kernel::Millis body_idle_timeout{
      10'000};  ///< Between two parts of the answer.
  /// Whether an orderly close ends an answer that has no length. A reset never
  /// does.
  bool close_ends_response = false;
  /// Whether the call may use a connection that another one has left open, and
  /// leave its own. Only for what may be sent twice: on a connection that turns
  /// out to be closed, the request is sent again on a new one.
  bool reuse_connection = false;
};

/// What all servers of a runtime may use together.
struct ServerCapacity {
  std::size_t connections = 4'096;
  /// Memory for the bodies of all requests that are not answered yet.
  std::uint64_t body_bytes = std::uint64_t{64} * 1024 * 1024;
};

/// Runs servers and calls on a pool of threads.
class IHttpRuntime {
 public:
  virtual ~IHttpRuntime() = default;

  /// Opens a server at `address`; port 0 takes a free one.
  virtual kernel::Result<std::shared_ptr<IHttpServer>> Listen(
      const std::string& address, std::shared_ptr<IHttpHandler> handler,
      const ServerLimits& limits) = 0;

  /// Sends `request` to `address`, on a connection of its own unless `limits`
  /// say otherwise.
  virtual std::shared_ptr<IHttpCall> Call(
      const std::string& address, HttpRequest request, const CallLimits& limits,
      std::shared_ptr<IHttpCallObserver> observer) = 0;

  /// Calls `task` each `period` until the runtime stops.
  virtual void Every(kernel::Millis period,
                     std::function<void(kernel::TimePoint)> task) = 0;

  /// Runs the threads' work until Stop.
  virtual void Start(int threads) = 0;
  virtual void Stop() = 0;
};

/// Opens a server of `runtime` at `address`.
/// @throws std::runtime_error when it can't listen there.
std::shared_ptr<IHttpServer> OpenServer(IHttpRuntime& runtime,
                                        const std::string& address,
                                        std::shared_ptr<IHttpHandler> handler);

/// Returns a runtime built on Boost.Asio and Boost.Beast.
std::shared_ptr<IHttpRuntime> MakeHttpRuntime(
    const ServerCapacity& capacity = ServerCapacity{});

/// Sends `request` and waits for the whole answer; blocks the calling thread.
/// @param cancelled ends the wait soon after it becomes true; may be null.
kernel::Result<HttpResponse> Fetch(
    const std::string& address, const HttpRequest& request,
    kernel::Millis timeout, const std::atomic<bool>* cancelled = nullptr);

}  // namespace banyanlane::http
