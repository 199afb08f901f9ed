#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "kernel/result.h"
#include "kernel/time.h"

namespace banyanlane::catalog {

/// Item of the platform's read-only key-value store, or the removal of one.
struct CatalogItem {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;  ///< Store revision of the last change.
  bool removed = false;
  /// Era of the store in which the item was read, or 0 if unknown. Each time
  /// the store is restored from an older copy, an era begins, and the store
  /// assigns the revisions after that of the copy again.
  std::uint64_t era = 0;
  /// Whether the item is known not to be a restored copy whose successors were
  /// lost.
  bool confirmed = false;
};

/// Some of the items, or changes of items, with the store revision at which
/// they were read.
struct CatalogPage {
  std::vector<CatalogItem> items;
  std::uint64_t revision = 0;
  bool more = false;  ///< Whether further items follow the last one.
  /// Era of the store, or nothing if the response does not give it.
  std::optional<std::uint64_t> era = std::nullopt;
};

/// Response to a watch whose start revision is not in the store's history,
/// because it is too old, or because the store was restored from an older copy.
struct HistoryUnavailable {
  std::optional<std::uint64_t> era = std::nullopt;
};

/// Result of one call of ICatalog.
using CatalogResponse =
    std::variant<CatalogPage, HistoryUnavailable, kernel::Error>;

/// Call in progress.
class ICatalogCall {
 public:
  virtual ~ICatalogCall() = default;
  /// Cancels the call. The receiver may still be called, usually with an error.
  virtual void Cancel() = 0;
};

/// Client of the platform's store. All calls count against a shared rate limit.
class ICatalog {
 public:
  using Receiver = std::function<void(CatalogResponse)>;

  virtual ~ICatalog() = default;

  /// Reads one page of the items under `prefix` whose keys sort after
  /// `after_key`.
  /// @param timeout maximum duration of the call.
  /// @param receive called with the result.
  virtual std::shared_ptr<ICatalogCall> ReadPage(const std::string& prefix,
                                                 const std::string& after_key,
                                                 kernel::Millis timeout,
                                                 Receiver receive) = 0;

  /// Waits for changes under `prefix` that are later than `after_revision`.
  /// @param wait maximum time that the store waits for a change.
  /// @param timeout maximum duration of the whole call.
  /// @param receive called with the result.
  virtual std::shared_ptr<ICatalogCall> Watch(const std::string& prefix,
                                              std::uint64_t after_revision,
                                              kernel::Millis wait,
                                              kernel::Millis timeout,
                                              Receiver receive) = 0;
};

}  // namespace banyanlane::catalog
