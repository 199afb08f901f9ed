#include "admin/internal/admin_handler.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace banyanlane::admin {
namespace {

http::HttpResponse TextResponse(int status, std::string text) {
  return {
      status, {{"content-type", "text/plain; charset=utf-8"}}, std::move(text)};
}

}  // namespace

AdminHandler::AdminHandler(std::shared_ptr<kernel::AuditTrail> audit,
                           std::shared_ptr<kernel::Metrics> metrics)
    : audit(std::move(audit)), metrics(std::move(metrics)) {}

void AdminHandler::AddSection(std::string name,
                              std::function<std::vector<std::string>()> lines) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->sections.emplace_back(std::move(name), std::move(lines));
}

void AdminHandler::SetExplain(
    std::function<std::string(const http::HttpRequest&)> explain) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->explain = std::move(explain);
}

void AdminHandler::Handle(http::IHttpExchange& exchange) {
  const std::string path = exchange.request().Path();
  if (path == "/status") {
    exchange.Reply(TextResponse(200, this->RenderStatus()));
    return;
  }
  if (path == "/metrics") {
    exchange.Reply(TextResponse(200, this->metrics->Render()));
    return;
  }
  if (path == "/audit") {
    exchange.Reply(TextResponse(200, this->RenderAudit()));
    return;
  }
  std::function<std::string(const http::HttpRequest&)> current_explain;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    current_explain = this->explain;
  }
  if (path == "/explain" && current_explain) {
    exchange.Reply(TextResponse(200, current_explain(exchange.request())));
    return;
  }
  exchange.Reply(
      TextResponse(404, "there is /status, /metrics, /audit and /explain\n"));
}

std::string AdminHandler::RenderStatus() {
  std::vector<std::pair<std::string, std::function<std::vector<std::string>()>>>
      current_sections;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    current_sections = this->sections;
  }
  std::string text;
  for (const auto& [name, lines] : current_sections) {
    text += name + ":\n";
    for (const std::string& line : lines()) text += "  " + line + "\n";
  }
  return text;
}

std::string AdminHandler::RenderAudit() const {
  std::string text;
  for (const kernel::AuditRecord& record : this->audit->Records()) {
    const std::time_t seconds = std::chrono::system_clock::to_time_t(record.at);
    text += fmt::format(
        "{} {:%Y-%m-%dT%H:%M:%SZ} {} subject=\"{}\" revision={} cause=\"{}\"\n",
        record.number, fmt::gmtime(seconds), kernel::AuditKindName(record.kind),
        record.subject, record.revision, record.cause);
  }
  return text;
}

}  // namespace banyanlane::admin
