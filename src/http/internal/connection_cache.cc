#include "http/internal/connection_cache.h"

#include <algorithm>

namespace banyanlane::http {
namespace {

/// Connections that have been idle for longer than this are not reused, since
/// servers close idle connections after a few seconds.
constexpr kernel::Millis kMaxIdleTime{2'000};
constexpr std::size_t kMaxPerAddress = 4;

}  // namespace

HttpConnectionPtr ConnectionCache::Take(const std::string& address,
                                        kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->idle.find(address);
  if (found == this->idle.end()) return nullptr;
  auto& connections = found->second;
  connections.erase(std::remove_if(connections.begin(), connections.end(),
                                   [now](const Idle& entry) {
                                     return now - entry.since > kMaxIdleTime;
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
