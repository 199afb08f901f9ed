#include <algorithm>

#include "direct/internal/endpoint_pool.h"

namespace banyanlane::direct {

std::vector<std::pair<std::string, std::int64_t>> EndpointPool::InFlight(
    std::size_t gateways) {
  std::vector<std::shared_ptr<Service>> all;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& entry : this->services) all.push_back(entry.second);
  }
  std::vector<std::pair<std::string, std::int64_t>> counts;
  for (const auto& service : all) {
    const std::lock_guard<std::mutex> lock(service->mutex);
    service->published_in_flight = service->in_flight;
    service->gateways = std::max<std::size_t>(1, gateways);
    for (const auto& [id, endpoint] : service->endpoints) {
      if (endpoint.in_flight > 0) counts.emplace_back(id, endpoint.in_flight);
    }
  }
  return counts;
}

std::vector<std::string> EndpointPool::Describe(kernel::TimePoint now) {
  std::vector<std::string> lines;
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (const auto& [name, service] : this->services) {
    const std::lock_guard<std::mutex> service_lock(service->mutex);
    for (const auto& [id, endpoint] : service->endpoints) {
      std::string line = id;
      const auto add = [&line](std::string_view name, std::string_view value) {
        line.append(" ").append(name).append("=").append(value);
      };
      add("service", name);
      add("address", endpoint.instance.address);
      add("state", membership::InstanceStateName(endpoint.instance.state));
      add("listed", endpoint.listed ? "yes" : "no");
      add("in_flight", std::to_string(endpoint.in_flight));
      add("elsewhere", std::to_string(this->in_flight_from_peers(id)));
      add("slots", std::to_string(this->SlotsOf(endpoint)));
      add("pace", std::to_string(this->slowdown_of(endpoint.instance.address)));
      const auto limit = this->rate_limits != nullptr
                             ? this->rate_limits->LimitOf(id, now)
                             : std::nullopt;
      if (limit) add("limit", std::to_string(*limit));
      const bool leaves =
          service->leaving.Contains(id, endpoint.instance.incarnation);
      if (leaves) add("says_leaving", "yes");
      const auto resting =
          service->rests.RestingUntil(id, endpoint.instance.incarnation, now);
      if (resting)
        add("resting_ms", std::to_string(kernel::MillisBetween(now, *resting)));
      add("ejected", now < endpoint.ejected_until ? "yes" : "no");
      lines.push_back(std::move(line));
    }
  }
  return lines;
}

}  // namespace banyanlane::direct
