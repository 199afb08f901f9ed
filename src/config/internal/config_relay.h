#pragma once

#include <map>
#include <memory>
#include <mutex>

#include "config/i_config.h"
#include "link/i_link.h"
#include "membership/instances.h"

namespace banyanlane::config {

/// Passes revisions and lists of instances between peers: announces what is new
/// here, and pulls what is newer there from one peer at a time.
class ConfigRelay : public link::ILinkObserver {
 public:
  /// @param patience how long a change that a peer has may take to arrive from
  /// the platform before the peer is asked for it.
  ConfigRelay(std::shared_ptr<IConfigStore> store,
              std::shared_ptr<membership::IMembership> membership,
              kernel::Millis patience = kernel::Millis{0});

  void OnLinkUp(const link::LinkPtr& link, kernel::TimePoint now) override;
  void OnMessage(const link::LinkPtr& link, link::Message message,
                 kernel::TimePoint now) override;
  void OnLinkDown(const link::LinkPtr& link, kernel::TimePoint now) override;

  /// Tells all peers of the revision in force.
  void AnnounceConfig(const ConfigPtr& config);
  /// Tells all peers of the newest list.
  void AnnounceList(const membership::InstanceListPtr& list);

 private:
  /// What peers have and this process lacks. One pull is on its way at a time,
  /// so that no second peer sends the same value.
  struct Pull {
    std::uint64_t wanted = 0;
    kernel::TimePoint seen_at;  ///< When a peer was first seen ahead.
    kernel::TimePoint asked_at;
    bool asked = false;  ///< For `wanted`.
  };

  void OnPeerRevision(const link::LinkPtr& link, std::uint64_t revision,
                      kernel::TimePoint now);
  void OnPeerList(const link::LinkPtr& link, std::uint64_t version,
                  kernel::TimePoint now);
  /// @return whether to ask for `wanted` now.
  bool BeginPull(Pull& pull, std::uint64_t have, std::uint64_t wanted,
                 kernel::TimePoint now);
  void SendConfig(const link::LinkPtr& link) const;
  void SendList(const link::LinkPtr& link) const;
  std::vector<link::LinkPtr> Links();

  std::shared_ptr<IConfigStore> store;
  std::shared_ptr<membership::IMembership> membership;
  kernel::Millis patience;
  std::mutex mutex;
  std::map<std::uint64_t, link::LinkPtr> links;
  Pull config_pull;
  Pull list_pull;
};

}  // namespace banyanlane::config
