#pragma once

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// Stand-ins of the platform, its servers and its callers for the cases of the
/// second review, and control of the project's processes. Everything listens on
/// loopback addresses.
namespace review {

/// Returns the seconds since the program began.
double Elapsed();
void SleepMillis(int millis);
/// Returns a loopback port that is free now, below the ports that the system
/// gives to connections, and another one with each call and in each process.
int FreePort();

/// Writes what was sent, answered and run to the record of the case, and to the
/// standard output.
class Record {
 public:
  static void Open(const std::string& path);
  static void Line(const std::string& text);
  /// Ignores all further lines.
  static void Close();
};

/// One HTTP message with its header names in lower case.
struct Message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Header(const std::string& name) const;
  /// Returns the second word of a request line, or the status.
  std::string Word(int index) const;
};

/// Connected socket with a receive buffer.
class Connection {
 public:
  explicit Connection(int socket) : socket(socket) {}
  ~Connection() { this->Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Connects to a loopback port.
  /// @return whether it succeeded.
  static int Connect(int port);

  bool Send(const std::string& bytes);
  /// Reads up to and including the line feed; "" at the end of the connection
  /// or after `timeout_ms`.
  std::string ReadLine(int timeout_ms);
  /// Reads until `count` bytes are there.
  bool ReadExactly(std::size_t count, std::string& bytes, int timeout_ms);
  /// Reads a request line or status line and the header.
  bool ReadHead(Message& message, int timeout_ms);
  /// Reads the body of a message whose head was read, with a length or in
  /// chunks. `partial` receives what arrived if it is not complete.
  bool ReadBody(Message& message, int timeout_ms);
  /// Returns what arrives within `timeout_ms`, at most `most` bytes.
  std::string ReadSome(std::size_t most, int timeout_ms);
  /// Returns whether the peer has closed the connection.
  bool IsClosedByPeer();
  void Close();
  /// Closes the connection with a reset.
  void Reset();
  void ShutDownSending();

 private:
  bool Fill(int timeout_ms);

  int socket;
  std::string buffer;
};

/// Listens on a loopback port and runs `serve` in a thread for each connection.
class Listener {
 public:
  using Serve = std::function<void(Connection&)>;
  Listener(int port, Serve serve);
  ~Listener();
  int port() const { return this->bound_port; }
  /// Closes the port, so that connections are refused.
  void Stop();

 private:
  int socket = -1;
  int bound_port = 0;
  std::atomic<bool> stopped{false};
  Serve serve;
  std::thread acceptor;
};

/// The platform's store.
class Store {
 public:
  Store();
  int port() const { return this->listener->port(); }
  /// Opens another port, whose callers can be turned away.
  int AddPort();
  /// Answers callers of the added port with 503.
  void TurnAway(bool turns_away) { this->is_turning_away = turns_away; }
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  /// Takes the copy from which Restore restores.
  void TakeCopy();
  /// Resets all calls until Restore.
  void GoAway();
  /// Answers again, from the copy, in the next era.
  void Restore();

 private:
  struct Event {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool deleted = false;
  };
  void Serve(Connection& connection, bool can_be_turned_away);
  static std::string Describe(const Event& event);

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Event> items;
  std::vector<Event> history;
  std::uint64_t revision = 1;
  std::map<std::string, Event> copied_items;
  std::vector<Event> copied_history;
  std::uint64_t copied_revision = 1;
  std::uint64_t era = 1;
  bool is_away = false;
  std::atomic<bool> is_turning_away{false};
  std::unique_ptr<Listener> listener;
  std::unique_ptr<Listener> added_listener;
};

/// Server of a service. Requests for another id get 421.
class Server {
 public:
  /// Called for each request that the server accepts, after its body was read.
  /// Calls of a rank agent are answered as by an idle rank of a group.
  using Handler = std::function<void(Server&, Connection&, const Message&)>;
  Server(Store& store, std::string id, std::string service, Handler handler);

  const std::string& id() const { return this->name; }
  int port() const { return this->listener->port(); }
  /// Returns the header fields of an answer to `request`, each with its end of
  /// line.
  std::string AnswerFields(const Message& request) const;
  /// Sends a complete answer with a length.
  void Answer(Connection& connection, const Message& request, int status,
              const std::string& body) const;
  void Register(const std::string& state);
  void Unregister();

 private:
  void Serve(Connection& connection);

  Store& store;
  std::string name;
  std::string service;
  Handler handler;
  std::int64_t born;
  int sequence = 0;
  std::unique_ptr<Listener> listener;
};

/// A rank agent, started as the deploy file says, with settings made from its
/// template.
class RankAgent {
 public:
  /// @param seeds ports of the links of the gateways to connect to.
  RankAgent(const std::string& name, int store_port, const Server& engine,
            const std::vector<int>& seeds);
  ~RankAgent();

 private:
  pid_t pid = 0;
};

/// A gateway, started as the deploy file says, with settings made from its
/// template.
class Gateway {
 public:
  /// @param seeds ports of the links of the gateways to connect to.
  Gateway(std::string name, int store_port, int link_port,
          const std::vector<int>& seeds);
  ~Gateway();
  void Start();
  bool AwaitReady();
  void Signal(int signal);
  /// Waits for the end of the process.
  /// @return the status, or -1 after `timeout_ms`.
  int AwaitExit(int timeout_ms);
  bool IsRunning();
  int front() const { return this->front_port; }
  const std::string& name() const { return this->node; }

 private:
  std::string node;
  std::string settings_path;
  int front_port;
  int ready_port;
  pid_t pid = 0;
};

/// Route of the operator's configuration.
struct Route {
  std::string name;
  std::string path;
  std::string type;
  std::string service;
  int timeout_ms = 5'000;
  int attempts = 1;
  bool resumable = false;
};

/// Returns the operator's configuration.
std::string Configuration(int version, const std::vector<Route>& routes,
                          const std::vector<std::string>& services,
                          const std::vector<std::string>& api_keys = {});

/// Returns a request with a body of known length.
std::string Request(const std::string& method, const std::string& path,
                    const std::string& id, int deadline_ms,
                    const std::string& more_headers = "",
                    const std::string& body = "");

/// Returns `value` of the environment variable, or `fallback`.
std::string Environment(const char* name, const std::string& fallback);
/// Kills the processes that were started, and ends this one with `status`.
/// Threads of the stand-ins may still run, so that nothing is destroyed.
[[noreturn]] void Finish(int status);
/// Returns whether the case runs with its disruption.
bool HasTrouble();

}  // namespace review
