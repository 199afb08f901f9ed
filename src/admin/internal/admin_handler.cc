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
  std::function<std::string(const http::HttpRequest&)> explain_now;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    explain_now = this->explain;
  }
  if (path == "/explain" && explain_now) {
    exchange.Reply(TextResponse(200, explain_now(exchange.request())));
    return;
  }
  exchange.Reply(
      TextResponse(404, "there is /status, /metrics, /audit and /explain\n"));
}

std::string AdminHandler::RenderStatus() {
  std::vector<std::pair<std::string, std::function<std::vector<std::string>()>>>
      to_render;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    to_render = this->sections;
  }
  std::string text;
  for (const auto& [name, lines] : to_render) {
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
