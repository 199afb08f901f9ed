#include "agent/internal/stream_table.h"

namespace banyanlane::agent {

Stream& StreamTable::Add(std::unique_ptr<Stream> stream) {
  const std::string id = stream->work.request;
  this->stream_of_request[id] = id;
  return *(this->streams[id] = std::move(stream));
}

void StreamTable::AddAlias(const std::string& request, const std::string& id) {
  this->stream_of_request[request] = id;
}

Stream* StreamTable::Find(const std::string& id) const {
  const auto found = this->streams.find(id);
  return found == this->streams.end() ? nullptr : found->second.get();
}

Stream* StreamTable::FindByRequest(const std::string& request) const {
  const auto found = this->stream_of_request.find(request);
  return found == this->stream_of_request.end() ? nullptr
                                                : this->Find(found->second);
}

void StreamTable::Erase(const std::string& id) {
  for (auto it = this->stream_of_request.begin();
       it != this->stream_of_request.end();) {
    it = it->second == id ? this->stream_of_request.erase(it) : std::next(it);
  }
  this->streams.erase(id);
}

std::vector<std::string> StreamTable::Ids(
    const std::function<bool(const Stream&)>& matches) const {
  std::vector<std::string> ids;
  for (const auto& [id, stream] : this->streams) {
    if (matches(*stream)) ids.push_back(id);
  }
  return ids;
}

}  // namespace banyanlane::agent
