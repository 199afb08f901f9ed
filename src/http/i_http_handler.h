#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "http/http_types.h"
#include "kernel/time.h"

namespace banyanlane::http {

/// Wakes the exchange it belongs to; may be called from any thread, also after
/// its end.
class INotifier {
 public:
  virtual ~INotifier() = default;
  virtual void Notify() = 0;
};

/// Why a wait ended.
enum class WakeReason { kNotified, kTimeout, kCallerDisconnected };

/// One request on its way to an answer. Only the handler's own coroutine calls
/// it.
class IHttpExchange {
 public:
  virtual ~IHttpExchange() = default;

  virtual const HttpRequest& request() const = 0;
  /// Moves the request out, whose body can be large.
  virtual HttpRequest TakeRequest() = 0;

  /// Returns what wakes `Wait`.
  virtual std::shared_ptr<INotifier> notifier() = 0;

  /// Suspends until notified, until `until`, or until the caller has gone.
  virtual WakeReason Wait(kernel::TimePoint until) = 0;

  /// Makes the answer the last one of its connection. Call before the answer
  /// begins.
  virtual void CloseAfterResponse() = 0;

  /// Sends a whole response.
  virtual void Reply(const HttpResponse& response) = 0;

  /// Sends the head of a response in chunks. @return false when the caller has
  /// gone.
  virtual bool BeginStream(int status, const Headers& headers) = 0;

  /// Sends one chunk. @return false when the caller has gone.
  virtual bool WriteChunk(std::string_view data) = 0;

  /// Ends the response as whole.
  virtual void EndStream() = 0;

  /// Closes the connection without ending the response, so that it can't pass
  /// for whole.
  virtual void Abort() = 0;
};

/// Answers requests.
class IHttpHandler {
 public:
  virtual ~IHttpHandler() = default;

  /// Answers `exchange`; runs as a coroutine and may suspend in the exchange's
  /// methods.
  virtual void Handle(IHttpExchange& exchange) = 0;

  /// Returns the answer to a request that the server has no room for. The
  /// request has not reached Handle, and its body was not read.
  virtual HttpResponse RefuseOverload(const HttpRequest& request,
                                      const std::string& reason);
};

}  // namespace banyanlane::http
