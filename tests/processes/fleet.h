#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http/i_http_runtime.h"

namespace banyanlane::processes {

/// An answer as it comes in.
class ResponseRecorder : public http::IHttpCallObserver {
 public:
  void OnHead(int status, const http::Headers& headers) override;
  void OnData(std::string_view data) override;
  void OnEnd() override;
  void OnFailed(const kernel::Error& error, http::SendState state) override;

  int status() const;
  std::string text() const;
  std::string header(std::string_view name) const;
  bool complete() const;
  bool finished() const;  ///< Whole or failed.

 private:
  mutable std::mutex mutex;
  int head_status = 0;
  http::Headers headers;
  std::string body;
  bool ended = false;
  bool failed = false;
};

/// Real processes of one test: stand-ins, entries and agents on a loopback
/// address of their own.
class Fleet {
 public:
  Fleet();
  ~Fleet();

  /// Starts a platform, and publishes `config` as its first revision.
  void StartPlatform(const std::string& config);
  /// Starts an endpoint stand-in ("engine" or "service") with its agent.
  /// @param relayed puts a relay between entries and agent: process
  /// "relay-NAME".
  void AddEndpoint(const std::string& name, const std::string& kind,
                   const std::string& service, bool relayed = false,
                   const std::string& agent_settings = "");
  /// Puts a process between its users and `to` that can swallow open
  /// connections. @return where.
  std::string AddRelay(const std::string& name, const std::string& to);
  /// Entries added from now on read the platform through "relay-platform".
  void AddPlatformRelay();
  void StartStandin(const std::string& name);
  void StartAgent(const std::string& name);
  void AddEntry(const std::string& name,
                const std::string& entry_settings = "");
  void StartEntry(const std::string& name);
  void PublishInstances();
  void SetState(const std::string& name, const std::string& state);
  /// Publishes at the platform; `version` 0 takes the next.
  void Publish(const std::string& config, std::uint64_t version = 0);
  void SetPlatformMode(const std::string& mode);

  void Signal(const std::string& name, int signal);
  /// Kills a process and waits until it is gone.
  void Kill(const std::string& name);
  /// Waits for the end of a process. @return its exit status, or -1 if a signal
  /// ended it.
  int WaitForExit(const std::string& name);
  pid_t Pid(const std::string& name) const;
  bool IsRunning(const std::string& name);

  /// Sends to an entry and waits for the answer.
  http::HttpResponse SendRequest(const std::string& entry,
                                 http::HttpRequest request);
  /// Sends these bytes to an entry and returns all that comes back until it
  /// closes.
  std::string SendRaw(const std::string& entry, const std::string& bytes);
  /// Sends to an entry; the answer comes in meanwhile.
  std::shared_ptr<ResponseRecorder> StartRequest(const std::string& entry,
                                                 http::HttpRequest request);
  std::string Address(const std::string& name) const {
    return this->addresses.at(name);
  }
  /// Returns a page of a process's admin or control interface.
  std::string FetchPage(const std::string& address, const std::string& target);
  std::string AdminPage(const std::string& name, const std::string& target);
  /// Returns what a process has logged.
  std::string ReadLog(const std::string& name) const;
  std::string Executions(const std::string& endpoint);

  /// Waits until `entry` can route to `service` endpoints: `count` of them.
  void AwaitEndpoints(const std::string& entry, int count);
  /// Waits until `condition` holds. @return false when it did not in a time far
  /// beyond any bound.
  static bool Await(const std::function<bool()>& condition);

  static http::HttpRequest ChatRequest(const std::string& message, int tokens,
                                       bool stream);
  static http::HttpRequest CloseRequest(const std::string& key,
                                        const std::string& body);

  /// Links are secured from now on: makes an authority, and certificates for
  /// the nodes added.
  void SecureLinks();
  /// Gives `name` a certificate of `authority` that names `common_name`.
  void IssueCertificate(const std::string& name, const std::string& common_name,
                        const std::string& authority = "authority");

  int heartbeat_millis = 1'000;  ///< Of the links of nodes added from now on.
  int token_millis = 5;  ///< Between tokens of the engines started from now on.

 private:
  void MakeAuthority(const std::string& authority);
  std::string FilePath(const std::string& file) const {
    return this->directory + "/" + file;
  }
  std::string TlsSettings(const std::string& name);
  std::string AllocateAddress(const std::string& name);
  void Spawn(const std::string& name, std::vector<std::string> command_line);
  std::string WriteSettings(const std::string& name, const std::string& text);

  std::string ip;
  std::string directory;
  int next_port = 7000;
  bool secured = false;
  std::string platform_address;  ///< Where entries read it.
  std::map<std::string, std::string> addresses;
  std::map<std::string, pid_t> pids;
  std::map<std::string, std::string> kinds;
  std::map<std::string, std::string>
      instances;  ///< JSON of each listed instance.
  std::map<std::string, std::string> states;
  std::shared_ptr<http::IHttpRuntime> runtime;
};

}  // namespace banyanlane::processes
