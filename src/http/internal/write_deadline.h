#pragma once

#include <cstdint>
#include <memory>

#include "http/internal/asio_http.h"
#include "kernel/time.h"

namespace banyanlane::http {

/// Closes a stream while it is written to and its peer takes nothing for a
/// time. What counts is what the peer has acknowledged, since the send buffer
/// of a slow peer takes more only when a large part of it is free. All methods
/// must run on the strand of the stream.
class WriteDeadline : public std::enable_shared_from_this<WriteDeadline> {
 public:
  /// @param stream must not be destroyed between Begin and End.
  /// @param patience time without progress after which the stream is closed.
  WriteDeadline(StrandStream& stream, const Strand& strand,
                kernel::Millis patience);

  /// Begins to watch a write.
  void Begin(kernel::TimePoint now);
  /// Counts bytes that the send buffer has taken.
  void OnWritten(std::size_t bytes) { this->written += bytes; }
  /// Ends watching.
  void End();

 private:
  void Schedule();
  void Check(kernel::TimePoint now);
  /// Returns how many of the written bytes the peer has acknowledged.
  std::int64_t Acknowledged();

  StrandStream& stream;
  asio::steady_timer timer;
  kernel::Millis patience;
  std::uint64_t writes = 0;  ///< Number of the current write.
  bool is_writing = false;
  std::uint64_t written = 0;
  std::int64_t acknowledged = 0;  ///< As of the last check.
  kernel::TimePoint progressed_at;
};

}  // namespace banyanlane::http
