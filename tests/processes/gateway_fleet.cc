#include "processes/gateway_fleet.h"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

namespace banyanlane::processes {
namespace {

using nlohmann::json;

constexpr kernel::Millis kControlTimeout{5'000};
constexpr int kOk = 200;

std::string Binary(const std::string& name) {
  return std::string(BANYANLANE_BINARY_DIR) + "/" + name;
}

json Route(const std::string& path, const std::string& type) {
  return {{"name", path},       {"host", "h.example"},
          {"pathPrefix", path}, {"type", type},
          {"timeoutMs", 5'000}, {"goalMs", 500},
          {"maxAttempts", 2},   {"service", "model"},
          {"priority", 0},      {"resumable", type == "streaming"}};
}

}  // namespace

void GatewayFleet::StartAll(const std::vector<std::string>& servers,
                            const std::vector<std::string>& gateways) {
  this->StartStore();
  for (const std::string& server : servers) this->AddServer(server);
  this->PublishRoutes(1, {});
  for (const std::string& gateway : gateways) this->AddGateway(gateway);
  for (const std::string& gateway : gateways) {
    cr_assert(this->AwaitServed(gateway, "/plain/a"));
    for (const std::string& server : servers) {
      cr_assert(
          Await([&] { return this->ListsServer(gateway, server, "live"); }));
    }
  }
}

void GatewayFleet::StartStore() {
  this->AllocateAddress("store");
  this->Spawn("store", {Binary("standin"), "store",
                        "--listen=" + this->Address("store")});
  Await([&] {
    const auto up = http::Fetch(this->Address("store"), {}, kControlTimeout);
    return kernel::ErrorOf(up) == nullptr;
  });
}

void GatewayFleet::Write(const std::string& key, const std::string& value) {
  http::Fetch(this->Address("store"),
              {"PUT", "/control/item?key=" + key, {}, value, ""},
              kControlTimeout);
}

void GatewayFleet::CommandStore(const std::string& command,
                                const std::string& body) {
  http::Fetch(this->Address("store"),
              {"PUT", "/control/" + command, {}, body, ""}, kControlTimeout);
}

void GatewayFleet::PublishRoutes(int version,
                                 const std::vector<std::string>& extra_paths) {
  json routes = {Route("/plain/", "idempotent"),
                 Route("/stream/", "streaming")};
  for (const std::string& path : extra_paths)
    routes.push_back(Route(path, "idempotent"));
  this->Write("op/config", json{{"version", version},
                                {"routeList", std::move(routes)},
                                {"services", {{{"name", "model"}}}}}
                               .dump());
}

void GatewayFleet::AddServer(const std::string& name) {
  this->AllocateAddress(name);
  this->StartServer(name);
  this->Register(name, "ready");
}

std::string GatewayFleet::AddOwnServer(const std::string& name, int slots) {
  const std::string address = this->AllocateAddress(name);
  this->starts[name] = ++this->writes;
  this->Register(name, "ready", slots);
  return address;
}

void GatewayFleet::StartServer(const std::string& name) {
  this->starts[name] = ++this->writes;
  this->Spawn(name, {Binary("standin"), "server",
                     "--listen=" + this->Address(name), "--id=" + name});
  Await([&] {
    return !this->FetchPage(this->Address(name), "/control/executions").empty();
  });
}

void GatewayFleet::Register(const std::string& name, const std::string& state,
                            int slots) {
  this->Write("servers/" + name, json{{"service", "model"},
                                      {"address", this->Address(name)},
                                      {"zone", "d0"},
                                      {"version", "v1"},
                                      {"slots", slots},
                                      {"state", state},
                                      {"warmupLeftMs", 0},
                                      {"sequence", ++this->writes},
                                      {"born", this->starts.at(name)}}
                                     .dump());
}

void GatewayFleet::AddGateway(const std::string& name) {
  this->AllocateAddress(name);
  for (const char* suffix : {"-admin", "-link", "-ready", "-resolve"})
    this->AllocateAddress(name + suffix);
  this->WriteSettings(
      name,
      "listen=" + this->Address(name + "-link") + "\nseeds=" + this->links +
          "\n[platform]\nstore=" + this->Address("store") +
          "\nready=" + this->Address(name + "-ready") +
          "\nresolve=" + this->Address(name + "-resolve") +
          "\npatience_ms=100\nwatch_ms=" + std::to_string(this->watch_ms) +
          "\n[gateway]\nlisten=" + this->Address(name) +
          "\naddress=" + this->Address(name) + "\nretry_slack=1000\n" +
          this->gateway_settings);
  this->links += this->Address(name + "-link") + ",";
  this->StartGateway(name);
}

void GatewayFleet::StartGateway(const std::string& name) {
  this->Spawn(name, {Binary("banyanlane"), "gateway",
                     "--settings=" + this->SettingsPath(name)});
}

void GatewayFleet::NameLimit(const std::string& server,
                             const std::string& per_second) {
  http::Fetch(this->Address(server),
              {"PUT", "/control/limit", {}, per_second, ""}, kControlTimeout);
}

void GatewayFleet::Refuse(const std::string& server,
                          const std::string& retry_after, bool proven) {
  http::Fetch(this->Address(server),
              {"PUT",
               proven ? "/control/refuse" : "/control/refuse?unproven=1",
               {},
               retry_after,
               ""},
              kControlTimeout);
}

void GatewayFleet::SetLeaving(const std::string& server, bool leaving) {
  http::Fetch(this->Address(server),
              {"PUT", "/control/leaving", {}, leaving ? "1" : "0", ""},
              kControlTimeout);
}

int GatewayFleet::ArrivalCount(const std::string& server) {
  return std::stoi("0" +
                   this->FetchPage(this->Address(server), "/control/arrivals"));
}

void GatewayFleet::CrashOn(const std::string& server, const std::string& path) {
  http::Fetch(this->Address(server), {"PUT", "/control/crash", {}, path, ""},
              kControlTimeout);
}

bool GatewayFleet::ListsServer(const std::string& gateway,
                               const std::string& server,
                               const std::string& state) {
  const std::string page = this->AdminPage(gateway, "/status");
  const std::size_t line = page.find(server + " service=");
  const std::size_t end = page.find('\n', line);
  return line != std::string::npos &&
         page.substr(line, end - line).find("state=" + state) !=
             std::string::npos;
}

bool GatewayFleet::AwaitServed(const std::string& gateway,
                               const std::string& path) {
  return Await([&] { return this->Post(gateway, path, "").status == kOk; });
}

http::HttpRequest GatewayFleet::MakePost(const std::string& path,
                                         const std::string& body,
                                         const http::Headers& headers) {
  http::HttpRequest request{"POST", path, headers, body, ""};
  request.authority = "h.example";
  if (http::HeaderOf(headers, "x-request-id").empty()) {
    request.headers.emplace_back("x-request-id",
                                 "r" + std::to_string(++this->sent_requests));
  }
  request.headers.emplace_back("x-deadline-ms", "5000");
  return request;
}

http::HttpResponse GatewayFleet::Post(const std::string& gateway,
                                      const std::string& path,
                                      const std::string& body,
                                      const http::Headers& headers) {
  return this->SendRequest(gateway, this->MakePost(path, body, headers));
}

std::shared_ptr<ResponseRecorder> GatewayFleet::StartPost(
    const std::string& gateway, const std::string& path,
    const std::string& body) {
  return this->StartRequest(gateway, this->MakePost(path, body, {}));
}

void GatewayFleet::SendAndClose(const std::string& gateway,
                                const std::string& path,
                                const std::string& body) {
  const auto response = std::make_shared<ResponseRecorder>();
  const auto call =
      this->StartCall(gateway, this->MakePost(path, body, {}), response);
  Await([&] { return response->status() != 0 || response->finished(); });
  call->Abort();
}

int GatewayFleet::RunCount(const std::string& server) {
  const std::string page =
      this->FetchPage(this->Address(server), "/control/executions");
  const json counts = json::parse(page, nullptr, false);
  int total = 0;
  if (!counts.is_object()) return total;
  for (const auto& count : counts) total += count.get<int>();
  return total;
}

}  // namespace banyanlane::processes
