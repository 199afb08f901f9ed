#include "direct/internal/route_table.h"

#include "kernel/text.h"

namespace banyanlane::direct {
namespace {

std::string HostWithoutPort(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  const bool is_v6_literal = !host.empty() && host.back() == ']';
  if (colon != std::string_view::npos && !is_v6_literal)
    host = host.substr(0, colon);
  return kernel::ToLower(host);
}

}  // namespace

RouteTable::RouteTable(config::ConfigPtr config) : snapshot(std::move(config)) {
  for (const auto& [name, profile] : this->snapshot->profiles) {
    this->by_host[kernel::ToLower(profile.host)][profile.path_prefix] =
        &profile;
  }
}

const config::Profile* RouteTable::Find(std::string_view host,
                                        std::string_view path) const {
  auto routes = this->by_host.find(HostWithoutPort(host));
  if (routes == this->by_host.end()) routes = this->by_host.find("");
  if (routes == this->by_host.end()) return nullptr;
  std::size_t end = path.rfind('/');
  while (end != std::string_view::npos) {
    const auto found =
        routes->second.find(std::string(path.substr(0, end + 1)));
    if (found != routes->second.end()) return found->second;
    if (end == 0) break;
    end = path.rfind('/', end - 1);
  }
  return nullptr;
}

}  // namespace banyanlane::direct
