#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;

const Clock::time_point kBegan = Clock::now();
std::ofstream record_file;
bool is_record_closed = false;
std::vector<pid_t> started;
std::mutex record_mutex;

constexpr int kHeadTimeout = 30'000;

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string Trim(const std::string& text) {
  const auto begin = text.find_first_not_of(" \t\r\n");
  if (begin == std::string::npos) return "";
  return text.substr(begin, text.find_last_not_of(" \t\r\n") - begin + 1);
}

std::string Base64(const std::string& bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const std::size_t left = std::min<std::size_t>(3, bytes.size() - i);
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8U |
              (j < left ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += j <= left ? kDigits[group >> (18 - 6 * j) & 63U] : '=';
    }
  }
  return text;
}

std::string QueryOf(const std::string& target, const std::string& name) {
  const auto start = target.find('?');
  if (start == std::string::npos) return "";
  std::istringstream parts(target.substr(start + 1));
  for (std::string part; std::getline(parts, part, '&');) {
    if (part.compare(0, name.size() + 1, name + "=") == 0)
      return part.substr(name.size() + 1);
  }
  return "";
}

std::string Decoded(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%' || i + 2 >= text.size()) {
      decoded += text[i];
      continue;
    }
    decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
    i += 2;
  }
  return decoded;
}

void ReplaceAll(std::string& text, const std::string& from,
                const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size()))
    text.replace(at, from.size(), to);
}

std::string Loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

sockaddr_in AddressOf(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::string JoinedAddresses(const std::vector<int>& ports) {
  std::string list;
  for (const int port : ports)
    list += (list.empty() ? "" : ",") + Loopback(port);
  return list;
}

/// Writes settings from the template of `role`.
/// @return the path of the file.
std::string WriteSettings(
    const std::string& name, const std::string& role,
    const std::vector<std::pair<std::string, std::string>>& fields) {
  std::ifstream file(Environment("PROJECT", ".") + "/deploy/" + role + ".ini");
  std::stringstream text;
  text << file.rdbuf();
  std::string settings = text.str();
  ReplaceAll(settings, "{{nodeName}}", name);
  ReplaceAll(settings, "{{zone}}", "z-a");
  for (const auto& [field, value] : fields) ReplaceAll(settings, field, value);
  const std::string path =
      Environment("CASE_TMP", "/tmp") + "/" + name + ".ini";
  std::ofstream(path) << settings;
  return path;
}

/// Starts a role of the project's program, which ends with this process.
pid_t StartProcess(const std::string& name, const std::string& role,
                   const std::string& settings_path) {
  const std::string program =
      Environment("PROJECT", ".") + "/target/banyanlane";
  const std::string settings = "--settings=" + settings_path;
  const std::string log_path =
      Environment("CASE_TMP", "/tmp") + "/" + name + ".log";
  const pid_t pid = ::fork();
  if (pid != 0) {
    started.push_back(pid);
    return pid;
  }
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(log, 1);
  ::dup2(log, 2);
  ::execl(program.c_str(), program.c_str(), role.c_str(), settings.c_str(),
          nullptr);
  ::_exit(127);
}

}  // namespace

double Elapsed() {
  return std::chrono::duration<double>(Clock::now() - kBegan).count();
}

void SleepMillis(int millis) {
  std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

int FreePort() {
  constexpr int kFirst = 12'000;
  constexpr int kCount = 20'000;
  constexpr int kPerProcess = 40;
  static int used = 0;
  while (true) {
    const int port =
        kFirst + (static_cast<int>(::getpid()) * kPerProcess + used++) % kCount;
    const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = AddressOf(port);
    const bool is_free =
        ::bind(probe, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) == 0;
    ::close(probe);
    if (is_free) return port;
  }
}

void Record::Open(const std::string& path) { record_file.open(path); }

void Record::Line(const std::string& text) {
  const std::lock_guard<std::mutex> lock(record_mutex);
  if (is_record_closed) return;
  char stamp[32];
  std::snprintf(stamp, sizeof(stamp), "%8.3f ", Elapsed());
  record_file << stamp << text << std::endl;
  std::cout << stamp << text << std::endl;
}

void Record::Close() {
  const std::lock_guard<std::mutex> lock(record_mutex);
  is_record_closed = true;
}

std::string Message::Header(const std::string& name) const {
  for (const auto& [key, value] : this->headers) {
    if (key == name) return value;
  }
  return "";
}

std::string Message::Word(int index) const {
  std::istringstream words(this->first_line);
  std::string word;
  for (int i = 0; i <= index; ++i) words >> word;
  return word;
}

int Connection::Connect(int port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(port);
  const int failed = ::connect(
      socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (failed == 0) return socket;
  ::close(socket);
  return -1;
}

bool Connection::Send(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(this->socket, bytes.data() + sent,
                                 bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool Connection::Fill(int timeout_ms) {
  pollfd waiting{this->socket, POLLIN, 0};
  if (::poll(&waiting, 1, timeout_ms) <= 0) return false;
  char block[16'384];
  const ssize_t count = ::recv(this->socket, block, sizeof(block), 0);
  if (count <= 0) return false;
  this->buffer.append(block, static_cast<std::size_t>(count));
  return true;
}

std::string Connection::ReadLine(int timeout_ms) {
  while (true) {
    const auto end = this->buffer.find('\n');
    if (end != std::string::npos) {
      std::string line = this->buffer.substr(0, end + 1);
      this->buffer.erase(0, end + 1);
      return line;
    }
    if (!this->Fill(timeout_ms)) return "";
  }
}

bool Connection::ReadExactly(std::size_t count, std::string& bytes,
                             int timeout_ms) {
  while (this->buffer.size() < count) {
    if (!this->Fill(timeout_ms)) return false;
  }
  bytes += this->buffer.substr(0, count);
  this->buffer.erase(0, count);
  return true;
}

bool Connection::ReadHead(Message& message, int timeout_ms) {
  message = Message{};
  message.first_line = Trim(this->ReadLine(timeout_ms));
  if (message.first_line.empty()) return false;
  while (true) {
    const std::string line = this->ReadLine(timeout_ms);
    if (line.empty()) return false;
    if (Trim(line).empty()) return true;
    const auto colon = line.find(':');
    if (colon == std::string::npos) return false;
    message.headers.emplace_back(Lower(line.substr(0, colon)),
                                 Trim(line.substr(colon + 1)));
  }
}

bool Connection::ReadBody(Message& message, int timeout_ms) {
  if (Lower(message.Header("transfer-encoding")) != "chunked") {
    const std::string length = message.Header("content-length");
    if (length.empty()) return true;
    return this->ReadExactly(std::stoul(length), message.body, timeout_ms);
  }
  while (true) {
    const std::string line = this->ReadLine(timeout_ms);
    if (line.empty()) return false;
    const std::size_t size = std::stoul(line, nullptr, 16);
    if (!this->ReadExactly(size, message.body, timeout_ms)) return false;
    std::string end;
    if (!this->ReadExactly(2, end, timeout_ms)) return false;
    if (size == 0) return true;
  }
}

std::string Connection::ReadSome(std::size_t most, int timeout_ms) {
  if (this->buffer.empty()) this->Fill(timeout_ms);
  std::string some = this->buffer.substr(0, most);
  this->buffer.erase(0, some.size());
  return some;
}

bool Connection::IsClosedByPeer() {
  char byte = 0;
  const ssize_t count = ::recv(this->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::Close() {
  if (this->socket >= 0) ::close(this->socket);
  this->socket = -1;
}

void Connection::Reset() {
  const linger reset{1, 0};
  ::setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  this->Close();
}

void Connection::ShutDownSending() { ::shutdown(this->socket, SHUT_WR); }

Listener::Listener(int port, Serve serve) : serve(std::move(serve)) {
  this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(this->socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = AddressOf(port);
  socklen_t size = sizeof(address);
  if (::bind(this->socket, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::listen(this->socket, 512) != 0) {
    std::cerr << "can't listen on port " << port << "\n";
    std::exit(2);
  }
  ::getsockname(this->socket, reinterpret_cast<sockaddr*>(&address), &size);
  this->bound_port = ntohs(address.sin_port);
  this->acceptor = std::thread([this] {
    while (!this->stopped) {
      const int accepted =
          ::accept4(this->socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) return;
      const int no_delay = 1;
      ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &no_delay,
                   sizeof(no_delay));
      std::thread([this, accepted] {
        Connection connection(accepted);
        this->serve(connection);
      }).detach();
    }
  });
}

Listener::~Listener() { this->Stop(); }

void Listener::Stop() {
  if (this->stopped.exchange(true)) return;
  ::shutdown(this->socket, SHUT_RDWR);
  this->acceptor.join();
  ::close(this->socket);
}

Store::Store()
    : listener(std::make_unique<Listener>(0, [this](Connection& connection) {
        this->Serve(connection, false);
      })) {}

int Store::AddPort() {
  this->added_listener = std::make_unique<Listener>(
      0, [this](Connection& connection) { this->Serve(connection, true); });
  return this->added_listener->port();
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const Event event{key, value, ++this->revision, false};
  this->items[key] = event;
  this->history.push_back(event);
  this->changed.notify_all();
}

void Store::Remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->items.erase(key);
  this->history.push_back({key, "", ++this->revision, true});
  this->changed.notify_all();
}

void Store::TakeCopy() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->copied_items = this->items;
  this->copied_history = this->history;
  this->copied_revision = this->revision;
}

void Store::GoAway() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->is_away = true;
  this->changed.notify_all();
}

void Store::Restore() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->items = this->copied_items;
  this->history = this->copied_history;
  this->revision = this->copied_revision;
  ++this->era;
  this->is_away = false;
}

std::string Store::Describe(const Event& event) {
  std::string text = "{\"key\":\"" + event.key +
                     "\",\"revision\":" + std::to_string(event.revision);
  if (event.deleted) return text + ",\"deleted\":true}";
  return text + ",\"created\":1,\"lease\":0,\"value\":\"" +
         Base64(event.value) + "\"}";
}

void Store::Serve(Connection& connection, bool can_be_turned_away) {
  Message request;
  while (connection.ReadHead(request, kHeadTimeout)) {
    const std::string target = request.Word(1);
    const std::string prefix = Decoded(QueryOf(target, "pathPrefix"));
    const bool is_watch = target.find("kv-watch") != std::string::npos;
    std::string list;
    std::string body;
    std::string status = "200 OK";
    {
      std::unique_lock<std::mutex> lock(this->mutex);
      if (this->is_away) return connection.Reset();
      if (can_be_turned_away && this->is_turning_away) {
        connection.Send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      const auto add = [&](const Event& event) {
        if (event.key.compare(0, prefix.size(), prefix) != 0) return;
        list += (list.empty() ? "" : ",") + Describe(event);
      };
      if (is_watch) {
        const std::uint64_t after = std::stoull("0" + QueryOf(target, "after"));
        const auto until = Clock::now() + std::chrono::milliseconds(std::stoll(
                                              "0" + QueryOf(target, "waitMs")));
        while (true) {
          for (const Event& event : this->history) {
            if (event.revision > after) add(event);
          }
          const bool has_ended =
              !list.empty() || this->is_away || after > this->revision ||
              this->changed.wait_until(lock, until) == std::cv_status::timeout;
          if (has_ended) break;
        }
        if (this->is_away) return connection.Reset();
        if (after > this->revision) status = "410 Gone";
        body = "{\"events\":[" + list + "]";
      } else {
        for (const auto& entry : this->items) add(entry.second);
        body = "{\"entries\":[" + list + "],\"hasMore\":false";
      }
      body += ",\"asOf\":" + std::to_string(this->revision) + "}";
      status += "\r\nStore-Era: " + std::to_string(this->era);
    }
    const bool sent = connection.Send(
        "HTTP/1.1 " + status +
        "\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
    if (!sent) return;
  }
}

Server::Server(Store& store, std::string id, std::string service,
               Handler handler)
    : store(store),
      name(std::move(id)),
      service(std::move(service)),
      handler(std::move(handler)),
      born(std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count()),
      listener(std::make_unique<Listener>(
          0, [this](Connection& connection) { this->Serve(connection); })) {
  this->Register("ready");
}

void Server::Register(const std::string& state) {
  this->store.Put("servers/" + this->name,
                  "{\"service\":\"" + this->service + "\",\"address\":\"" +
                      Loopback(this->listener->port()) +
                      "\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":12,"
                      "\"state\":\"" +
                      state + "\",\"warmupLeftMs\":0,\"sequence\":" +
                      std::to_string(++this->sequence) +
                      ",\"born\":" + std::to_string(this->born) + "}");
}

void Server::Unregister() { this->store.Remove("servers/" + this->name); }

std::string Server::AnswerFields(const Message& request) const {
  return "X-Request-Id: " + request.Header("x-request-id") +
         "\r\nX-Server-Stamp: " + this->name + ".1\r\n";
}

void Server::Answer(Connection& connection, const Message& request, int status,
                    const std::string& body) const {
  connection.Send("HTTP/1.1 " + std::to_string(status) + " Answer\r\n" +
                  this->AnswerFields(request) + "Content-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body);
}

void Server::Serve(Connection& connection) {
  Message request;
  if (!connection.ReadHead(request, kHeadTimeout)) return;
  if (!connection.ReadBody(request, kHeadTimeout)) return;
  const std::string path = request.Word(1);
  if (path.compare(0, 12, "/banyanlane/") == 0) {
    const bool is_report = path == "/banyanlane/report";
    const std::string body =
        is_report
            ? "{\"phase\":\"both\",\"models\":[],\"busy\":false,\"sequence\":0,"
              "\"queued\":0,\"active\":0,\"kvUsed\":0,\"kvTotal\":1000,"
              "\"kvHandles\":0,\"group\":{\"name\":\"g\",\"epoch\":1,"
              "\"rank\":0,\"state\":\"open\"},\"size\":1,\"step\":1,"
              "\"map\":0,\"pace\":1}"
            : "{\"step\":1,\"epoch\":1,\"counts\":[0],\"map\":{\"version\":0,"
              "\"experts\":[[0]]}}";
    connection.Send(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Connection: close\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
    return;
  }
  if (request.Header("x-expect-instance") != this->name) {
    connection.Send(
        "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n"
        "Content-Length: 0\r\n\r\n");
    return;
  }
  this->handler(*this, connection, request);
}

RankAgent::RankAgent(const std::string& name, int store_port,
                     const Server& engine, const std::vector<int>& seeds) {
  const std::string settings =
      WriteSettings(name, "rank",
                    {{"{{limits.maxFds}}", "1000"},
                     {"{{limits.memoryMb}}", "128"},
                     {"{{ip}}:9464", Loopback(FreePort())},
                     {"{{provider.address}}", Loopback(store_port)},
                     {"{{ip}}:{{portRange.1}}", Loopback(FreePort())},
                     {"{{seeds}}", JoinedAddresses(seeds)},
                     {"{{service}}", "core"},
                     {"{{app}}", Loopback(engine.port())},
                     {"{{limits.linkMbps}}", "20"}});
  this->pid = StartProcess(name, "rank", settings);
}

RankAgent::~RankAgent() {
  ::kill(this->pid, SIGKILL);
  ::waitpid(this->pid, nullptr, 0);
}

Gateway::Gateway(std::string name, int store_port, int link_port,
                 const std::vector<int>& seeds)
    : node(std::move(name)), front_port(FreePort()), ready_port(FreePort()) {
  this->settings_path =
      WriteSettings(this->node, "gateway",
                    {{"{{limits.maxFds}}", "1000"},
                     {"{{limits.memoryMb}}", "260"},
                     {"{{ip}}:9464", Loopback(FreePort())},
                     {"{{provider.address}}", Loopback(store_port)},
                     {"{{listen.ready}}", Loopback(this->ready_port)},
                     {"{{listen.directory}}", Loopback(FreePort())},
                     {"{{listen.controlPlane}}", Loopback(link_port)},
                     {"{{listen.frontend}}", Loopback(this->front_port)},
                     {"{{seeds}}", JoinedAddresses(seeds)},
                     {"{{bounds.drainMs}}", "2000"},
                     {"{{bounds.graceS}}", "8"},
                     {"{{bounds.stall_ms}}", "1500"},
                     {"{{bounds.retryRatio}}", "0.2"},
                     {"{{bounds.retryWindowS}}", "10"},
                     {"{{bounds.retrySlack}}", "90"}});
  this->Start();
}

Gateway::~Gateway() {
  if (this->pid == 0) return;
  ::kill(this->pid, SIGKILL);
  ::waitpid(this->pid, nullptr, 0);
}

void Gateway::Start() {
  this->pid = StartProcess(this->node, "gateway", this->settings_path);
}

bool Gateway::AwaitReady() {
  for (int i = 0; i < 100; ++i) {
    const int socket = Connection::Connect(this->ready_port);
    if (socket >= 0) {
      Connection connection(socket);
      Message answer;
      connection.Send(
          "GET /banyanlane/readyz HTTP/1.1\r\nHost: ready\r\n"
          "Connection: close\r\n\r\n");
      if (connection.ReadHead(answer, 1'000) && answer.Word(1) == "200")
        return true;
    }
    SleepMillis(100);
  }
  // Shows in the record why a case could not run.
  std::ifstream log(Environment("CASE_TMP", "/tmp") + "/" + this->node +
                    ".log");
  Record::Line(this->node + " is not ready; its log:");
  for (std::string line; std::getline(log, line);) Record::Line(line);
  return false;
}

void Gateway::Signal(int signal) {
  if (this->pid != 0) ::kill(this->pid, signal);
}

int Gateway::AwaitExit(int timeout_ms) {
  for (int waited = 0; waited < timeout_ms; waited += 20) {
    int status = 0;
    if (::waitpid(this->pid, &status, WNOHANG) == this->pid) {
      started.erase(std::remove(started.begin(), started.end(), this->pid),
                    started.end());
      this->pid = 0;
      return status;
    }
    SleepMillis(20);
  }
  return -1;
}

bool Gateway::IsRunning() {
  if (this->pid == 0) return false;
  siginfo_t info{};
  ::waitid(P_PID, static_cast<id_t>(this->pid), &info,
           WEXITED | WNOHANG | WNOWAIT);
  return info.si_pid == 0;
}

std::string Configuration(int version, const std::vector<Route>& routes,
                          const std::vector<std::string>& services,
                          const std::vector<std::string>& api_keys) {
  std::string list;
  for (const Route& route : routes) {
    list += (list.empty() ? "" : ",") + std::string("{\"name\":\"") +
            route.name + "\",\"host\":\"h.example\",\"pathPrefix\":\"" +
            route.path + "\",\"type\":\"" + route.type + "\",\"service\":\"" +
            route.service +
            "\",\"timeoutMs\":" + std::to_string(route.timeout_ms) +
            ",\"goalMs\":500,\"priority\":1,\"maxAttempts\":" +
            std::to_string(route.attempts) +
            (route.resumable ? ",\"resumable\":true}" : "}");
  }
  std::string named;
  for (const std::string& service : services)
    named += (named.empty() ? "" : ",") + ("{\"name\":\"" + service + "\"}");
  std::string keys;
  for (const std::string& key : api_keys)
    keys += (keys.empty() ? "\"" : ",\"") + key + "\"";
  const std::string tenants =
      keys.empty()
          ? ""
          : "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[" + keys + "]}],";
  return "{" + tenants + "\"version\":" + std::to_string(version) +
         ",\"routeList\":[" + list + "],\"services\":[" + named +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,"
         "\"headerTimeoutMs\":5000,\"idleTimeoutMs\":30000}}";
}

std::string Request(const std::string& method, const std::string& path,
                    const std::string& id, int deadline_ms,
                    const std::string& more_headers, const std::string& body) {
  return method + " " + path +
         " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" +
         more_headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string Environment(const char* name, const std::string& fallback) {
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : value;
}

void Finish(int status) {
  for (const pid_t pid : started) {
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  std::_Exit(status);
}

bool HasTrouble() { return Environment("TROUBLE", "1") != "0"; }

}  // namespace review
