#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "processes/cut_server.h"
#include "processes/fleet.h"

namespace banyanlane::processes {

/// Response of a server as it is when nothing cuts it.
struct WholeResponse {
  const char* name;
  std::string head;  ///< All up to the body, with interim responses.
  std::string body;  ///< As it is sent.
  std::string text;  ///< As callers receive it.
  /// Whether the end of the connection ends the response.
  bool ends_with_connection = false;
};

/// Response that is cut, and what the caller receives.
struct Cut {
  WholeResponse whole;
  std::size_t sent = 0;  ///< Number of bytes.
  CloseKind close = CloseKind::kEnd;
  std::string id;
  std::shared_ptr<ResponseRecorder> received;
};

/// Returns the cuts of a response after each of its bytes, with each kind of
/// close.
std::vector<Cut> AllCutsOf(const WholeResponse& whole);

/// Returns a text for messages of tests.
std::string Describe(const Cut& cut);

/// Returns what callers may take for the whole body, or nothing if the response
/// must not be taken for complete.
std::optional<std::string> CompleteText(const Cut& cut);

/// Cut responses of a server, by the ids of their requests. Thread-safe.
class CutPlan {
 public:
  /// Returns an id that no other request has.
  std::string NextId();
  void Set(const std::string& id, CutResponse response);
  /// Returns the response to the request `id`, or nothing if none is set.
  std::optional<CutResponse> Take(const std::string& id);
  /// Returns how often the request `id` reached the server.
  int Runs(const std::string& id);

 private:
  std::mutex mutex;
  int ids = 0;
  std::map<std::string, CutResponse> responses;
  std::map<std::string, int> runs;
};

/// Sends a request without waiting for its response.
using SendRequest =
    std::function<std::shared_ptr<ResponseRecorder>(const std::string& id)>;

/// Requests all of `cuts` at once, and again those that do not reach the
/// server, and waits for their responses. Each request has an id of its own.
void RequestAll(CutPlan& plan, const SendRequest& send, std::vector<Cut>& cuts);

}  // namespace banyanlane::processes
