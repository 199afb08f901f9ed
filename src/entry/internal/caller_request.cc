#include "entry/internal/caller_request.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

#include "kernel/hash.h"
#include "kernel/text.h"

namespace banyanlane::entry {
namespace {

using nlohmann::json;

constexpr std::string_view kProfileHeader = "banyanlane-profile";
constexpr std::string_view kOrganisationHeader = "banyanlane-organisation";
constexpr std::string_view kDeadlineHeader = "banyanlane-deadline-ms";
constexpr std::string_view kPriorityHeader = "banyanlane-priority";
constexpr std::string_view kKeyHeader = "idempotency-key";
constexpr std::size_t kMaxOrganisationBytes = 128;
constexpr std::size_t kAffinityPrefixBytes = 1'024;
constexpr std::uint64_t kMaxPriority = 9;

/// Returns the profile named in the header. Without the header, returns the
/// service profile with the longest matching path prefix, or null.
const config::Profile* ChooseProfile(const http::HttpRequest& request,
                                     const config::ConfigSnapshot& config) {
  const std::string name = http::HeaderOf(request.headers, kProfileHeader);
  if (!name.empty()) return config.FindProfile(name);
  const std::string path = request.Path();
  const config::Profile* best_match = nullptr;
  for (const auto& [profile_name, profile] : config.profiles) {
    if (profile.work_class != config::WorkClass::kService) continue;
    if (!kernel::StartsWith(path, profile.path_prefix)) continue;
    const bool is_longer =
        best_match == nullptr ||
        profile.path_prefix.size() > best_match->path_prefix.size();
    if (is_longer) best_match = &profile;
  }
  return best_match;
}

/// Reads an optional numeric header into `value`, which stays unchanged if the
/// header is missing.
/// @return False if the header is not a number.
bool ReadNumber(const http::HttpRequest& request, std::string_view name,
                std::uint64_t& value) {
  const std::string text = http::HeaderOf(request.headers, name);
  if (text.empty()) return true;
  const auto number = kernel::ParseNumber<std::uint64_t>(text);
  value = number.value_or(value);
  return number.has_value();
}

/// Returns the first kAffinityPrefixBytes bytes of the first message's text.
/// They are equal for requests that share a prompt prefix of that length.
std::string PromptPrefix(const json& body) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty())
    return "";
  const json& first = messages->front();
  if (!first.is_object() || !first.contains("content") ||
      !first["content"].is_string())
    return "";
  return first["content"].get<std::string>().substr(0, kAffinityPrefixBytes);
}

std::optional<Problem> ReadChatBody(CallerRequest& checked) {
  const json body = json::parse(checked.body, nullptr, false);
  if (!body.is_object())
    return MakeRequestProblem(400, "invalid_body",
                              "the body is not a JSON object");
  if (!body.contains("messages") || !body["messages"].is_array()) {
    return MakeRequestProblem(400, "invalid_body",
                              "messages: required list is missing");
  }
  checked.reserved_tokens =
      static_cast<std::uint64_t>(checked.profile->max_output_tokens);
  const auto max_tokens = body.find("max_tokens");
  if (max_tokens != body.end()) {
    if (!max_tokens->is_number_unsigned() ||
        max_tokens->get<std::uint64_t>() == 0) {
      return MakeRequestProblem(400, "invalid_body",
                                "max_tokens: not a positive integer");
    }
    checked.reserved_tokens =
        std::min(checked.reserved_tokens, max_tokens->get<std::uint64_t>());
  }
  const auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_boolean()) {
    return MakeRequestProblem(400, "invalid_body", "stream: not a boolean");
  }
  checked.non_streaming = stream == body.end() || !stream->get<bool>();
  checked.affinity = checked.profile->service + "\n" + PromptPrefix(body);
  return std::nullopt;
}

bool IsForwarded(std::string_view name) {
  return !kernel::StartsWith(name, "banyanlane-") && name != "host" &&
         name != "expect";
}

std::optional<Problem> ReadHeaders(const http::HttpRequest& request,
                                   CallerRequest& checked) {
  checked.organisation = OrganisationOf(request);
  if (checked.organisation.empty()) {
    return MakeRequestProblem(400, "missing_organisation",
                              "header Banyanlane-Organisation is required");
  }
  if (checked.organisation.size() > kMaxOrganisationBytes) {
    return MakeRequestProblem(400, "invalid_organisation",
                              "longer than 128 characters");
  }
  const auto max_deadline_ms =
      static_cast<std::uint64_t>(checked.profile->deadline_ms);
  checked.deadline_ms = max_deadline_ms;
  if (!ReadNumber(request, kDeadlineHeader, checked.deadline_ms)) {
    return MakeRequestProblem(400, "invalid_deadline",
                              "Banyanlane-Deadline-Ms: not a number");
  }
  if (checked.deadline_ms == 0) {
    return MakeRequestProblem(504, "deadline_past",
                              "the deadline is already past");
  }
  checked.deadline_ms = std::min(checked.deadline_ms, max_deadline_ms);
  const auto priority_ceiling =
      static_cast<std::uint64_t>(checked.profile->priority_ceiling);
  checked.priority = priority_ceiling;
  const bool valid = ReadNumber(request, kPriorityHeader, checked.priority);
  if (!valid || checked.priority > kMaxPriority) {
    return MakeRequestProblem(400, "invalid_priority",
                              "Banyanlane-Priority: not within 0..9");
  }
  checked.priority = std::min(checked.priority, priority_ceiling);
  checked.key = http::HeaderOf(request.headers, kKeyHeader);
  return std::nullopt;
}

std::optional<Problem> CheckPath(const http::HttpRequest& request,
                                 const config::Profile& profile) {
  const std::string path = request.Path();
  const bool is_chat = path == kChatPath;
  if (is_chat != (profile.work_class == config::WorkClass::kChat)) {
    return MakeRequestProblem(
        400, "wrong_profile",
        "profile " + profile.name + " does not serve " + path);
  }
  if (is_chat && request.method != "POST") {
    return MakeRequestProblem(405, "wrong_method", "chat requests are POST");
  }
  if (!is_chat && !kernel::StartsWith(path, profile.path_prefix)) {
    return MakeRequestProblem(
        404, "wrong_path",
        "profile " + profile.name + " serves " + profile.path_prefix);
  }
  return std::nullopt;
}

}  // namespace

Problem MakeRequestProblem(int status, std::string reason, std::string detail) {
  Problem problem;
  problem.status = status;
  problem.reason = std::move(reason);
  problem.step = "check_request";
  problem.detail = std::move(detail);
  return problem;
}

std::string OrganisationOf(const http::HttpRequest& request) {
  return http::HeaderOf(request.headers, kOrganisationHeader);
}

std::variant<CallerRequest, Problem> CheckRequest(
    const http::HttpRequest& request, const config::ConfigPtr& config) {
  const config::Profile* profile = ChooseProfile(request, *config);
  if (profile == nullptr) {
    const std::string name = http::HeaderOf(request.headers, kProfileHeader);
    return MakeRequestProblem(
        404, "unknown_profile",
        name.empty() ? "no profile is named and none serves this path"
                     : "profile '" + name + "' is not published");
  }
  if (auto problem = CheckPath(request, *profile)) return *problem;
  CallerRequest checked;
  checked.config = config;
  checked.profile = profile;
  checked.method = request.method;
  checked.target = request.target;
  checked.body = request.body;
  if (auto problem = ReadHeaders(request, checked)) return *problem;
  if (profile->work_class == config::WorkClass::kChat) {
    if (auto problem = ReadChatBody(checked)) return *problem;
  } else {
    checked.reserved_tokens = 1;
    checked.affinity = checked.organisation + request.Path();
  }
  for (const auto& [name, value] : request.headers) {
    if (IsForwarded(name)) checked.headers.emplace_back(name, value);
  }
  checked.fingerprint =
      kernel::Digest(profile->name + '\n' + request.method + ' ' +
                     request.target + '\n' + request.body);
  return checked;
}

}  // namespace banyanlane::entry
