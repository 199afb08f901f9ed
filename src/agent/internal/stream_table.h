#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "agent/internal/stream.h"

namespace banyanlane::agent {

/// The streams of an agent, by their own name and by the requests that read
/// them.
class StreamTable {
 public:
  /// Adds `stream` under the request that it began with.
  Stream& Add(std::unique_ptr<Stream> stream);

  /// Lets `request` also name the stream `id`.
  void AddAlias(const std::string& request, const std::string& id);

  /// Returns the stream called `id`, or null.
  Stream* Find(const std::string& id) const;

  /// Returns the stream that `request` reads, or null.
  Stream* FindByRequest(const std::string& request) const;

  /// Removes the stream `id` with all requests that name it.
  void Erase(const std::string& id);

  /// Returns the names of the streams for which `matches` returns true. A name
  /// can be erased while the others are gone through.
  std::vector<std::string> Ids(
      const std::function<bool(const Stream&)>& matches) const;

  std::size_t Size() const { return this->streams.size(); }

 private:
  std::unordered_map<std::string, std::unique_ptr<Stream>> streams;
  std::unordered_map<std::string, std::string> stream_of_request;
};

}  // namespace banyanlane::agent
