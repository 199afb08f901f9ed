#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "http/http_types.h"
#include "kernel/time.h"

namespace banyanlane::http {

/// Wakes the exchange that it belongs to. May be called from any thread, even
/// after the exchange has ended.
class INotifier {
 public:
  virtual ~INotifier() = default;
  virtual void Notify() = 0;
};

/// Memory that a response takes until the caller has taken it. May be used from
/// any thread, even after the exchange has ended.
class IResponseMemory {
 public:
  virtual ~IResponseMemory() = default;
  /// Sets the number of bytes that the response takes.
  /// @return false if they are not available. The response must then be given
  /// up; what it had before stays reserved.
  virtual bool Resize(std::uint64_t bytes) = 0;
};

/// Reason why a wait ended.
enum class WakeReason { kNotified, kTimeout, kCallerDisconnected };

/// One request and its response. Only the coroutine that runs the handler may
/// call the methods.
class IHttpExchange {
 public:
  virtual ~IHttpExchange() = default;

  virtual const HttpRequest& request() const = 0;
  /// Moves the request out of the exchange, since its body can be large.
  virtual HttpRequest TakeRequest() = 0;

  /// Returns the notifier that ends a Wait.
  virtual std::shared_ptr<INotifier> notifier() = 0;

  /// Returns the memory of the response. Who collects a response in parts
  /// resizes it with them; Reply does it for a whole one.
  virtual std::shared_ptr<IResponseMemory> response_memory() = 0;

  /// Suspends the coroutine until it is notified, until `until` or until the
  /// caller disconnects.
  virtual WakeReason Wait(kernel::TimePoint until) = 0;

  /// Reserves memory for what the handler derives from the request and keeps
  /// until its end.
  /// @return false if it is not available. The request must then be refused.
  virtual bool HoldMemory(std::uint64_t bytes) = 0;

  /// Closes the connection after this response, or, if further requests have
  /// been received before it begins, after the responses to those. Must be
  /// called before the response begins, and again for the further requests.
  virtual void CloseAfterResponse() = 0;

  /// Sends a complete response. Aborts it if there is no memory for it.
  virtual void Reply(const HttpResponse& response) = 0;

  /// Sends the head of a chunked response.
  /// @return false if the caller has disconnected.
  virtual bool BeginStream(int status, const Headers& headers) = 0;

  /// Sends one chunk.
  /// @return false if the caller has disconnected.
  virtual bool WriteChunk(std::string_view data) = 0;

  /// Sends the last chunk, which marks a chunked response as complete.
  virtual void EndStream() = 0;

  /// Closes the connection without ending the response, so that the caller
  /// can't mistake the response for a complete one.
  virtual void Abort() = 0;
};

/// Handles the requests of a server.
class IHttpHandler {
 public:
  virtual ~IHttpHandler() = default;

  /// Handles one request. Runs as a coroutine and may suspend in the methods of
  /// `exchange`.
  virtual void Handle(IHttpExchange& exchange) = 0;

  /// Returns the response to a request that the server has no capacity for.
  /// Handle is not called for this request. Its body is discarded, and the
  /// connection is closed after the response.
  /// @param reason the exhausted resource: "connections", "request_memory" or
  /// "body_memory".
  virtual HttpResponse RefuseOverload(const HttpRequest& request,
                                      const std::string& reason);
};

}  // namespace banyanlane::http
