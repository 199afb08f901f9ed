#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http/internal/asio_http.h"
#include "kernel/time.h"

namespace banyanlane::http {

/// Maximum number of bytes of a response that are read but not parsed yet: a
/// head, a line before a chunk, or the trailer section.
inline constexpr std::size_t kMaxUnparsedBytes = std::size_t{32} * 1024;

/// Connection to a server, with the data that was read but not parsed yet.
struct HttpConnection {
  explicit HttpConnection(const Strand& strand)
      : strand(strand), stream(strand) {}

  Strand strand;  ///< Strand that runs all operations.
  StrandStream stream;
  beast::flat_buffer buffer{kMaxUnparsedBytes};
};

using HttpConnectionPtr = std::shared_ptr<HttpConnection>;

/// Idle connections that later calls can reuse, grouped by address.
/// Thread-safe.
class ConnectionCache {
 public:
  /// Removes and returns the most recently used idle connection to `address`,
  /// or null if there is none that is recent enough, open, and on which nothing
  /// has arrived since it was stored. Closes those that cannot be used again.
  HttpConnectionPtr Take(const std::string& address, kernel::TimePoint now);

  /// Stores an idle connection, unless the maximum number for `address` is
  /// already stored.
  void Put(const std::string& address, HttpConnectionPtr connection,
           kernel::TimePoint now);

 private:
  struct Idle {
    HttpConnectionPtr connection;
    kernel::TimePoint since;
  };

  std::mutex mutex;
  std::map<std::string, std::vector<Idle>> idle;
};

}  // namespace banyanlane::http
