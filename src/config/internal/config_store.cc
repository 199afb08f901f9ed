#include "config/internal/config_store.h"

#include "kernel/event_log.h"
#include "kernel/hash.h"

namespace banyanlane::config {

using kernel::AuditKind;
using kernel::EventId;

namespace {

std::uint64_t EraOf(const ConfigPtr& config) {
  return config ? config->era : 0;
}

}  // namespace

ConfigStore::ConfigStore(std::shared_ptr<kernel::AuditTrail> audit,
                         std::shared_ptr<const IConfigFormat> format)
    : audit(std::move(audit)), format(std::move(format)) {}

ConfigPtr ConfigStore::Current() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->current;
}

void ConfigStore::Subscribe(std::function<void(const ConfigPtr&)> observer) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->observers.push_back(std::move(observer));
}

OfferOutcome ConfigStore::Offer(const ConfigOffer& offer,
                                std::string_view source,
                                kernel::TimePoint /*now*/) {
  const std::lock_guard<std::mutex> adoption_lock(this->adoption_mutex);
  const ConfigPtr previous = this->Current();
  const std::uint64_t in_force = previous ? previous->revision : 0;
  const bool is_in_force = previous && offer.revision == in_force &&
                           offer.digest == previous->digest;
  if (is_in_force) {
    this->UpdateVersion(offer, *previous);
    return OfferOutcome::kSame;
  }
  const ConfigVersion current_version =
      previous ? VersionOf(*previous) : ConfigVersion{};
  if (!Replaces(VersionOf(offer), current_version))
    return this->CompareWithCurrent(offer, source);
  if (offer.digest != kernel::Digest(offer.value)) {
    return this->Refuse(offer, source, "digest does not match the value");
  }
  auto parsed = this->format->Parse(
      offer.value, "revision " + std::to_string(offer.revision));
  if (const kernel::Error* error = kernel::ErrorOf(parsed)) {
    return this->Refuse(offer, source, error->detail);
  }
  auto snapshot = std::make_shared<ConfigSnapshot>(
      std::move(std::get<ConfigSnapshot>(parsed)));
  snapshot->revision = offer.revision;
  snapshot->era = offer.era;
  snapshot->confirmed = offer.confirmed;
  std::vector<std::function<void(const ConfigPtr&)>> observers_to_call;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->current = snapshot;
    observers_to_call = this->observers;
  }
  this->audit->Record(AuditKind::kConfigAdopted, snapshot->digest,
                      offer.revision, "offered by " + std::string(source),
                      std::chrono::system_clock::now());
  kernel::LogEvent(EventId::kConfigAdopted,
                   {{"revision", std::to_string(offer.revision)},
                    {"before", std::to_string(in_force)},
                    {"era", std::to_string(offer.era)},
                    {"confirmed", offer.confirmed ? "yes" : "no"},
                    {"profiles", std::to_string(snapshot->profiles.size())},
                    {"source", std::string(source)}});
  for (const auto& observer : observers_to_call) observer(snapshot);
  return OfferOutcome::kAdopted;
}

void ConfigStore::UpdateVersion(const ConfigOffer& offer,
                                const ConfigSnapshot& in_force) {
  const bool is_later = offer.era > in_force.era;
  const bool is_confirmation =
      offer.era == in_force.era && offer.confirmed && !in_force.confirmed;
  if (!is_later && !is_confirmation) return;
  auto updated = std::make_shared<ConfigSnapshot>(in_force);
  updated->era = offer.era;
  updated->confirmed = offer.confirmed;
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->current = std::move(updated);
}

OfferOutcome ConfigStore::CompareWithCurrent(const ConfigOffer& offer,
                                             std::string_view source) {
  const ConfigPtr current_config = this->Current();
  const std::uint64_t in_force = current_config ? current_config->revision : 0;
  if (offer.revision == in_force && offer.era >= EraOf(current_config))
    return this->Refuse(offer, source, "same revision with another value");
  this->audit->Record(AuditKind::kConfigSuperseded, offer.digest,
                      offer.revision,
                      "revision " + std::to_string(in_force) +
                          " is in force; offered by " + std::string(source),
                      std::chrono::system_clock::now());
  kernel::LogEvent(EventId::kConfigSuperseded,
                   {{"revision", std::to_string(offer.revision)},
                    {"era", std::to_string(offer.era)},
                    {"source", std::string(source)}});
  return OfferOutcome::kOlder;
}

OfferOutcome ConfigStore::Refuse(const ConfigOffer& offer,
                                 std::string_view source,
                                 const std::string& reason) {
  const bool repeated = this->last_refused_revision == offer.revision &&
                        this->last_refused_digest == offer.digest;
  this->last_refused_revision = offer.revision;
  this->last_refused_digest = offer.digest;
  if (repeated) return OfferOutcome::kRefused;
  this->audit->Record(AuditKind::kConfigRefused, offer.digest, offer.revision,
                      reason + "; offered by " + std::string(source),
                      std::chrono::system_clock::now());
  kernel::LogEvent(EventId::kConfigRefused,
                   {{"revision", std::to_string(offer.revision)},
                    {"source", std::string(source)},
                    {"reason", reason}});
  return OfferOutcome::kRefused;
}

}  // namespace banyanlane::config
