#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "kernel/result.h"
#include "kernel/time.h"

namespace banyanlane::catalog {

/// One item of the platform's read-only store, or the removal of one.
struct CatalogItem {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;  ///< Of the last change.
  bool removed = false;
};

/// Some items, and the revision of the whole store at which they were read.
struct CatalogPage {
  std::vector<CatalogItem> items;
  std::uint64_t revision = 0;
  bool more = false;  ///< Further items come after the last key.
};

/// The store no longer has the changes that a watch asked for.
struct HistoryUnavailable {};

/// What one call came to.
using CatalogResponse =
    std::variant<CatalogPage, HistoryUnavailable, kernel::Error>;

/// A call in progress.
class ICatalogCall {
 public:
  virtual ~ICatalogCall() = default;
  /// Ends the call; its answer is dropped.
  virtual void Cancel() = 0;
};

/// Reads the platform's store. Each call counts against a shared rate.
class ICatalog {
 public:
  using Receiver = std::function<void(CatalogResponse)>;

  virtual ~ICatalog() = default;

  /// Reads the items under `prefix` whose keys come after `after_key`.
  virtual std::shared_ptr<ICatalogCall> ReadPage(const std::string& prefix,
                                                 const std::string& after_key,
                                                 kernel::Millis timeout,
                                                 Receiver receive) = 0;

  /// Waits up to `wait` for changes under `prefix` later than
  /// `after_revision`. @param timeout bound on the whole call.
  virtual std::shared_ptr<ICatalogCall> Watch(const std::string& prefix,
                                              std::uint64_t after_revision,
                                              kernel::Millis wait,
                                              kernel::Millis timeout,
                                              Receiver receive) = 0;
};

}  // namespace banyanlane::catalog
