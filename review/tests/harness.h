#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Headers = std::map<std::string, std::string>;

/// Exit statuses of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// Returns the seconds since the start of the process.
double Seconds();
void SleepUntil(double seconds);

/// Writes lines with times to record.txt and to the standard output.
class Record {
 public:
  explicit Record(const std::string& path) : file(path) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex;
  std::ofstream file;
};

/// Loopback listener that runs a function for each connection.
class Listener {
 public:
  using Handler = std::function<void(int socket)>;

  /// @param port port to listen on, or 0 for a free one.
  explicit Listener(Handler handler, std::uint16_t port = 0);
  ~Listener();
  std::uint16_t port() const { return this->bound_port; }
  std::string Address() const;

 private:
  int socket = -1;
  std::uint16_t bound_port = 0;
  Handler handler;
  std::thread thread;
};

/// Returns a loopback address that nothing listens on.
std::string FreeAddress();

/// Reads and writes HTTP/1.1 messages on a socket. Owns the socket.
class Connection {
 public:
  explicit Connection(int socket) : socket(socket) {}
  ~Connection() { this->Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Connects to `address`, or returns null.
  static std::unique_ptr<Connection> Open(const std::string& address);

  /// Sets the longest time that a read waits.
  void SetReadTimeout(int timeout_ms);
  bool Write(const std::string& bytes);
  /// Reads a line without its line end. Returns nothing at the end of the
  /// connection.
  std::optional<std::string> ReadLine();
  std::optional<std::string> ReadBytes(std::size_t count);
  /// Reads the start line and the header fields, whose names become lower case.
  bool ReadHead(std::string& start_line, Headers& headers);
  /// Returns whether the peer has closed the connection.
  bool PeerHasClosed();
  void Close();

 private:
  bool Fill();

  int socket;
  std::string buffer;
};

struct Request {
  std::string method = "GET";
  std::string target = "/";
  Headers headers;
  std::string body;
};

struct Response {
  int status = 0;  ///< 0 if no head has arrived.
  Headers headers;
  std::string body;
  bool complete = false;
  double ended_at = 0;
};

/// Sends `request` and reads the response.
Response Exchange(Connection& connection, const Request& request);
/// Does the same on a new connection.
Response Fetch(const std::string& address, const Request& request);

/// The platform's store, with the calls that the system makes.
class Store {
 public:
  Store();
  std::string Address() const { return this->listener->Address(); }
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  /// Keeps a copy of the present state.
  void SaveCopy();
  /// Returns from the copy, in the next era.
  void RestoreCopy();
  /// While down, the store answers all calls with 503.
  void SetDown(bool down);

 private:
  struct Event {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool deleted = false;
  };
  struct State {
    std::map<std::string, Event> items;
    std::vector<Event> history;
    std::uint64_t revision = 1;
  };

  void Serve(int socket);
  std::string Range(const std::string& prefix);
  /// Waits for events, and returns status and body.
  std::pair<int, std::string> Watch(const std::string& prefix,
                                    std::uint64_t after, int wait_ms);
  void Change(const std::string& key, const std::string& value, bool deleted);

  std::mutex mutex;
  std::condition_variable changed;
  State state;
  State copy;
  std::uint64_t era = 1;
  bool down = false;
  std::unique_ptr<Listener> listener;
};

/// One run of a request at a server.
struct Run {
  std::string server;
  std::string request_id;
  std::string target;
  Headers headers;
  double began_at = 0;
  double ended_at = 0;
  bool complete = false;  ///< The server has sent its whole response.
};

/// All runs at all servers of a case.
class RunLog {
 public:
  std::size_t Begin(const Run& run);
  void End(std::size_t index, bool complete);
  std::vector<Run> All();
  std::vector<Run> Of(const std::string& request_id);

 private:
  std::mutex mutex;
  std::vector<Run> runs;
};

/// A sound server. The header `x-work` of a request, which any client may send,
/// holds the milliseconds that it works: on a path that begins with /stream/ as
/// EVENTS*PAUSE, an event after each pause.
class Server {
 public:
  Server(std::string id, std::string service, Store& store, RunLog& runs);
  ~Server();
  std::string Address() const { return this->listener->Address(); }
  const std::string& Id() const { return this->id; }

 private:
  void Serve(int socket);
  void Answer(Connection& connection, const Request& request);
  void WriteEntry();

  std::string id;
  std::string service;
  Store& store;
  RunLog& runs;
  std::uint64_t sequence = 0;
  std::int64_t born;
  std::atomic<bool> stopped{false};
  std::unique_ptr<Listener> listener;
  std::thread heartbeat;
};

/// A gateway process, started as the deploy file says.
class Gateway {
 public:
  /// @param root folder of the checkout.
  /// @param folder folder for its settings and log.
  Gateway(std::string root, std::string folder, std::string name,
          const std::string& store_address,
          const std::vector<std::string>& seeds);
  ~Gateway();

  void Start();
  void Signal(int number) const;
  /// Writes the settings file again, with another list of seeds.
  void ChangeSettings(const std::vector<std::string>& seeds);
  bool HasExited();
  /// Sets the number of descriptors that the platform allows the process.
  void SetDescriptorLimit(int descriptors) {
    this->max_descriptors = descriptors;
  }
  /// Returns the number of descriptors that the process has open.
  int OpenDescriptors() const;
  /// Returns the resident memory of the process in KB, or 0.
  long MemoryKb() const;
  /// Returns how the process ended, in words.
  std::string ExitText() const { return this->exit_text; }
  /// Waits until it counts as ready.
  bool AwaitReady(double timeout_s);

  const std::string& Frontend() const { return this->frontend; }
  const std::string& Directory() const { return this->directory; }
  const std::string& LinkAddress() const { return this->control_plane; }

 private:
  std::string root;
  std::string folder;
  std::string name;
  std::string store_address;
  std::vector<std::string> seeds;
  std::string frontend;
  std::string ready;
  std::string directory;
  std::string control_plane;
  std::string admin;
  int max_descriptors = 0;
  pid_t pid = 0;
  std::string exit_text;
};

/// A route of the operator's configuration.
struct Route {
  std::string name;
  std::string path_prefix;
  std::string type;
  std::string service;
  int timeout_ms = 8'000;
  int max_attempts = 2;
  bool resumable = false;
};

/// Host of all routes.
extern const char kHost[];

/// Returns a configuration as the operator writes it.
/// @param keys API keys and the names of their tenants; empty for no tenants.
std::string ConfigText(int version, const std::vector<Route>& routes,
                       const std::map<std::string, std::string>& keys = {});

/// Returns a request with the header fields that clients send.
Request MakeRequest(const std::string& method, const std::string& target,
                    const std::string& id, int deadline_ms,
                    const std::string& work, const std::string& key = "");

/// Returns whether the case runs with its disruption, which TROUBLE=0 omits.
bool HasTrouble();

/// Paths that run.sh passes to a case.
struct Paths {
  std::string root;    ///< Folder of the checkout.
  std::string folder;  ///< Temporary folder.
  std::string record;  ///< Path of record.txt.
};
Paths ReadPaths(int argc, char** argv);

}  // namespace review
