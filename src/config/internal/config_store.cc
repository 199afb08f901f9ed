#include "config/internal/config_store.h"

#include "kernel/event_log.h"
#include "kernel/hash.h"

namespace banyanlane::config {

using kernel::AuditKind;
using kernel::EventId;

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
  if (offer.revision <= in_force)
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
                    {"profiles", std::to_string(snapshot->profiles.size())},
                    {"source", std::string(source)}});
  for (const auto& observer : observers_to_call) observer(snapshot);
  return OfferOutcome::kAdopted;
}

OfferOutcome ConfigStore::CompareWithCurrent(const ConfigOffer& offer,
                                             std::string_view source) {
  const ConfigPtr current_config = this->Current();
  const bool same_revision = offer.revision == current_config->revision;
  if (same_revision && offer.digest == current_config->digest)
    return OfferOutcome::kSame;
  if (same_revision)
    return this->Refuse(offer, source, "same revision with another value");
  this->audit->Record(AuditKind::kConfigSuperseded, offer.digest,
                      offer.revision,
                      "revision " + std::to_string(current_config->revision) +
                          " is in force; offered by " + std::string(source),
                      std::chrono::system_clock::now());
  kernel::LogEvent(EventId::kConfigSuperseded,
                   {{"revision", std::to_string(offer.revision)},
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
