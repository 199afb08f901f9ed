#pragma once

#include <map>
#include <string>
#include <vector>

#include "processes/fleet.h"

namespace banyanlane::processes {

/// Number of requests that a server serves at a time, if nothing else is set.
inline constexpr int kSlots = 8;

/// Gateways that call servers directly, with stand-ins of the store and of the
/// servers.
class GatewayFleet : public Fleet {
 public:
  /// Starts the store, servers and gateways, and waits until each gateway
  /// serves requests and lists all servers.
  void StartAll(const std::vector<std::string>& servers,
                const std::vector<std::string>& gateways);
  /// Starts the store without items.
  void StartStore();
  /// Writes an item of the store.
  /// @param value empty to delete the item.
  void Write(const std::string& key, const std::string& value);
  /// Sends a command without a body to the store, such as "copy".
  void CommandStore(const std::string& command, const std::string& body = "");
  /// Publishes a configuration with one route for plain requests and one for
  /// each path in `extra_paths`, and one for streams.
  void PublishRoutes(int version, const std::vector<std::string>& extra_paths);

  /// Starts a server and registers it in the store.
  void AddServer(const std::string& name);
  /// Registers a server that the test itself runs.
  /// @param slots number of requests that it serves at a time.
  /// @return the address at which it must listen.
  std::string AddOwnServer(const std::string& name, int slots = kSlots);
  /// Starts the process of a server that AddServer has set up.
  void StartServer(const std::string& name);
  /// Registers a server in the store.
  /// @param state state of the server in its entry, such as "ready".
  void Register(const std::string& name, const std::string& state,
                int slots = kSlots);

  /// Sets the longest wait of the watches of gateways that are added later.
  void SetWatchMillis(int millis) { this->watch_ms = millis; }
  /// Returns whether a gateway lists `server` in `state`, such as "leaving".
  bool ListsServer(const std::string& gateway, const std::string& server,
                   const std::string& state);
  /// Lets a server name a limit in its responses.
  /// @param per_second requests a second, or "" to end the limit.
  void NameLimit(const std::string& server, const std::string& per_second);
  /// Lets a server refuse all requests.
  /// @param retry_after value of Retry-After, or "" to accept requests again.
  /// @param proven whether refusals state that the request has not run.
  void Refuse(const std::string& server, const std::string& retry_after,
              bool proven = true);
  /// Lets a server say in its responses that it leaves, or no longer.
  void SetLeaving(const std::string& server, bool leaving);
  /// Returns the number of requests that reached a server since its start.
  int ArrivalCount(const std::string& server);
  /// Lets requests for `path` end a server until its process has ended.
  void CrashOn(const std::string& server, const std::string& path);
  /// Starts a gateway that is linked to those added before.
  void AddGateway(const std::string& name);
  /// Starts the process of a gateway that AddGateway has set up.
  void StartGateway(const std::string& name);
  /// Waits until a gateway serves a request under `path`.
  bool AwaitServed(const std::string& gateway, const std::string& path);

  /// Sends a request and waits for its response.
  /// @param headers header fields in addition to those of each request.
  http::HttpResponse Post(const std::string& gateway, const std::string& path,
                          const std::string& body,
                          const http::Headers& headers = {});
  /// Sends a request and returns without waiting for the response.
  std::shared_ptr<ResponseRecorder> StartPost(const std::string& gateway,
                                              const std::string& path,
                                              const std::string& body);
  /// Sends a request and closes the connection when the response has begun.
  void SendAndClose(const std::string& gateway, const std::string& path,
                    const std::string& body);
  /// Returns how many requests the server has begun to run since its start.
  int RunCount(const std::string& server);

  /// Lines of the settings files of gateways that are added later.
  std::string gateway_settings;

 private:
  http::HttpRequest MakePost(const std::string& path, const std::string& body,
                             const http::Headers& headers);

  std::string links;
  int watch_ms = 3'000;
  int sent_requests = 0;
  int writes = 0;
  /// Number that stands for the start time of each server.
  std::map<std::string, int> starts;
};

}  // namespace banyanlane::processes
