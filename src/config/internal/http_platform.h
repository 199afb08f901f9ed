#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "config/i_platform.h"
#include "kernel/metrics.h"

namespace banyanlane::config {

/// Reads the platform over HTTP. Uses the next address after each failure.
class HttpPlatform : public IPlatform {
 public:
  HttpPlatform(std::vector<std::string> addresses,
               std::shared_ptr<kernel::Metrics> metrics);

  kernel::Result<ConfigOffer> ReadConfig(std::uint64_t after,
                                         kernel::Millis wait) override;
  kernel::Result<InstanceListText> ReadInstances(std::uint64_t after,
                                                 kernel::Millis wait) override;
  void Cancel() override { this->cancelled = true; }

 private:
  kernel::Result<std::string> Get(const std::string& path, std::uint64_t after,
                                  kernel::Millis wait);

  std::vector<std::string> addresses;
  std::shared_ptr<kernel::Metrics> metrics;
  std::atomic<std::size_t> address_index{0};
  std::atomic<bool> cancelled{false};
};

}  // namespace banyanlane::config
