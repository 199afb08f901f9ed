#include "http/internal/write_deadline.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace banyanlane::http {
namespace {

/// Number of checks for progress in the time after which a stream is closed.
constexpr int kChecks = 5;

}  // namespace

WriteDeadline::WriteDeadline(StrandStream& stream, const Strand& strand,
                             kernel::Millis patience)
    : stream(stream), timer(strand), patience(patience) {}

void WriteDeadline::Begin(kernel::TimePoint now) {
  ++this->writes;
  this->is_writing = true;
  this->progressed_at = now;
  this->Schedule();
}

void WriteDeadline::End() {
  this->is_writing = false;
  this->timer.cancel();
}

void WriteDeadline::Schedule() {
  this->timer.expires_after(this->patience / kChecks);
  this->timer.async_wait(
      [self = this->shared_from_this(),
       write = this->writes](const beast::error_code& cancelled) {
        // The handler of an earlier write may still be queued.
        const bool is_current = self->is_writing && write == self->writes;
        if (!cancelled && is_current) self->Check(kernel::Clock::now());
      });
}

void WriteDeadline::Check(kernel::TimePoint now) {
  const std::int64_t taken = this->Acknowledged();
  if (taken != this->acknowledged) this->progressed_at = now;
  this->acknowledged = taken;
  if (now - this->progressed_at < this->patience) return this->Schedule();
  this->stream.close();
}

std::int64_t WriteDeadline::Acknowledged() {
  int unacknowledged = 0;
  const int result =
      ioctl(this->stream.socket().native_handle(), SIOCOUTQ, &unacknowledged);
  if (result != 0) unacknowledged = 0;
  return static_cast<std::int64_t>(this->written) - unacknowledged;
}

}  // namespace banyanlane::http
