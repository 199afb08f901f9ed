#pragma once

#include <optional>
#include <string>

#include "kernel/time.h"

namespace banyanlane::processes {

/// One request on a kept connection, and what the caller received for it.
struct CallerRecord {
  std::string id;
  int status = 0;  ///< 0 if no response head arrived.
  /// Whether the whole response arrived.
  bool is_complete = false;
  kernel::TimePoint sent_at;   ///< When the last byte was sent.
  kernel::TimePoint ended_at;  ///< End of the response or of the connection.
};

/// Caller that keeps one connection open and sends any bytes on it.
class KeptCaller {
 public:
  /// Connects to `address`, an "IP:PORT".
  explicit KeptCaller(const std::string& address);
  ~KeptCaller();
  KeptCaller(const KeptCaller&) = delete;
  KeptCaller& operator=(const KeptCaller&) = delete;

  /// Returns whether the connection can be used for another request.
  bool IsOpen() const { return this->is_open; }
  void Send(const std::string& bytes);
  /// Receives the next response.
  /// @param id id of its request.
  /// @param sent_at when the last byte of the request was sent.
  CallerRecord Receive(const std::string& id, kernel::TimePoint sent_at);

 private:
  /// Receives more bytes. Closes the connection at its end.
  bool ReceiveMore();
  /// Receives until `mark` has arrived at or after `from`.
  /// @return the position after it, or nothing at the end of the connection.
  std::optional<std::size_t> ReceiveMark(const std::string& mark,
                                         std::size_t from);
  /// Receives the body that follows a head.
  /// @return whether it is complete.
  bool ReceiveBody(const std::string& head);

  int descriptor;
  bool is_open = false;
  std::string received;  ///< Bytes that belong to no finished response.
};

/// Returns a POST request with the test's host.
/// @param fields further header lines, each with its line end.
std::string MakeRequest(const std::string& path, const std::string& id,
                        const std::string& fields, const std::string& body);

}  // namespace banyanlane::processes
