#pragma once

#include <memory>
#include <string>
#include <vector>

#include "processes/fleet.h"
#include "soak/soak.h"
#include "soak/soak_caller.h"
#include "soak/traffic_mix.h"

namespace banyanlane::soak {

/// Processes of a soak: a store and gateways.
class SoakFleet : public processes::Fleet {
 public:
  SoakFleet(TrafficMix mix, GatewayProcesses processes);

  /// Starts the store, registers the servers, publishes the first configuration
  /// and starts the gateways.
  void StartAll();
  const std::vector<std::string>& gateways() const { return this->names; }
  /// Names of all servers of a service.
  std::vector<std::string> ServersOf(const ServiceSpec& service) const;
  const std::shared_ptr<Directory>& directory() const { return this->entry; }

  /// Publishes a configuration that differs from the last one in what no
  /// request notices: unused routes, the idle time of connections, goals and an
  /// unused key.
  void ChangeConfiguration();
  /// Writes the settings file of a gateway with another heartbeat interval.
  void ChangeSettings(const std::string& gateway);
  void StartGateway(const std::string& gateway);
  /// Returns whether the gateway says that it is ready.
  bool IsReady(const std::string& gateway);
  /// Returns the largest memory use of a process so far, in kB.
  int PeakMemory(const std::string& gateway) const;
  int DescriptorCount(const std::string& gateway) const;

 private:
  void Write(const std::string& key, const std::string& value);
  void Register(const ServiceSpec& service, const std::string& server);
  std::string SettingsOf(const std::string& gateway) const;

  const TrafficMix mix;
  const GatewayProcesses processes;
  std::vector<std::string> names;
  std::shared_ptr<Directory> entry;
  int version = 0;
  int settings_version = 0;
};

}  // namespace banyanlane::soak
