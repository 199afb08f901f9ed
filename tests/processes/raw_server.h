#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace banyanlane::processes {

/// Connection of a RawServer, on which any bytes can be sent.
class RawConnection {
 public:
  explicit RawConnection(int descriptor) : descriptor(descriptor) {}
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  /// Reads the head of the next request, and its body, which has a length.
  /// @return the head, or "" if the peer closed the connection.
  std::string ReadRequest();
  void Send(const std::string& bytes) const;
  /// Sends nothing more. The peer receives all that was sent before.
  void EndSending() const;
  /// Ends sending and receiving.
  void Shutdown() const;
  /// Lets the connection be reset instead of ended when it is destroyed.
  void ResetOnClose() const;

  /// Returns the value of a header field, whose name is in lower case, or "".
  static std::string FieldOf(const std::string& head, const std::string& name);

 private:
  int descriptor;
  std::string received;  ///< Bytes that belong to later requests.
};

/// Opens a listening socket.
/// @param address "IP:PORT"; port 0 selects a free port.
/// @param bound receives the address with the port that was selected.
/// @return its descriptor.
int ListenAt(const std::string& address, std::string& bound);

/// Server that sends what its tests prescribe, byte by byte.
class RawServer {
 public:
  /// Serves one connection. Runs on a thread of its own.
  using Serve = std::function<void(RawConnection&)>;

  /// @param address "IP:PORT" to listen at.
  RawServer(const std::string& address, Serve serve);
  /// Waits until all connections are served.
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

 private:
  void Accept();

  Serve serve;
  int listener = -1;
  std::atomic<bool> stopping{false};
  std::thread acceptor;
  std::mutex mutex;
  std::vector<std::thread> threads;
  std::vector<std::shared_ptr<RawConnection>> connections;
};

}  // namespace banyanlane::processes
