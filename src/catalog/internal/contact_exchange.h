#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "catalog/i_store_contact.h"
#include "catalog/internal/contact_monitor.h"
#include "config/i_config.h"
#include "link/i_link.h"
#include "membership/instances.h"

namespace banyanlane::catalog {

/// Exchanges with linked gateways how long ago the store has responded.
class ContactExchange : public IStoreContact, public link::ILinkObserver {
 public:
  /// @param node id of this process.
  ContactExchange(std::string node, const ContactLimits& limits);

  /// Sets the stores with which the versions of peers are compared. Call it
  /// before the first link is open.
  void SetStores(std::shared_ptr<config::IConfigStore> config,
                 std::shared_ptr<membership::IMembership> membership);

  std::optional<kernel::Millis> ConfigAge(kernel::TimePoint now) override;
  std::optional<kernel::Millis> EndpointsAge(kernel::TimePoint now) override;

  void OnLinkUp(const link::LinkPtr& link, kernel::TimePoint now) override;
  void OnMessage(const link::LinkPtr& link, link::Message message,
                 kernel::TimePoint now) override;
  void OnLinkDown(const link::LinkPtr& link, kernel::TimePoint now) override;

  ContactMonitor& config_contact() { return this->config_monitor; }
  ContactMonitor& endpoints_contact() { return this->endpoints_monitor; }

  /// Returns the number of linked gateways that ask the store before this one.
  /// @param prefix key prefix of the items; for each one, the order differs.
  std::size_t Rank(const std::string& prefix);

 private:
  const std::string node;
  ContactMonitor config_monitor;
  ContactMonitor endpoints_monitor;
  std::shared_ptr<config::IConfigStore> config;
  std::shared_ptr<membership::IMembership> membership;
  std::mutex mutex;  ///< Guards `gateways`.
  /// Ids of the linked gateways, by the id of the link.
  std::map<std::uint64_t, std::string> gateways;
};

}  // namespace banyanlane::catalog
