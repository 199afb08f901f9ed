#pragma once

#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "admin/i_status_board.h"
#include "http/i_http_handler.h"
#include "kernel/audit_trail.h"
#include "kernel/metrics.h"

namespace banyanlane::admin {

/// Serves /status, /metrics, /audit and /explain.
class AdminHandler : public IStatusBoard, public http::IHttpHandler {
 public:
  AdminHandler(std::shared_ptr<kernel::AuditTrail> audit,
               std::shared_ptr<kernel::Metrics> metrics);

  void AddSection(std::string name,
                  std::function<std::vector<std::string>()> lines) override;
  void SetExplain(
      std::function<std::string(const http::HttpRequest&)> explain) override;
  void Handle(http::IHttpExchange& exchange) override;

 private:
  std::string RenderStatus();
  std::string RenderAudit() const;

  std::shared_ptr<kernel::AuditTrail> audit;
  std::shared_ptr<kernel::Metrics> metrics;
  std::mutex mutex;
  std::vector<std::pair<std::string, std::function<std::vector<std::string>()>>>
      sections;
  std::function<std::string(const http::HttpRequest&)> explain;
};

}  // namespace banyanlane::admin
