#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "link/i_link.h"
#include "peers/internal/peer_table.h"

namespace banyanlane::peers {

/// Exchanges state updates with gateways and rank agents over links.
class PeerGossip : public IPeers, public link::ILinkObserver {
 public:
  PeerGossip(PeerTable table, std::vector<std::string> seeds,
             std::shared_ptr<link::ILinkHub> hub);

  std::vector<Peer> LiveGateways(kernel::TimePoint now) override;
  std::int64_t InFlightFromPeers(const std::string& endpoint) override;
  double SlowdownOf(const std::string& engine_address) override;
  std::vector<Peer> PeersOfRole(const std::string& role) override;
  void SetExtraLinks(std::vector<std::string> addresses) override;
  void Publish(LocalState state, kernel::TimePoint now) override;

  void OnLinkUp(const link::LinkPtr& link, kernel::TimePoint now) override;
  void OnMessage(const link::LinkPtr& link, link::Message message,
                 kernel::TimePoint now) override;
  void OnLinkDown(const link::LinkPtr& link, kernel::TimePoint now) override;

  /// Replaces the seed addresses. Links to them are opened even before any
  /// state update of the processes there has arrived.
  void SetSeeds(std::vector<std::string> seeds);

  /// Opens links to all processes that this one should be linked to.
  void UpdateLinkTargets();

 private:
  std::vector<link::LinkPtr> Links();
  /// Returns whether states of other processes are sent over `link`. Between
  /// two rank agents they are not: both receive them from gateways, and a
  /// leader has a link to every rank.
  bool CarriesOtherStates(const link::LinkPtr& link) const;
  void ForwardStates(const link::PeerStates& states,
                     const link::LinkPtr& except);

  std::mutex mutex;
  PeerTable table;
  std::vector<std::string> seeds;
  /// Addresses set by SetExtraLinks.
  std::vector<std::string> extra_addresses;
  std::vector<std::string> targets;
  std::shared_ptr<link::ILinkHub> hub;
  std::map<std::uint64_t, link::LinkPtr> links;
};

}  // namespace banyanlane::peers
