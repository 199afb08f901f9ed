#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http/i_http_runtime.h"

namespace banyanlane::processes {

/// Records a response while it is received. Thread-safe.
class ResponseRecorder : public http::IHttpCallObserver {
 public:
  void OnHead(int status, const http::Headers& headers) override;
  void OnData(std::string_view data) override;
  void OnEnd() override;
  void OnFailed(const kernel::Error& error, http::SendState state) override;

  /// Returns the status code, or 0 before the response head.
  int status() const;
  /// Returns the body bytes received so far.
  std::string text() const;
  std::string header(std::string_view name) const;
  /// Returns whether the response ended normally.
  bool complete() const;
  /// Returns whether the response is complete or has failed.
  bool finished() const;
  /// Returns when the response was complete or failed.
  kernel::TimePoint ended_at() const;

 private:
  mutable std::mutex mutex;
  int head_status = 0;
  http::Headers headers;
  std::string body;
  bool ended = false;
  bool failed = false;
  kernel::TimePoint end;
};

/// Processes of one test: stand-ins, entries and agents. They listen on a
/// loopback address that no other test uses, and end with the test.
class Fleet {
 public:
  Fleet();
  ~Fleet();

  /// Starts the platform stand-in and publishes `config` as its first revision.
  void StartPlatform(const std::string& config);
  /// Starts the agent `name` and its endpoint, which is the stand-in process
  /// "standin-NAME".
  /// @param kind "engine" or "service", or "none" to start the agent without an
  /// endpoint.
  /// @param relayed whether entries reach the agent through a relay, which is
  /// then started as "relay-NAME".
  /// @param agent_settings lines for the [agent] section of the settings file.
  void AddEndpoint(const std::string& name, const std::string& kind,
                   const std::string& service, bool relayed = false,
                   const std::string& agent_settings = "");
  /// Starts a relay that forwards connections to `to`. SIGUSR1 makes it stop
  /// forwarding on the connections open at that time, without closing them.
  /// @return the address at which the relay listens.
  std::string AddRelay(const std::string& name, const std::string& to);
  /// Starts the relay "relay-platform" in front of the platform.
  void AddPlatformRelay();
  /// Starts the endpoint stand-in of the agent `name`.
  void StartStandin(const std::string& name);
  /// Starts the process of an agent that AddEndpoint has set up.
  void StartAgent(const std::string& name);
  /// Starts an entry, whose seed addresses are those of the agents added
  /// before.
  /// @param entry_settings lines for the [entry] section of the settings file.
  void AddEntry(const std::string& name,
                const std::string& entry_settings = "");
  /// Starts the process of an entry that AddEntry has set up.
  void StartEntry(const std::string& name);
  /// Publishes the instance list of all entries and agents at the platform.
  void PublishInstances();
  /// Sets the state of an instance and publishes the instance list.
  void SetState(const std::string& name, const std::string& state);
  /// Publishes a configuration at the platform.
  /// @param version its revision; 0 means one more than the last.
  void Publish(const std::string& config, std::uint64_t version = 0);
  /// @param mode "ok", or "down" to make the platform respond with errors.
  void SetPlatformMode(const std::string& mode);

  void Signal(const std::string& name, int signal);
  /// Kills a process and waits for its end.
  void Kill(const std::string& name);
  /// Waits for the end of a process.
  /// @return its exit status, or -1 if a signal ended it.
  int WaitForExit(const std::string& name);
  pid_t Pid(const std::string& name) const;
  bool IsRunning(const std::string& name);

  /// Sends a request to an entry and waits for the response.
  /// @return the response; its status is 0 and its body the error when there
  /// was none.
  http::HttpResponse SendRequest(const std::string& entry,
                                 http::HttpRequest request);
  /// Sends `bytes` to an entry on a new connection.
  /// @return all bytes received until the entry closes the connection.
  std::string SendRaw(const std::string& entry, const std::string& bytes);
  /// Sends a request to an entry and returns without waiting for the response.
  std::shared_ptr<ResponseRecorder> StartRequest(const std::string& entry,
                                                 http::HttpRequest request);
  std::string Address(const std::string& name) const {
    return this->addresses.at(name);
  }
  /// Returns the body of a GET of `target`, or "" when the request failed.
  std::string FetchPage(const std::string& address, const std::string& target);
  /// Returns a page of the admin interface of an entry or agent.
  std::string AdminPage(const std::string& name, const std::string& target);
  /// Returns all output of a process.
  std::string ReadLog(const std::string& name) const;
  /// Returns the execution counts of a service stand-in as JSON.
  /// @param endpoint name of the stand-in's agent.
  std::string Executions(const std::string& endpoint);

  /// Waits until `entry` has a configuration and exactly `count` endpoints that
  /// are up and not leaving. Throws std::runtime_error on a time-out.
  void AwaitEndpoints(const std::string& entry, int count);
  /// Waits until `condition` holds.
  /// @return false if it did not hold within 30 s, which is far longer than any
  /// correct run takes.
  static bool Await(const std::function<bool()>& condition);

  static http::HttpRequest ChatRequest(const std::string& message, int tokens,
                                       bool stream);
  static http::HttpRequest CloseRequest(const std::string& key,
                                        const std::string& body);

  /// Makes a certificate authority and enables TLS on the links of all nodes
  /// added later, each with a certificate in its own name.
  void SecureLinks();
  /// Issues a certificate for the node `name`, signed by `authority`, which is
  /// made if it does not exist.
  /// @param common_name node name in the certificate.
  void IssueCertificate(const std::string& name, const std::string& common_name,
                        const std::string& authority = "authority");

  /// Lets nobody read the output of processes that are started later, so that
  /// they can't write to it.
  void BlockOutput();

  /// Heartbeat interval of the links of nodes added later.
  int heartbeat_millis = 1'000;
  /// Time between two tokens of the engines started later.
  int token_millis = 5;
  /// Whether requests are sent on connections that earlier ones have left open.
  bool reuse_connections = false;

 protected:
  /// Allocates a port and stores the address under `name`.
  std::string AllocateAddress(const std::string& name);
  void Spawn(const std::string& name, std::vector<std::string> command_line);
  /// Sends a request to an entry, for `response` to receive.
  std::shared_ptr<http::IHttpCall> StartCall(
      const std::string& entry, http::HttpRequest request,
      const std::shared_ptr<ResponseRecorder>& response);
  /// Writes the settings file of a node: the sections that all nodes have,
  /// ending with [link], and then `text`.
  /// @return the path of the file.
  std::string WriteSettings(const std::string& name, const std::string& text);
  std::string SettingsPath(const std::string& name) const {
    return this->FilePath(name + ".ini");
  }

 private:
  void MakeAuthority(const std::string& authority);
  std::string FilePath(const std::string& file) const {
    return this->directory + "/" + file;
  }
  std::string TlsSettings(const std::string& name);

  std::string ip;
  std::string directory;
  int next_port = 7000;
  /// Full pipe for the output of processes, or -1 for a file each.
  int blocked_output = -1;
  bool secured = false;
  std::string platform_address;  ///< Address of the platform or its relay.
  std::map<std::string, std::string> addresses;
  std::map<std::string, pid_t> pids;
  /// Kind of endpoint stand-in by agent.
  std::map<std::string, std::string> kinds;
  /// JSON fields of each instance in the instance list.
  std::map<std::string, std::string> instances;
  std::map<std::string, std::string> states;
  std::shared_ptr<http::IHttpRuntime> runtime;
};

}  // namespace banyanlane::processes
