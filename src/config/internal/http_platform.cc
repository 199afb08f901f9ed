#include "config/internal/http_platform.h"

#include <nlohmann/json.hpp>

#include "http/i_http_runtime.h"
#include "kernel/hash.h"

namespace banyanlane::config {
namespace {

using nlohmann::json;

/// Time by which the time-out of a read exceeds the time for which the platform
/// waits for a change.
constexpr kernel::Millis kResponseMargin{1'500};
constexpr int kNotModified = 304;
constexpr int kOk = 200;

kernel::Error Malformed(const std::string& detail) {
  return kernel::Error{kernel::ErrorCode::kInvalidMessage, "read_platform",
                       "platform", detail};
}

}  // namespace

HttpPlatform::HttpPlatform(std::vector<std::string> addresses,
                           std::shared_ptr<kernel::Metrics> metrics)
    : addresses(std::move(addresses)), metrics(std::move(metrics)) {}

kernel::Result<std::string> HttpPlatform::Get(const std::string& path,
                                              std::uint64_t after,
                                              kernel::Millis wait) {
  http::HttpRequest request;
  request.target = path + "?after=" + std::to_string(after) +
                   "&wait_ms=" + std::to_string(wait.count());
  const std::string address =
      this->addresses[this->address_index % this->addresses.size()];
  this->metrics->Count("banyanlane_platform_reads_total");
  const auto fetched =
      http::Fetch(address, request, wait + kResponseMargin, &this->cancelled);
  if (const kernel::Error* error = kernel::ErrorOf(fetched)) {
    ++this->address_index;
    kernel::Error failed = *error;
    failed.code = kernel::ErrorCode::kUnreachable;
    return failed;
  }
  const auto& response = std::get<http::HttpResponse>(fetched);
  if (response.status == kNotModified) {
    return kernel::Error{kernel::ErrorCode::kTimeout, "read_platform", address,
                         "no change"};
  }
  if (response.status != kOk) {
    ++this->address_index;
    return kernel::Error{kernel::ErrorCode::kUnreachable, "read_platform",
                         address, "status " + std::to_string(response.status)};
  }
  return response.body;
}

kernel::Result<ConfigOffer> HttpPlatform::ReadConfig(std::uint64_t after,
                                                     kernel::Millis wait) {
  const auto body = this->Get("/v1/config", after, wait);
  if (const kernel::Error* error = kernel::ErrorOf(body)) return *error;
  const json parsed = json::parse(std::get<0>(body), nullptr, false);
  if (!parsed.is_object() || !parsed.contains("revision") ||
      !parsed.contains("value") || !parsed["revision"].is_number_unsigned() ||
      !parsed["value"].is_string()) {
    return Malformed("configuration lacks a revision or a value");
  }
  ConfigOffer offer;
  offer.revision = parsed["revision"].get<std::uint64_t>();
  offer.value = parsed["value"].get<std::string>();
  offer.digest = kernel::Digest(offer.value);
  return offer;
}

kernel::Result<InstanceListText> HttpPlatform::ReadInstances(
    std::uint64_t after, kernel::Millis wait) {
  const auto body = this->Get("/v1/instances", after, wait);
  if (const kernel::Error* error = kernel::ErrorOf(body)) return *error;
  const json parsed = json::parse(std::get<0>(body), nullptr, false);
  if (!parsed.is_object() || !parsed.contains("version") ||
      !parsed["version"].is_number_unsigned()) {
    return Malformed("list of instances lacks a version");
  }
  return InstanceListText{parsed["version"].get<std::uint64_t>(),
                          std::get<0>(body)};
}

}  // namespace banyanlane::config
