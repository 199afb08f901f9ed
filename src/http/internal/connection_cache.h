#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http/internal/asio_http.h"
#include "kernel/time.h"

namespace banyanlane::http {

/// A connection to a server, with what was read of it and not used yet.
struct HttpConnection {
  explicit HttpConnection(const Strand& strand)
      : strand(strand), stream(strand) {}

  Strand strand;  ///< On which all use of the connection runs.
  StrandStream stream;
  beast::flat_buffer buffer;
};

using HttpConnectionPtr = std::shared_ptr<HttpConnection>;

/// Idle connections that further calls can use, by address.
class ConnectionCache {
 public:
  /// Returns the connection that was idle for the shortest time, or null.
  HttpConnectionPtr Take(const std::string& address, kernel::TimePoint now);

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
