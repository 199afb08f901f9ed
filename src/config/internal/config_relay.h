#pragma once

#include <map>
#include <memory>
#include <mutex>

#include "config/i_config.h"
#include "link/i_link.h"
#include "membership/instances.h"

namespace banyanlane::config {

/// Relays configuration revisions and instance lists between peers. Announces
/// each new version to all peers, and pulls newer versions from one peer at a
/// time.
class ConfigRelay : public link::ILinkObserver {
 public:
  /// @param pull_delay Time to wait for a change from the platform before it is
  /// pulled from a peer that has it.
  ConfigRelay(std::shared_ptr<IConfigStore> store,
              std::shared_ptr<membership::IMembership> membership,
              kernel::Millis pull_delay = kernel::Millis{0});

  void OnLinkUp(const link::LinkPtr& link, kernel::TimePoint now) override;
  void OnMessage(const link::LinkPtr& link, link::Message message,
                 kernel::TimePoint now) override;
  void OnLinkDown(const link::LinkPtr& link, kernel::TimePoint now) override;

  /// Announces the revision in force to all peers.
  void AnnounceConfig(const ConfigPtr& config);
  /// Announces the version of the instance list to all peers.
  void AnnounceList(const membership::InstanceListPtr& list);

 private:
  /// State of pulling one kind of value. Until a pull times out, the same
  /// version is not pulled from another peer, so that no two peers send it.
  struct PullState {
    ConfigVersion wanted;  ///< Newest version that a peer has reported.
    /// Time at which a peer first reported a newer version than this process
    /// has.
    kernel::TimePoint peer_ahead_since;
    kernel::TimePoint requested_at;  ///< Time of the latest pull.
    bool requested = false;          ///< Whether `wanted` has been requested.
  };

  void OnPeerConfigVersion(const link::LinkPtr& link,
                           const ConfigVersion& version, kernel::TimePoint now);
  void OnPeerListVersion(const link::LinkPtr& link, std::uint64_t version,
                         kernel::TimePoint now);
  /// Returns whether to send a pull now to a peer that has reported version
  /// `wanted`. Records the pull if so.
  /// @param own_version Version that this process has.
  bool TryBeginPull(PullState& pull, const ConfigVersion& own_version,
                    const ConfigVersion& wanted, kernel::TimePoint now);
  void SendConfig(const link::LinkPtr& link) const;
  void SendList(const link::LinkPtr& link) const;
  std::vector<link::LinkPtr> Links();

  std::shared_ptr<IConfigStore> store;
  std::shared_ptr<membership::IMembership> membership;
  kernel::Millis pull_delay;
  std::mutex mutex;
  std::map<std::uint64_t, link::LinkPtr> links;
  PullState config_pull;
  PullState list_pull;
};

}  // namespace banyanlane::config
