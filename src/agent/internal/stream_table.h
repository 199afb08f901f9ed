#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "agent/internal/stream.h"

namespace banyanlane::agent {

/// Streams of an agent, by their id and by the ids of the requests that
/// subscribe to them.
class StreamTable {
 public:
  /// Adds `stream`. Its id is that of the request that created it.
  Stream& Add(std::unique_ptr<Stream> stream);

  /// Registers `request` as a further subscriber of the stream `id`.
  void AddAlias(const std::string& request, const std::string& id);

  /// Returns the stream with `id`, or null.
  Stream* Find(const std::string& id) const;

  /// Returns the stream that `request` subscribes to, or null.
  Stream* FindByRequest(const std::string& request) const;

  /// Removes the stream `id` and the registrations of its subscribers.
  void Erase(const std::string& id);

  /// Returns the ids of the streams for which `matches` returns true. Streams
  /// can be erased while the caller iterates over the returned ids.
  std::vector<std::string> Ids(
      const std::function<bool(const Stream&)>& matches) const;

  std::size_t Size() const { return this->streams.size(); }

 private:
  std::unordered_map<std::string, std::unique_ptr<Stream>> streams;
  std::unordered_map<std::string, std::string> stream_of_request;
};

}  // namespace banyanlane::agent
