#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "processes/raw_server.h"

namespace banyanlane::processes {

/// How a CutServer closes a connection.
enum class CloseKind {
  kEnd,            ///< Directly after the last byte.
  kEndAfterPause,  ///< After pauses in the middle of the bytes and after them.
  kReset,
};

inline constexpr CloseKind kCloseKinds[] = {
    CloseKind::kEnd, CloseKind::kEndAfterPause, CloseKind::kReset};

/// Returns the name of `close` for messages of tests.
const char* NameOf(CloseKind close);

/// Response to one request, or its first bytes.
struct CutResponse {
  std::string bytes;  ///< All that is sent.
  CloseKind close = CloseKind::kEnd;
  /// Whether further requests are read from the connection.
  bool stays_open = false;
};

/// Server that stops within its responses. It serves one connection at a time.
class CutServer {
 public:
  /// Returns the response to a request.
  /// @param head the request without its body.
  /// @param index number of requests that arrived on the connection before.
  using Respond =
      std::function<CutResponse(const std::string& head, int index)>;

  /// @param address "IP:PORT" to listen at; port 0 selects a free port.
  CutServer(const std::string& address, Respond respond);
  ~CutServer();
  CutServer(const CutServer&) = delete;
  CutServer& operator=(const CutServer&) = delete;

  /// Returns the address that the server listens at.
  const std::string& address() const { return this->bound_address; }

 private:
  void Accept();
  void Serve(RawConnection& connection);

  Respond respond;
  int listener = -1;
  std::string bound_address;
  std::atomic<bool> stopping{false};
  std::mutex mutex;
  std::shared_ptr<RawConnection> current;  ///< Connection that is served.
  std::thread thread;  ///< Last, since it uses the other members.
};

}  // namespace banyanlane::processes
