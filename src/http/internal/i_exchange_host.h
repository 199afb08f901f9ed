#pragma once

#include "http/i_http_handler.h"
#include "http/internal/connection_tracker.h"

namespace banyanlane::http {

/// Connection on which an exchange takes place.
class IExchangeHost {
 public:
  virtual ~IExchangeHost() = default;
  /// Records that the connection waits for its caller.
  virtual void BeginWait(CallerWait wait) = 0;
  virtual void EndWait() = 0;
  /// Reserves more memory for the request.
  /// @return false if it is not available.
  virtual bool HoldRequestMemory(std::uint64_t bytes) = 0;
  /// Returns new memory for one response.
  virtual std::shared_ptr<IResponseMemory> MakeResponseMemory() = 0;
};

/// Wait for the caller that ends with the scope.
class CallerWaitScope {
 public:
  CallerWaitScope(IExchangeHost& host, CallerWait wait) : host(host) {
    this->host.BeginWait(wait);
  }
  ~CallerWaitScope() { this->host.EndWait(); }
  CallerWaitScope(const CallerWaitScope&) = delete;
  CallerWaitScope& operator=(const CallerWaitScope&) = delete;

 private:
  IExchangeHost& host;
};

}  // namespace banyanlane::http
