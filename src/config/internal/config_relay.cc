#include "config/internal/config_relay.h"

namespace banyanlane::config {
namespace {

/// Time after which an unanswered pull can be sent again. No timer does this:
/// the next peer that reports a newer version receives the pull.
constexpr kernel::Millis kPullTimeout{700};

}  // namespace

ConfigRelay::ConfigRelay(std::shared_ptr<IConfigStore> store,
                         std::shared_ptr<membership::IMembership> membership,
                         kernel::Millis pull_delay)
    : store(std::move(store)),
      membership(std::move(membership)),
      pull_delay(pull_delay) {}

void ConfigRelay::OnLinkUp(const link::LinkPtr& link, kernel::TimePoint now) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->links[link->id()] = link;
  }
  this->OnPeerConfigVersion(link, VersionOf(link->peer()), now);
  this->OnPeerListVersion(link, link->peer().list_version, now);
}

void ConfigRelay::OnLinkDown(const link::LinkPtr& link,
                             kernel::TimePoint /*now*/) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->links.erase(link->id());
}

void ConfigRelay::OnMessage(const link::LinkPtr& link, link::Message message,
                            kernel::TimePoint now) {
  if (const auto* heartbeat = std::get_if<link::Heartbeat>(&message)) {
    this->OnPeerConfigVersion(link, VersionOf(*heartbeat), now);
    this->OnPeerListVersion(link, heartbeat->list_version, now);
  }
  if (const auto* announce = std::get_if<link::ConfigAnnounce>(&message)) {
    this->OnPeerConfigVersion(link, VersionOf(*announce), now);
  }
  if (const auto* announce = std::get_if<link::ListAnnounce>(&message)) {
    this->OnPeerListVersion(link, announce->version, now);
  }
  if (std::holds_alternative<link::ConfigPull>(message)) this->SendConfig(link);
  if (std::holds_alternative<link::ListPull>(message)) this->SendList(link);
  if (auto* received = std::get_if<link::ConfigValue>(&message)) {
    const ConfigOffer offer{received->revision, received->digest,
                            std::move(received->value.bytes), received->era,
                            received->confirmed};
    this->store->Offer(offer, link->peer().node, now);
  }
  if (const auto* received = std::get_if<link::ListValue>(&message)) {
    this->membership->Offer(received->text.bytes, link->peer().node, now);
  }
}

void ConfigRelay::OnPeerConfigVersion(const link::LinkPtr& link,
                                      const ConfigVersion& version,
                                      kernel::TimePoint now) {
  const ConfigPtr current = this->store->Current();
  const ConfigVersion own = current ? VersionOf(*current) : ConfigVersion{};
  if (Replaces(version, own) &&
      this->TryBeginPull(this->config_pull, own, version, now)) {
    link->Send(link::ConfigPull{own.revision});
  }
}

void ConfigRelay::OnPeerListVersion(const link::LinkPtr& link,
                                    std::uint64_t version,
                                    kernel::TimePoint now) {
  const auto current = this->membership->Current();
  const std::uint64_t own_version = current ? current->version : 0;
  if (version > own_version &&
      this->TryBeginPull(this->list_pull, {own_version}, {version}, now)) {
    link->Send(link::ListPull{own_version});
  }
}

bool ConfigRelay::TryBeginPull(PullState& pull,
                               const ConfigVersion& own_version,
                               const ConfigVersion& wanted,
                               kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (Replaces(wanted, pull.wanted)) {
    // The delay starts again only if this process already has the version that
    // was wanted so far.
    const bool caught_up = !Replaces(pull.wanted, own_version);
    if (caught_up) pull.peer_ahead_since = now;
    pull.wanted = wanted;
    pull.requested = false;
  }
  if (now - pull.peer_ahead_since < this->pull_delay) return false;
  if (pull.requested && now - pull.requested_at < kPullTimeout) return false;
  pull.requested = true;
  pull.requested_at = now;
  return true;
}

void ConfigRelay::SendConfig(const link::LinkPtr& link) const {
  const ConfigPtr current = this->store->Current();
  if (!current) return;
  link->Send(link::ConfigValue{current->revision, current->era,
                               current->confirmed, current->digest,
                               link::Blob{current->value}});
}

void ConfigRelay::SendList(const link::LinkPtr& link) const {
  const auto current = this->membership->Current();
  if (current) link->Send(link::ListValue{link::Blob{current->text}});
}

void ConfigRelay::AnnounceConfig(const ConfigPtr& config) {
  for (const link::LinkPtr& link : this->Links()) {
    link->Send(
        link::ConfigAnnounce{config->revision, config->era, config->confirmed});
  }
}

void ConfigRelay::AnnounceList(const membership::InstanceListPtr& list) {
  for (const link::LinkPtr& link : this->Links())
    link->Send(link::ListAnnounce{list->version});
}

std::vector<link::LinkPtr> ConfigRelay::Links() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<link::LinkPtr> all;
  for (const auto& [id, link] : this->links) all.push_back(link);
  return all;
}

}  // namespace banyanlane::config
