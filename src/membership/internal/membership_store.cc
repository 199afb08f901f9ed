#include "membership/internal/membership_store.h"

#include "kernel/event_log.h"

namespace banyanlane::membership {

using kernel::EventId;

InstanceListPtr MembershipStore::Current() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->current;
}

void MembershipStore::Subscribe(
    std::function<void(const InstanceListPtr&)> observer) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->observers.push_back(std::move(observer));
}

bool MembershipStore::Offer(std::string_view text, std::string_view source,
                            kernel::TimePoint /*now*/) {
  const std::lock_guard<std::mutex> adoption(this->adoption_mutex);
  auto parsed = ParseInstanceList(text);
  if (const kernel::Error* error = kernel::ErrorOf(parsed)) {
    kernel::LogEvent(
        EventId::kInstanceListRefused,
        {{"source", std::string(source)}, {"reason", error->detail}});
    return false;
  }
  auto list = std::make_shared<const InstanceList>(
      std::get<InstanceList>(std::move(parsed)));
  const InstanceListPtr previous = this->Current();
  if (previous && list->version <= previous->version) return false;
  std::vector<std::function<void(const InstanceListPtr&)>> current_observers;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->current = list;
    current_observers = this->observers;
  }
  kernel::LogEvent(EventId::kInstanceListChanged,
                   {{"version", std::to_string(list->version)},
                    {"instances", std::to_string(list->instances.size())},
                    {"source", std::string(source)}});
  for (const auto& observer : current_observers) observer(list);
  return true;
}

}  // namespace banyanlane::membership
