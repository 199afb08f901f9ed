#pragma once

#include "http/internal/connection_tracker.h"

namespace banyanlane::http {

/// Records when a connection waits for its caller.
class ICallerWaits {
 public:
  virtual ~ICallerWaits() = default;
  virtual void BeginWait(CallerWait wait) = 0;
  virtual void EndWait() = 0;
};

/// Wait for the caller that ends with the scope.
class CallerWaitScope {
 public:
  CallerWaitScope(ICallerWaits& waits, CallerWait wait) : waits(waits) {
    this->waits.BeginWait(wait);
  }
  ~CallerWaitScope() { this->waits.EndWait(); }
  CallerWaitScope(const CallerWaitScope&) = delete;
  CallerWaitScope& operator=(const CallerWaitScope&) = delete;

 private:
  ICallerWaits& waits;
};

}  // namespace banyanlane::http
