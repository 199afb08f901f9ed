#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace banyanlane::processes {

/// What each client of a crowd sends.
struct ClientScript {
  std::string opening;  ///< Sent once.
  /// Sent again and again after `opening`; nothing if it is empty.
  std::string repeated;
  /// Number of bytes after which a client sends nothing more.
  std::size_t max_bytes = 0;
  /// Whether a client whose connection was closed opens another one.
  bool reconnects = false;
};

/// Clients that send what their script says, and read nothing. Not thread-safe.
class ClientCrowd {
 public:
  /// Opens `count` connections to `address`, an "IP:PORT".
  ClientCrowd(std::string address, std::size_t count, ClientScript script);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  /// Sends what the connections take at once.
  void SendSome();

 private:
  struct Client {
    int descriptor = -1;
    std::size_t sent = 0;
  };

  void Open(Client& client) const;
  /// Sends the next part of the script.
  /// @return false if nothing is left or the connection takes nothing.
  bool SendPart(Client& client) const;

  std::string address;
  ClientScript script;
  std::vector<Client> clients;
};

}  // namespace banyanlane::processes
