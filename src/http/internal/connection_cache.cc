#include "http/internal/connection_cache.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace banyanlane::http {
namespace {

/// Connections that have been idle for longer than this are not reused, since
/// servers close idle connections after a few seconds.
constexpr kernel::Millis kMaxIdleTime{2'000};
constexpr std::size_t kMaxPerAddress = 4;

/// Returns whether the connection is open and nothing has arrived on it.
/// Whatever arrives after a complete response belongs to no request, such as a
/// second copy of the response.
bool IsSilent(HttpConnection& connection) {
  char byte = 0;
  const ssize_t count = recv(connection.stream.socket().native_handle(), &byte,
                             1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

HttpConnectionPtr ConnectionCache::Take(const std::string& address,
                                        kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->idle.find(address);
  if (found == this->idle.end()) return nullptr;
  auto& connections = found->second;
  connections.erase(std::remove_if(connections.begin(), connections.end(),
                                   [now](const Idle& entry) {
                                     return now - entry.since > kMaxIdleTime ||
                                            !IsSilent(*entry.connection);
                                   }),
                    connections.end());
  if (connections.empty()) return nullptr;
  HttpConnectionPtr taken = std::move(connections.back().connection);
  connections.pop_back();
  return taken;
}

void ConnectionCache::Put(const std::string& address,
                          HttpConnectionPtr connection, kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  auto& connections = this->idle[address];
  if (connections.size() < kMaxPerAddress)
    connections.push_back({std::move(connection), now});
}

}  // namespace banyanlane::http
