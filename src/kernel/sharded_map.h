#pragma once

#include <array>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace banyanlane::kernel {

/// Map that is split into shards with one lock each. Thread-safe.
template <typename Key, typename Value, std::size_t kShards = 16>
class ShardedMap {
 public:
  /// Calls `visit` on the value of `key` under the lock of its shard. Inserts a
  /// default-constructed value if the key is absent.
  /// @param visit is called with the lock held, so it must not use this map or
  /// call other modules.
  /// @return the result of `visit`.
  template <typename Visit>
  auto With(const Key& key, Visit visit) {
    Shard& shard = this->ShardOf(key);
    const std::lock_guard<std::mutex> lock(shard.mutex);
    return visit(shard.values[key]);
  }

  /// Returns a copy of the value of `key`, or nullopt.
  std::optional<Value> Find(const Key& key) {
    Shard& shard = this->ShardOf(key);
    const std::lock_guard<std::mutex> lock(shard.mutex);
    const auto found = shard.values.find(key);
    if (found == shard.values.end()) return std::nullopt;
    return found->second;
  }

  void Set(const Key& key, Value value) {
    Shard& shard = this->ShardOf(key);
    const std::lock_guard<std::mutex> lock(shard.mutex);
    shard.values.insert_or_assign(key, std::move(value));
  }

  /// Removes `key`.
  /// @return whether the key was present.
  bool Erase(const Key& key) {
    Shard& shard = this->ShardOf(key);
    const std::lock_guard<std::mutex> lock(shard.mutex);
    return shard.values.erase(key) > 0;
  }

  /// Removes `key` if it is present and `remove` returns true for its value.
  template <typename Predicate>
  void EraseKeyIf(const Key& key, Predicate remove) {
    Shard& shard = this->ShardOf(key);
    const std::lock_guard<std::mutex> lock(shard.mutex);
    const auto found = shard.values.find(key);
    if (found != shard.values.end() && remove(found->second))
      shard.values.erase(found);
  }

  /// Removes each entry for whose key and value `remove` returns true.
  template <typename Predicate>
  void EraseIf(Predicate remove) {
    for (Shard& shard : this->shards) {
      const std::lock_guard<std::mutex> lock(shard.mutex);
      for (auto it = shard.values.begin(); it != shard.values.end();) {
        it = remove(it->first, it->second) ? shard.values.erase(it)
                                           : std::next(it);
      }
    }
  }

  /// Returns copies of all values. Each shard is locked in turn, so the result
  /// is not a consistent snapshot.
  std::vector<Value> Values() {
    std::vector<Value> all;
    for (Shard& shard : this->shards) {
      const std::lock_guard<std::mutex> lock(shard.mutex);
      for (const auto& entry : shard.values) all.push_back(entry.second);
    }
    return all;
  }

  /// Returns the number of values in all shards.
  std::size_t Size() {
    std::size_t size = 0;
    for (Shard& shard : this->shards) {
      const std::lock_guard<std::mutex> lock(shard.mutex);
      size += shard.values.size();
    }
    return size;
  }

 private:
  struct Shard {
    std::mutex mutex;
    std::unordered_map<Key, Value> values;
  };

  Shard& ShardOf(const Key& key) {
    return this->shards[std::hash<Key>{}(key) % kShards];
  }

  std::array<Shard, kShards> shards;
};

}  // namespace banyanlane::kernel
