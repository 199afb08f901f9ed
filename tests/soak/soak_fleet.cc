#include "soak/soak_fleet.h"

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

namespace banyanlane::soak {
namespace {

using nlohmann::json;

constexpr kernel::Millis kControlTimeout{5'000};
constexpr kernel::Millis kIdleLimit{10'000};
constexpr kernel::Millis kOtherIdleLimit{5'000};
constexpr int kUnusedRoutes = 100;
constexpr int kMaxHeaderBytes = 16 * 1024;
constexpr int kMaxBodyBytes = 4 * 1024 * 1024;
constexpr int kHeaderTimeoutMillis = 5'000;
constexpr const char* kHost = "h.example";
constexpr const char* kApiKey = "key-in-use";

std::string Standin() {
  return std::string(BANYANLANE_BINARY_DIR) + "/standin";
}

const char* TypeOf(RequestKind kind) {
  if (kind == RequestKind::kStream) return "streaming";
  return kind == RequestKind::kRepeatable ? "idempotent" : "non_idempotent";
}

json RouteOf(const RequestSpec& spec, const std::string& path) {
  json route = {{"name", path},
                {"host", kHost},
                {"pathPrefix", path},
                {"type", TypeOf(spec.kind)},
                {"goalMs", spec.goal.count()},
                {"maxAttempts", spec.attempts},
                {"service", spec.service},
                {"priority", 1}};
  if (spec.route_timeout.count() > 0)
    route["timeoutMs"] = spec.route_timeout.count();
  if (spec.kind == RequestKind::kStream) {
    route["resumable"] = true;
    route["gapGoalMs"] = spec.pause_goal.count();
  }
  return route;
}

}  // namespace

SoakFleet::SoakFleet(TrafficMix mix, GatewayProcesses processes)
    : mix(std::move(mix)),
      processes(std::move(processes)),
      entry(std::make_shared<Directory>()) {
  for (int i = 1; i <= this->mix.gateways; ++i)
    this->names.push_back("g" + std::to_string(i));
  this->entry->host = kHost;
  this->entry->api_key = kApiKey;
  this->entry->idle_limit = kIdleLimit;
}

std::vector<std::string> SoakFleet::ServersOf(
    const ServiceSpec& service) const {
  std::vector<std::string> servers;
  for (int i = 1; i <= service.servers; ++i)
    servers.push_back(service.name + std::to_string(i));
  return servers;
}

void SoakFleet::StartAll() {
  this->AllocateAddress("store");
  this->Spawn("store",
              {Standin(), "store", "--listen=" + this->Address("store")});
  Await([&] {
    const auto up = http::Fetch(this->Address("store"), {}, kControlTimeout);
    return kernel::ErrorOf(up) == nullptr;
  });
  for (const ServiceSpec& service : this->mix.services) {
    for (const std::string& server : this->ServersOf(service)) {
      this->AllocateAddress(server);
      this->Register(service, server);
    }
  }
  this->ChangeConfiguration();
  for (const std::string& gateway : this->names) {
    this->AllocateAddress(gateway);
    for (const char* suffix : {"-admin", "-link", "-ready", "-resolve"})
      this->AllocateAddress(gateway + suffix);
    this->entry->addresses.push_back(this->Address(gateway + "-resolve"));
  }
  for (const std::string& gateway : this->names) {
    this->WriteSettings(gateway, this->SettingsOf(gateway));
    this->StartGateway(gateway);
  }
}

std::string SoakFleet::SettingsOf(const std::string& gateway) const {
  std::string seeds;
  for (const std::string& seed : this->names)
    seeds += this->Address(seed + "-link") + ",";
  return "listen=" + this->Address(gateway + "-link") + "\nseeds=" + seeds +
         "\n[platform]\nstore=" + this->Address("store") +
         "\nready=" + this->Address(gateway + "-ready") +
         "\nresolve=" + this->Address(gateway + "-resolve") +
         "\npatience_ms=300\nwatch_ms=8000\n[gateway]\nlisten=" +
         this->Address(gateway) + "\naddress=" + this->Address(gateway) +
         "\ngrace_s=" + std::to_string(this->mix.grace_period.count() / 1'000) +
         "\nstall_ms=1500\nretry_ratio=0.2\nretry_slack=90\n";
}

void SoakFleet::StartGateway(const std::string& gateway) {
  std::vector<std::string> command;
  if (this->processes.descriptors > 0) {
    command = {"/usr/bin/prlimit",
               "--nofile=" + std::to_string(this->processes.descriptors)};
  }
  if (this->processes.processors > 0) {
    command.insert(command.end(),
                   {"/usr/bin/taskset", "-c",
                    "0-" + std::to_string(this->processes.processors - 1)});
  }
  command.insert(command.end(), {this->processes.binary, "gateway",
                                 "--settings=" + this->SettingsPath(gateway)});
  this->Spawn(gateway, command);
}

void SoakFleet::Write(const std::string& key, const std::string& value) {
  http::Fetch(this->Address("store"),
              {"PUT", "/control/item?key=" + key, {}, value, ""},
              kControlTimeout);
}

void SoakFleet::Register(const ServiceSpec& service,
                         const std::string& server) {
  this->Write("servers/" + server, json{{"service", service.name},
                                        {"address", this->Address(server)},
                                        {"zone", "d0"},
                                        {"version", "v1"},
                                        {"slots", service.slots},
                                        {"state", "ready"},
                                        {"warmupLeftMs", 0},
                                        {"sequence", 0},
                                        {"born", 1}}
                                       .dump());
}

void SoakFleet::ChangeConfiguration() {
  ++this->version;
  const bool is_odd = this->version % 2 == 1;
  // A new limit is in force for callers at once; connections that were idle
  // before it keep the longer of both for a while.
  this->entry->idle_limit = std::min(kIdleLimit, kOtherIdleLimit);
  json routes = json::array();
  for (const RequestSpec& spec : this->mix.requests)
    routes.push_back(RouteOf(spec, "/" + spec.name + "/"));
  for (int i = 0; i < kUnusedRoutes; ++i) {
    const std::string number = std::to_string(this->version * 7 + i);
    routes.push_back(RouteOf(this->mix.requests.front(), "/u" + number + "/"));
  }
  json services = json::array();
  for (const ServiceSpec& service : this->mix.services)
    services.push_back({{"name", service.name}, {"healthPath", "/healthz"}});
  const std::string unused_key = "key-" + std::to_string(this->version);
  const json limits = {
      {"maxHeaderBytes", kMaxHeaderBytes},
      {"maxBodyBytes", kMaxBodyBytes},
      {"headerTimeoutMs", kHeaderTimeoutMillis},
      {"idleTimeoutMs", (is_odd ? kIdleLimit : kOtherIdleLimit).count()}};
  this->Write(
      "op/config",
      json{{"version", this->version * 10},
           {"routeList", std::move(routes)},
           {"services", std::move(services)},
           {"limits", limits},
           {"tenants", {{{"name", "t1"}, {"apiKeys", {kApiKey, unused_key}}}}}}
          .dump());
}

void SoakFleet::ChangeSettings(const std::string& gateway) {
  this->heartbeat_millis = ++this->settings_version % 2 == 0 ? 1'000 : 900;
  this->WriteSettings(gateway, this->SettingsOf(gateway));
}

bool SoakFleet::IsReady(const std::string& gateway) {
  http::HttpRequest request;
  request.target = "/banyanlane/readyz";
  const auto response = http::Fetch(this->Address(gateway + "-ready"), request,
                                    kernel::Millis(500));
  return kernel::ErrorOf(response) == nullptr &&
         std::get<http::HttpResponse>(response).status == 200;
}

int SoakFleet::PeakMemory(const std::string& gateway) const {
  std::ifstream status("/proc/" + std::to_string(this->Pid(gateway)) +
                       "/status");
  std::string word;
  while (status >> word) {
    int kilobytes = 0;
    if (word == "VmHWM:" && status >> kilobytes) return kilobytes;
  }
  return 0;
}

int SoakFleet::DescriptorCount(const std::string& gateway) const {
  std::error_code failure;
  const std::filesystem::directory_iterator open(
      "/proc/" + std::to_string(this->Pid(gateway)) + "/fd", failure);
  return failure ? 0
                 : static_cast<int>(std::distance(
                       begin(open), std::filesystem::directory_iterator()));
}

}  // namespace banyanlane::soak
