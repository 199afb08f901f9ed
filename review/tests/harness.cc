#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <sstream>

namespace review {

const char kHost[] = "h.example";

namespace {

constexpr int kMillisPerSecond = 1'000;
constexpr int kHeartbeatMillis = 1'200;
constexpr std::size_t kReadBytes = 16 * 1024;

std::chrono::steady_clock::time_point StartTime() {
  static const auto start = std::chrono::steady_clock::now();
  return start;
}

std::string Lower(std::string text) {
  for (char& c : text)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

std::string Trim(const std::string& text) {
  const auto first = text.find_first_not_of(" \t\r\n");
  if (first == std::string::npos) return "";
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

sockaddr_in SocketAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

std::string AddressText(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::uint16_t PortOf(const std::string& address) {
  return static_cast<std::uint16_t>(
      std::stoi(address.substr(address.rfind(':') + 1)));
}

std::uint16_t BoundPort(int socket) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

std::string Query(const std::string& target, const std::string& name) {
  const auto start = target.find('?');
  if (start == std::string::npos) return "";
  std::stringstream parts(target.substr(start + 1));
  std::string part;
  while (std::getline(parts, part, '&')) {
    if (part.rfind(name + "=", 0) != 0) continue;
    std::string value = part.substr(name.size() + 1);
    for (auto at = value.find("%2F"); at != std::string::npos;
         at = value.find("%2F"))
      value.replace(at, 3, "/");
    return value;
  }
  return "";
}

std::string Base64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group <<= 8U;
      if (j < count) group |= static_cast<unsigned char>(bytes[i + j]);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const auto digit = (group >> (18U - 6U * j)) & 63U;
      text += j <= count ? kDigits[digit] : '=';
    }
  }
  return text;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

void ReplaceAll(std::string& text, const std::string& from,
                const std::string& to) {
  for (auto at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size()))
    text.replace(at, from.size(), to);
}

std::string Join(const std::vector<std::string>& words) {
  std::string joined;
  for (const std::string& word : words) {
    if (!joined.empty()) joined += ",";
    joined += word;
  }
  return joined;
}

std::string FormatHead(const std::string& start_line, const Headers& headers) {
  std::string head = start_line + "\r\n";
  for (const auto& [name, value] : headers)
    head += name + ": " + value + "\r\n";
  return head + "\r\n";
}

std::string FormatResponse(int status, Headers headers,
                           const std::string& body) {
  headers["content-length"] = std::to_string(body.size());
  return FormatHead("HTTP/1.1 " + std::to_string(status) + " Status", headers) +
         body;
}

}  // namespace

double Seconds() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       StartTime())
      .count();
}

void SleepUntil(double seconds) {
  const double left = seconds - Seconds();
  if (left > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(left));
}

void Record::Line(const std::string& text) {
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f  ", Seconds());
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->file << time << text << std::endl;
  std::cout << time << text << std::endl;
}

Listener::Listener(Handler handler, std::uint16_t port)
    : handler(std::move(handler)) {
  this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(this->socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = SocketAddress(port);
  if (bind(this->socket, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(this->socket, SOMAXCONN) != 0) {
    std::cerr << "cannot listen\n";
    std::_Exit(kCouldNotRun);
  }
  this->bound_port = BoundPort(this->socket);
  this->thread = std::thread([this] {
    while (true) {
      const int accepted =
          accept4(this->socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) return;
      const int no_delay = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &no_delay,
                 sizeof(no_delay));
      std::thread([this, accepted] { this->handler(accepted); }).detach();
    }
  });
}

Listener::~Listener() {
  shutdown(this->socket, SHUT_RDWR);
  this->thread.join();
  close(this->socket);
}

std::string Listener::Address() const { return AddressText(this->bound_port); }

std::string FreeAddress() {
  const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = SocketAddress(0);
  bind(probe, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  const std::uint16_t port = BoundPort(probe);
  close(probe);
  return AddressText(port);
}

std::unique_ptr<Connection> Connection::Open(const std::string& address) {
  const int opened = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in peer = SocketAddress(PortOf(address));
  const int on = 1;
  setsockopt(opened, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (connect(opened, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) !=
      0) {
    close(opened);
    return nullptr;
  }
  return std::make_unique<Connection>(opened);
}

void Connection::SetReadTimeout(int timeout_ms) {
  const timeval timeout{timeout_ms / kMillisPerSecond,
                        timeout_ms % kMillisPerSecond * 1'000};
  setsockopt(this->socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
}

bool Connection::Write(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(this->socket, bytes.data() + sent,
                               bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool Connection::Fill() {
  char block[kReadBytes];
  const ssize_t count = recv(this->socket, block, sizeof(block), 0);
  if (count <= 0) return false;
  this->buffer.append(block, static_cast<std::size_t>(count));
  return true;
}

std::optional<std::string> Connection::ReadLine() {
  std::size_t end = 0;
  while ((end = this->buffer.find('\n')) == std::string::npos) {
    if (!this->Fill()) return std::nullopt;
  }
  std::string line = this->buffer.substr(0, end);
  this->buffer.erase(0, end + 1);
  if (!line.empty() && line.back() == '\r') line.pop_back();
  return line;
}

std::optional<std::string> Connection::ReadBytes(std::size_t count) {
  while (this->buffer.size() < count) {
    if (!this->Fill()) return std::nullopt;
  }
  std::string bytes = this->buffer.substr(0, count);
  this->buffer.erase(0, count);
  return bytes;
}

bool Connection::ReadHead(std::string& start_line, Headers& headers) {
  auto line = this->ReadLine();
  if (!line) return false;
  start_line = *line;
  while ((line = this->ReadLine())) {
    if (line->empty()) return true;
    const auto colon = line->find(':');
    if (colon != std::string::npos)
      headers[Lower(line->substr(0, colon))] = Trim(line->substr(colon + 1));
  }
  return false;
}

bool Connection::PeerHasClosed() {
  char byte = 0;
  const ssize_t count = recv(this->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::Close() {
  if (this->socket >= 0) close(this->socket);
  this->socket = -1;
}

Response Exchange(Connection& connection, const Request& request) {
  Response response;
  Headers headers = request.headers;
  if (!request.body.empty() || request.method == "POST")
    headers["content-length"] = std::to_string(request.body.size());
  const std::string start = request.method + " " + request.target + " HTTP/1.1";
  std::string status_line;
  const bool has_head =
      connection.Write(FormatHead(start, headers) + request.body) &&
      connection.ReadHead(status_line, response.headers);
  if (!has_head) {
    response.ended_at = Seconds();
    return response;
  }
  response.status = std::stoi(status_line.substr(status_line.find(' ') + 1));
  if (Lower(response.headers["transfer-encoding"]) == "chunked") {
    while (true) {
      const auto size_line = connection.ReadLine();
      if (!size_line) break;
      const auto size =
          static_cast<std::size_t>(std::stoul(*size_line, nullptr, 16));
      const auto data = connection.ReadBytes(size);
      if (!data || !connection.ReadLine()) break;
      response.body += *data;
      if (size == 0) {
        response.complete = true;
        break;
      }
    }
  } else {
    const auto length = response.headers.find("content-length");
    const std::size_t size =
        length == response.headers.end() ? 0 : std::stoul(length->second);
    const auto data = connection.ReadBytes(size);
    if (data) response.body = *data;
    response.complete = data.has_value();
  }
  response.ended_at = Seconds();
  return response;
}

Response Fetch(const std::string& address, const Request& request) {
  const auto connection = Connection::Open(address);
  return connection ? Exchange(*connection, request) : Response{};
}

Store::Store() {
  this->listener =
      std::make_unique<Listener>([this](int socket) { this->Serve(socket); });
}

void Store::Change(const std::string& key, const std::string& value,
                   bool deleted) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const Event event{key, value, ++this->state.revision, deleted};
  this->state.history.push_back(event);
  if (deleted) {
    this->state.items.erase(key);
  } else {
    this->state.items[key] = event;
  }
  this->changed.notify_all();
}

void Store::Put(const std::string& key, const std::string& value) {
  this->Change(key, value, false);
}

void Store::Remove(const std::string& key) { this->Change(key, "", true); }

void Store::SaveCopy() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->copy = this->state;
}

void Store::RestoreCopy() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->state = this->copy;
  ++this->era;
  this->changed.notify_all();
}

void Store::SetDown(bool value) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->down = value;
  this->changed.notify_all();
}

namespace {

std::string ItemText(const std::string& key, std::uint64_t revision,
                     const std::string& value, bool deleted) {
  std::string text =
      "{\"key\":\"" + key + "\",\"revision\":" + std::to_string(revision);
  text += deleted ? ",\"deleted\":true}"
                  : ",\"created\":1,\"lease\":0,\"value\":\"" + Base64(value) +
                        "\"}";
  return text;
}

}  // namespace

std::string Store::Range(const std::string& prefix) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<std::string> items;
  for (const auto& [key, event] : this->state.items) {
    if (key.rfind(prefix, 0) == 0)
      items.push_back(ItemText(key, event.revision, event.value, false));
  }
  return "{\"entries\":[" + Join(items) + "],\"hasMore\":false,\"asOf\":" +
         std::to_string(this->state.revision) + "}";
}

std::pair<int, std::string> Store::Watch(const std::string& prefix,
                                         std::uint64_t after, int wait_ms) {
  std::unique_lock<std::mutex> lock(this->mutex);
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
  const std::uint64_t first_era = this->era;
  while (true) {
    if (this->down) return {503, "{}"};
    if (after > this->state.revision || this->era != first_era)
      return {410, "{}"};
    std::vector<std::string> events;
    for (const Event& event : this->state.history) {
      if (event.revision > after && event.key.rfind(prefix, 0) == 0)
        events.push_back(
            ItemText(event.key, event.revision, event.value, event.deleted));
    }
    const bool has_timed_out = std::chrono::steady_clock::now() >= until;
    if (!events.empty() || has_timed_out) {
      return {200, "{\"events\":[" + Join(events) + "],\"asOf\":" +
                       std::to_string(this->state.revision) + "}"};
    }
    this->changed.wait_until(lock, until);
  }
}

void Store::Serve(int socket) {
  Connection connection(socket);
  std::string start_line;
  while (true) {
    Headers headers;
    if (!connection.ReadHead(start_line, headers)) return;
    const auto first = start_line.find(' ') + 1;
    const std::string target =
        start_line.substr(first, start_line.rfind(' ') - first);
    const std::string prefix = Query(target, "pathPrefix");
    std::pair<int, std::string> answer{200, ""};
    if (target.rfind("/banyanlane/kv-watch", 0) == 0) {
      answer = this->Watch(prefix, std::stoull("0" + Query(target, "after")),
                           std::stoi("0" + Query(target, "waitMs")));
    } else if (target.rfind("/banyanlane/kv-range", 0) == 0) {
      answer.second = this->Range(prefix);
    } else {
      answer = {404, "{}"};
    }
    std::uint64_t answered_era = 0;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      answered_era = this->era;
      if (this->down) answer = {503, "{}"};
    }
    const Headers fields = {{"content-type", "application/json"},
                            {"store-era", std::to_string(answered_era)}};
    if (!connection.Write(FormatResponse(answer.first, fields, answer.second)))
      return;
  }
}

std::size_t RunLog::Begin(const Run& run) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->runs.push_back(run);
  this->runs.back().began_at = Seconds();
  return this->runs.size() - 1;
}

void RunLog::End(std::size_t index, bool complete) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->runs[index].ended_at = Seconds();
  this->runs[index].complete = complete;
}

std::vector<Run> RunLog::All() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->runs;
}

std::vector<Run> RunLog::Of(const std::string& request_id) {
  std::vector<Run> found;
  for (const Run& run : this->All()) {
    if (run.request_id == request_id) found.push_back(run);
  }
  return found;
}

Server::Server(std::string id, std::string service, Store& store, RunLog& runs)
    : id(std::move(id)),
      service(std::move(service)),
      store(store),
      runs(runs),
      born(std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count()) {
  this->listener =
      std::make_unique<Listener>([this](int socket) { this->Serve(socket); });
  this->WriteEntry();
  this->heartbeat = std::thread([this] {
    int elapsed_ms = 0;
    constexpr int kStepMillis = 50;
    while (!this->stopped) {
      std::this_thread::sleep_for(std::chrono::milliseconds(kStepMillis));
      elapsed_ms += kStepMillis;
      if (elapsed_ms < kHeartbeatMillis) continue;
      elapsed_ms = 0;
      this->WriteEntry();
    }
  });
}

Server::~Server() {
  this->stopped = true;
  this->heartbeat.join();
}

void Server::WriteEntry() {
  this->store.Put("servers/" + this->id,
                  "{\"service\":\"" + this->service + "\",\"address\":\"" +
                      this->Address() +
                      "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":12,"
                      "\"state\":\"ready\",\"warmupLeftMs\":0,\"sequence\":" +
                      std::to_string(++this->sequence) +
                      ",\"born\":" + std::to_string(this->born) + "}");
}

void Server::Serve(int socket) {
  Connection connection(socket);
  while (true) {
    Request request;
    std::string start_line;
    if (!connection.ReadHead(start_line, request.headers)) return;
    const auto first = start_line.find(' ');
    request.method = start_line.substr(0, first);
    request.target =
        start_line.substr(first + 1, start_line.rfind(' ') - first - 1);
    const auto length = request.headers.find("content-length");
    if (length != request.headers.end()) {
      const auto body = connection.ReadBytes(std::stoul(length->second));
      if (!body) return;
      request.body = *body;
    }
    this->Answer(connection, request);
    if (Lower(request.headers["connection"]) == "close") return;
  }
}

void Server::Answer(Connection& connection, const Request& request) {
  const auto field = [&request](const std::string& name) {
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string() : found->second;
  };
  const std::string expected = field("x-expect-instance");
  if (!expected.empty() && expected != this->id) {
    connection.Write(FormatResponse(421, {{"x-not-executed", "1"}}, ""));
    return;
  }
  const std::string request_id = field("x-request-id");
  const std::size_t run = this->runs.Begin(
      {this->id, request_id, request.target, request.headers, 0, 0, false});
  const Headers headers = {
      {"x-request-id", request_id},
      {"x-server-stamp", this->id + "." + std::to_string(run)}};
  const std::string work = field("x-work");
  if (request.target.rfind("/stream/", 0) != 0) {
    std::this_thread::sleep_for(
        std::chrono::milliseconds(std::stoi("0" + work)));
    std::string answer =
        FormatResponse(200, headers, "done " + request_id + "\n");
    // A response to HEAD has the header of the response to GET and no body.
    if (request.method == "HEAD") answer.resize(answer.find("\r\n\r\n") + 4);
    const bool sent = connection.Write(answer);
    this->runs.End(run, sent);
    return;
  }
  Headers stream_headers = headers;
  stream_headers["transfer-encoding"] = "chunked";
  stream_headers["content-type"] = "text/event-stream";
  connection.Write(FormatHead("HTTP/1.1 200 OK", stream_headers));
  const auto star = work.find('*');
  const int events = std::stoi("0" + work.substr(0, star));
  const int pause_ms =
      star == std::string::npos ? 0 : std::stoi("0" + work.substr(star + 1));
  const int first_event = std::stoi("0" + field("last-event-id")) + 1;
  for (int i = first_event; i <= events; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(pause_ms));
    const std::string event =
        "id: " + std::to_string(i) + "\ndata: " + request_id + "\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    if (connection.PeerHasClosed() ||
        !connection.Write(size + event + "\r\n")) {
      this->runs.End(run, false);
      return;
    }
  }
  this->runs.End(run, connection.Write("0\r\n\r\n"));
}

Gateway::Gateway(std::string root, std::string folder, std::string name,
                 const std::string& store_address,
                 const std::vector<std::string>& seeds)
    : root(std::move(root)),
      folder(std::move(folder)),
      name(std::move(name)),
      store_address(store_address),
      frontend(FreeAddress()),
      ready(FreeAddress()),
      directory(FreeAddress()),
      control_plane(FreeAddress()),
      admin(FreeAddress()) {
  this->ChangeSettings(seeds);
}

Gateway::~Gateway() {
  if (this->pid > 0) {
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
  }
}

void Gateway::ChangeSettings(const std::vector<std::string>& changed_seeds) {
  this->seeds = changed_seeds;
  std::string text = ReadFile(this->root + "/deploy/gateway.ini");
  const std::map<std::string, std::string> fields = {
      {"{{nodeName}}", this->name},
      {"{{zone}}", "zone-a"},
      {"{{limits.maxFds}}",
       std::to_string(this->max_descriptors > 0 ? this->max_descriptors
                                                : 1'000)},
      {"{{limits.memoryMb}}", "260"},
      {"{{ip}}:9464", this->admin},
      {"{{provider.address}}", this->store_address},
      {"{{listen.ready}}", this->ready},
      {"{{listen.directory}}", this->directory},
      {"{{bounds.drainMs}}", "2000"},
      {"{{listen.controlPlane}}", this->control_plane},
      {"{{seeds}}", Join(this->seeds)},
      {"{{listen.frontend}}", this->frontend},
      {"{{bounds.graceS}}", "8"},
      {"{{bounds.stall_ms}}", "1500"},
      {"{{bounds.retryRatio}}", "0.2"},
      {"{{bounds.retryWindowS}}", "10"},
      {"{{bounds.retrySlack}}", "90"}};
  for (const auto& [from, to] : fields) ReplaceAll(text, from, to);
  // The file is replaced as a whole, so that it is never read half written.
  const std::string path = this->folder + "/" + this->name + ".ini";
  std::ofstream(path + ".new") << text;
  rename((path + ".new").c_str(), path.c_str());
}

void Gateway::Start() {
  const std::string settings =
      "--settings=" + this->folder + "/" + this->name + ".ini";
  const std::string program = this->root + "/target/banyanlane";
  const std::string log = this->folder + "/" + this->name + ".log";
  this->pid = fork();
  if (this->pid != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (this->max_descriptors > 0) {
    const auto most = static_cast<rlim_t>(this->max_descriptors);
    const rlimit limit{most, most};
    if (setrlimit(RLIMIT_NOFILE, &limit) != 0) std::_Exit(kCouldNotRun);
  }
  const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(file, STDOUT_FILENO);
  dup2(file, STDERR_FILENO);
  if (chdir(this->root.c_str()) == 0)
    execl(program.c_str(), program.c_str(), "gateway", settings.c_str(),
          nullptr);
  std::_Exit(kCouldNotRun);
}

void Gateway::Signal(int number) const {
  if (this->pid > 0) kill(this->pid, number);
}

bool Gateway::HasExited() {
  if (this->pid <= 0) return true;
  int status = 0;
  if (waitpid(this->pid, &status, WNOHANG) != this->pid) return false;
  this->pid = 0;
  this->exit_text =
      WIFSIGNALED(status)
          ? "was ended by signal " + std::to_string(WTERMSIG(status)) + " (" +
                strsignal(WTERMSIG(status)) + ")"
          : "exited with status " + std::to_string(WEXITSTATUS(status));
  return true;
}

int Gateway::OpenDescriptors() const {
  int count = 0;
  std::error_code ignored;
  for (const auto& entry : std::filesystem::directory_iterator(
           "/proc/" + std::to_string(this->pid) + "/fd", ignored)) {
    (void)entry;
    ++count;
  }
  return count;
}

long Gateway::MemoryKb() const {
  std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
  std::string word;
  while (status >> word) {
    long kilobytes = 0;
    if (word == "VmRSS:" && status >> kilobytes) return kilobytes;
  }
  return 0;
}

bool Gateway::AwaitReady(double timeout_s) {
  const double until = Seconds() + timeout_s;
  while (Seconds() < until && !this->HasExited()) {
    if (Fetch(this->ready, {"GET", "/banyanlane/readyz", {{"host", "r"}}, ""})
            .status == 200)
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

std::string ConfigText(int version, const std::vector<Route>& routes,
                       const std::map<std::string, std::string>& keys) {
  std::vector<std::string> route_texts;
  std::map<std::string, bool> services;
  for (const Route& route : routes) {
    services[route.service] = true;
    route_texts.push_back(
        "{\"name\":\"" + route.name + "\",\"host\":\"" + kHost +
        "\",\"pathPrefix\":\"" + route.path_prefix + "\",\"type\":\"" +
        route.type + "\",\"timeoutMs\":" + std::to_string(route.timeout_ms) +
        ",\"goalMs\":500,\"priority\":1,\"service\":\"" + route.service +
        "\",\"maxAttempts\":" + std::to_string(route.max_attempts) +
        ",\"public\":false,\"gapGoalMs\":400,\"resumable\":" +
        (route.resumable ? "true" : "false") + "}");
  }
  std::vector<std::string> service_texts;
  for (const auto& entry : services) {
    service_texts.push_back("{\"name\":\"" + entry.first +
                            "\",\"healthPath\":\"/healthz\",\"maxConns\":300}");
  }
  std::string text = "{\"version\":" + std::to_string(version) +
                     ",\"routeList\":[" + Join(route_texts) +
                     "],\"services\":[" + Join(service_texts) +
                     "],\"limits\":{\"maxHeaderBytes\":16384,"
                     "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
                     "\"idleTimeoutMs\":15000}";
  if (!keys.empty()) {
    std::vector<std::string> tenants;
    for (const auto& [key, tenant] : keys)
      tenants.push_back("{\"name\":\"" + tenant + "\",\"apiKeys\":[\"" + key +
                        "\"]}");
    text += ",\"tenants\":[" + Join(tenants) + "]";
  }
  return text + "}";
}

Request MakeRequest(const std::string& method, const std::string& target,
                    const std::string& id, int deadline_ms,
                    const std::string& work, const std::string& key) {
  Request request{method, target, {}, method == "POST" ? "body of " + id : ""};
  request.headers = {{"host", kHost},
                     {"x-request-id", id},
                     {"x-deadline-ms", std::to_string(deadline_ms)},
                     {"x-work", work}};
  if (!key.empty()) request.headers["authorization"] = "Bearer " + key;
  return request;
}

bool HasTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

Paths ReadPaths(int argc, char** argv) {
  Seconds();
  signal(SIGPIPE, SIG_IGN);
  if (argc != 4) {
    std::cerr << "usage: case ROOT FOLDER RECORD\n";
    std::exit(kCouldNotRun);
  }
  return {argv[1], argv[2], argv[3]};
}

}  // namespace review
