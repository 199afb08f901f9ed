#include "processes/fleet.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio.hpp>
#include <climits>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

extern char** environ;

namespace banyanlane::processes {
namespace {

constexpr kernel::Millis kAwaitTimeout{30'000};
constexpr kernel::Millis kRequestTimeout{25'000};
constexpr int kPollIntervalMillis = 10;

void RunCommand(const std::string& command) {
  const int status = std::system((command + " >/dev/null 2>&1").c_str());
  if (status != 0) throw std::runtime_error("command failed: " + command);
}

std::string Binary(const std::string& name) {
  return std::string(BANYANLANE_BINARY_DIR) + "/" + name;
}

}  // namespace

void ResponseRecorder::OnHead(int status, const http::Headers& received) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->head_status = status;
  this->headers = received;
}
void ResponseRecorder::OnData(std::string_view data) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->body += data;
}
void ResponseRecorder::OnEnd() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->ended = true;
  this->end = kernel::Clock::now();
}
void ResponseRecorder::OnFailed(const kernel::Error& /*error*/,
                                http::SendState /*state*/) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->failed = true;
  this->end = kernel::Clock::now();
}
int ResponseRecorder::status() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->head_status;
}
std::string ResponseRecorder::text() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->body;
}
std::string ResponseRecorder::header(std::string_view name) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return http::HeaderOf(this->headers, name);
}
bool ResponseRecorder::complete() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->ended;
}
kernel::TimePoint ResponseRecorder::ended_at() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->end;
}
bool ResponseRecorder::finished() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->ended || this->failed;
}

Fleet::Fleet() {
  // Each test runs in its own process, so the process id selects a loopback
  // address that no other running test uses.
  const auto pid = static_cast<unsigned>(getpid());
  this->ip = fmt::format("127.{}.{}.{}", pid >> 14 & 255, pid >> 7 & 127,
                         1 + (pid & 127));
  std::string name = "/tmp/banyanlane-test-XXXXXX";
  this->directory = mkdtemp(name.data());
  this->runtime = http::MakeHttpRuntime();
  this->runtime->Start(1);
}

Fleet::~Fleet() {
  this->runtime->Stop();
  for (const auto& [name, pid] : this->pids) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  std::filesystem::remove_all(this->directory);
}

std::string Fleet::AllocateAddress(const std::string& name) {
  const std::string address =
      this->ip + ":" + std::to_string(this->next_port++);
  this->addresses[name] = address;
  return address;
}

void Fleet::Spawn(const std::string& name,
                  std::vector<std::string> command_line) {
  // A failing test exits without running the destructor, so the kernel has to
  // end the processes that it started.
  command_line.insert(command_line.begin(),
                      {"/usr/bin/setpriv", "--pdeathsig", "KILL"});
  std::vector<char*> arguments;
  for (std::string& word : command_line) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t file_actions;
  posix_spawn_file_actions_init(&file_actions);
  const std::string log = this->directory + "/" + name + ".log";
  posix_spawn_file_actions_addopen(&file_actions, 1, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  if (this->blocked_output >= 0)
    posix_spawn_file_actions_adddup2(&file_actions, this->blocked_output, 1);
  posix_spawn_file_actions_adddup2(&file_actions, 1, 2);
  pid_t pid = 0;
  const int failed = posix_spawn(&pid, arguments[0], &file_actions, nullptr,
                                 arguments.data(), environ);
  posix_spawn_file_actions_destroy(&file_actions);
  if (failed != 0) throw std::runtime_error(name + " could not be started");
  this->pids[name] = pid;
}

void Fleet::BlockOutput() {
  std::array<int, 2> ends{};
  if (pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) != 0)
    throw std::runtime_error("no pipe for the output");
  this->blocked_output = ends[1];
  const std::string block(PIPE_BUF, '.');
  while (write(this->blocked_output, block.data(), block.size()) > 0) {
  }
  fcntl(this->blocked_output, F_SETFL, 0);
}

std::string Fleet::WriteSettings(const std::string& name,
                                 const std::string& text) {
  const std::string path = this->directory + "/" + name + ".ini";
  std::ofstream(path) << "[node]\nid=" << name << "\nfailure_domain=d"
                      << this->pids.size() % 3
                      << "\nlog_level=debug\n[admin]\naddress="
                      << this->addresses.at(name + "-admin") << "\n"
                      << this->TlsSettings(name)
                      << "[link]\nheartbeat_ms=" << this->heartbeat_millis
                      << "\n"
                      << text;
  return path;
}

void Fleet::SecureLinks() {
  this->secured = true;
  this->MakeAuthority("authority");
}

void Fleet::MakeAuthority(const std::string& authority) {
  RunCommand(fmt::format(
      "openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN={0} "
      "-keyout {1}/{0}.key -out {1}/{0}.pem",
      authority, this->directory));
}

void Fleet::IssueCertificate(const std::string& name,
                             const std::string& common_name,
                             const std::string& authority) {
  if (!std::filesystem::exists(this->FilePath(authority + ".pem")))
    this->MakeAuthority(authority);
  RunCommand(fmt::format(
      "openssl req -newkey rsa:2048 -nodes -subj /CN={1} -keyout {2}/{0}.key "
      "-out {2}/{0}.csr",
      name, common_name, this->directory));
  RunCommand(
      fmt::format("openssl x509 -req -days 2 -in {1}/{0}.csr -CA {1}/{2}.pem "
                  "-CAkey {1}/{2}.key -CAcreateserial -out {1}/{0}.pem",
                  name, this->directory, authority));
}

std::string Fleet::TlsSettings(const std::string& name) {
  if (!this->secured) return "[tls]\nplain_links=true\n";
  if (!std::filesystem::exists(this->FilePath(name + ".pem")))
    this->IssueCertificate(name, name);
  return "[tls]\ncertificate=" + this->FilePath(name + ".pem") +
         "\nkey=" + this->FilePath(name + ".key") +
         "\nauthority=" + this->FilePath("authority.pem") + "\n";
}

void Fleet::StartPlatform(const std::string& config) {
  this->platform_address = this->AllocateAddress("platform");
  this->Spawn("platform", {Binary("standin"), "platform",
                           "--listen=" + this->Address("platform")});
  Await([&] {
    const auto up =
        http::Fetch(this->Address("platform"), {}, kernel::Millis(200));
    return kernel::ErrorOf(up) == nullptr;
  });
  this->Publish(config);
}

void Fleet::StartStandin(const std::string& name) {
  this->Spawn("standin-" + name,
              {Binary("standin"), this->kinds.at(name),
               "--listen=" + this->addresses.at("standin-" + name),
               "--token_millis=" + std::to_string(this->token_millis)});
}

void Fleet::AddEndpoint(const std::string& name, const std::string& kind,
                        const std::string& service, bool relayed,
                        const std::string& agent_settings) {
  this->kinds[name] = kind;
  this->AllocateAddress("standin-" + name);
  if (kind != "none") this->StartStandin(name);
  this->AllocateAddress(name);
  this->AllocateAddress(name + "-admin");
  this->WriteSettings(name,
                      "[agent]\nlisten=" + this->Address(name) +
                          "\nendpoint=" + this->Address("standin-" + name) +
                          "\nservice=" + service + "\n" + agent_settings);
  this->StartAgent(name);
  std::string listed_address = this->Address(name);
  if (relayed) {
    listed_address = this->AddRelay("relay-" + name, this->Address(name));
  }
  this->instances[name] = R"("role":"endpoint","address":")" + listed_address +
                          R"(","service":")" + service +
                          R"(","failure_domain":"d")";
  this->states[name] = "live";
}

std::string Fleet::AddRelay(const std::string& name, const std::string& to) {
  const std::string address = this->AllocateAddress(name);
  this->Spawn(
      name, {Binary("standin"), "relay", "--listen=" + address, "--to=" + to});
  return address;
}

void Fleet::AddPlatformRelay() {
  this->platform_address =
      this->AddRelay("relay-platform", this->Address("platform"));
}

void Fleet::StartAgent(const std::string& name) {
  this->Spawn(name, {Binary("banyanlane"), "agent",
                     "--settings=" + this->directory + "/" + name + ".ini"});
}

void Fleet::AddEntry(const std::string& name,
                     const std::string& entry_settings) {
  this->AllocateAddress(name);
  this->AllocateAddress(name + "-admin");
  std::string seeds;
  for (const auto& [agent, kind] : this->kinds)
    seeds += this->Address(agent) + ",";
  this->WriteSettings(name, "seeds=" + seeds + "\n[platform]\naddresses=" +
                                this->Address("platform") +
                                "\n[entry]\nlisten=" + this->Address(name) +
                                "\naddress=" + this->Address(name) +
                                "\naddress_keep_ms=300\n" + entry_settings);
  this->StartEntry(name);
  this->instances[name] = R"("role":"entry","address":")" +
                          this->Address(name) + R"(","failure_domain":"d")";
  this->states[name] = "live";
}

void Fleet::StartEntry(const std::string& name) {
  this->Spawn(name, {Binary("banyanlane"), "entry",
                     "--settings=" + this->directory + "/" + name + ".ini"});
}

void Fleet::PublishInstances() {
  std::string list;
  for (const auto& [name, fields] : this->instances) {
    list += (list.empty() ? "" : ",") + std::string("{\"id\":\"") + name +
            "\",\"state\":\"" + this->states[name] + "\"," + fields + "}";
  }
  http::HttpRequest put{"PUT", "/control/instances", {}, "[" + list + "]", ""};
  http::Fetch(this->Address("platform"), put, kRequestTimeout);
}

void Fleet::SetState(const std::string& name, const std::string& state) {
  this->states[name] = state;
  this->PublishInstances();
}

void Fleet::Publish(const std::string& config, std::uint64_t version) {
  http::HttpRequest put{"PUT", "/control/config", {}, config, ""};
  if (version > 0) put.target += "?version=" + std::to_string(version);
  http::Fetch(this->Address("platform"), put, kRequestTimeout);
}

void Fleet::SetPlatformMode(const std::string& mode) {
  http::Fetch(this->Address("platform"), {"PUT", "/control/mode", {}, mode, ""},
              kRequestTimeout);
}

void Fleet::Signal(const std::string& name, int signal) {
  kill(this->pids.at(name), signal);
}

void Fleet::Kill(const std::string& name) {
  this->Signal(name, SIGKILL);
  this->WaitForExit(name);
}

int Fleet::WaitForExit(const std::string& name) {
  int status = 0;
  waitpid(this->pids.at(name), &status, 0);
  this->pids.erase(name);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool Fleet::IsRunning(const std::string& name) {
  const auto found = this->pids.find(name);
  if (found == this->pids.end()) return false;
  if (waitpid(found->second, nullptr, WNOHANG) == 0) return true;
  this->pids.erase(found);
  return false;
}

pid_t Fleet::Pid(const std::string& name) const { return this->pids.at(name); }

http::HttpResponse Fleet::SendRequest(const std::string& entry,
                                      http::HttpRequest request) {
  const auto response =
      http::Fetch(this->Address(entry), request, kRequestTimeout);
  if (const kernel::Error* error = kernel::ErrorOf(response)) {
    return {0, {}, kernel::Describe(*error)};
  }
  return std::get<http::HttpResponse>(response);
}

std::string Fleet::SendRaw(const std::string& entry, const std::string& bytes) {
  const auto parsed =
      std::get<http::HostPort>(http::ParseHostPort(this->Address(entry)));
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket(io);
  socket.connect({boost::asio::ip::make_address(parsed.host), parsed.port});
  boost::asio::write(socket, boost::asio::buffer(bytes));
  std::string response;
  boost::system::error_code closed;
  boost::asio::read(socket, boost::asio::dynamic_buffer(response), closed);
  return response;
}

std::shared_ptr<ResponseRecorder> Fleet::StartRequest(
    const std::string& entry, http::HttpRequest request) {
  auto response = std::make_shared<ResponseRecorder>();
  this->StartCall(entry, std::move(request), response);
  return response;
}

std::shared_ptr<http::IHttpCall> Fleet::StartCall(
    const std::string& entry, http::HttpRequest request,
    const std::shared_ptr<ResponseRecorder>& response) {
  http::CallLimits limits;
  limits.body_idle_timeout = kRequestTimeout;
  limits.reuse_connection = this->reuse_connections;
  return this->runtime->Call(this->Address(entry), std::move(request), limits,
                             response);
}

std::string Fleet::FetchPage(const std::string& address,
                             const std::string& target) {
  http::HttpRequest request;
  request.target = target;
  const auto response = http::Fetch(address, request, kRequestTimeout);
  if (kernel::ErrorOf(response) != nullptr) return "";
  return std::get<http::HttpResponse>(response).body;
}

std::string Fleet::AdminPage(const std::string& name,
                             const std::string& target) {
  return this->FetchPage(this->Address(name + "-admin"), target);
}

std::string Fleet::ReadLog(const std::string& name) const {
  std::ifstream file(this->directory + "/" + name + ".log");
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string Fleet::Executions(const std::string& endpoint) {
  return this->FetchPage(this->Address("standin-" + endpoint),
                         "/control/executions");
}

void Fleet::AwaitEndpoints(const std::string& entry, int count) {
  const bool ready = Await([&] {
    const std::string status = this->AdminPage(entry, "/status");
    int up = 0;
    for (std::size_t at = status.find("up=true leaving=false");
         at != std::string::npos;
         at = status.find("up=true leaving=false", at + 1)) {
      ++up;
    }
    return up == count && status.find("revision=0") == std::string::npos;
  });
  if (!ready)
    throw std::runtime_error(entry + ": " + this->AdminPage(entry, "/status"));
}

bool Fleet::Await(const std::function<bool()>& condition) {
  const auto end = kernel::Clock::now() + kAwaitTimeout;
  while (kernel::Clock::now() < end) {
    if (condition()) return true;
    poll(nullptr, 0, kPollIntervalMillis);
  }
  return false;
}

http::HttpRequest Fleet::ChatRequest(const std::string& message, int tokens,
                                     bool stream) {
  const nlohmann::json body = {
      {"stream", stream},
      {"max_tokens", tokens},
      {"messages", {{{"role", "user"}, {"content", message}}}}};
  return {"POST",
          "/v1/chat/completions",
          {{"banyanlane-profile", "chat"}, {"banyanlane-organisation", "org"}},
          body.dump(),
          ""};
}

http::HttpRequest Fleet::CloseRequest(const std::string& key,
                                      const std::string& body) {
  http::HttpRequest request{
      "POST", "/tabs/close", {{"banyanlane-organisation", "org"}}, body, ""};
  if (!key.empty()) request.headers.emplace_back("idempotency-key", key);
  return request;
}

}  // namespace banyanlane::processes
