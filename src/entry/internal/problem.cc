#include "entry/internal/problem.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace banyanlane::entry {
namespace {

constexpr std::uint64_t kMillisPerSecond = 1'000;

}  // namespace

http::HttpResponse ToResponse(const Problem& problem) {
  nlohmann::ordered_json body;
  body["status"] = problem.status;
  body["outcome"] = link::OutcomeName(problem.outcome);
  if (problem.attempt_outcome)
    body["attempt"] = link::OutcomeName(*problem.attempt_outcome);
  body["title"] = problem.reason;
  body["step"] = problem.step;
  if (!problem.peer.empty()) body["peer"] = problem.peer;
  if (!problem.detail.empty()) body["detail"] = problem.detail;
  http::HttpResponse response;
  response.status = problem.status;
  response.headers.emplace_back("content-type", "application/problem+json");
  if (problem.retry_after_ms) {
    body["retry_after_ms"] = *problem.retry_after_ms;
    const std::uint64_t seconds =
        (*problem.retry_after_ms + kMillisPerSecond - 1) / kMillisPerSecond;
    response.headers.emplace_back(
        "retry-after", std::to_string(std::max<std::uint64_t>(1, seconds)));
  }
  if (!problem.next_key.empty()) body["next_key"] = problem.next_key;
  constexpr auto kReplaceInvalidUtf8 = nlohmann::json::error_handler_t::replace;
  response.body = body.dump(-1, ' ', false, kReplaceInvalidUtf8) + "\n";
  return response;
}

int StatusFor(link::Reason reason, link::Outcome outcome) {
  using link::Reason;
  switch (reason) {
    case Reason::kUnknownProfile:
    case Reason::kNotFound:
      return 404;
    case Reason::kQuarantined:
      return 422;
    case Reason::kKeyConflict:
    case Reason::kKeySpent:
    case Reason::kKeyExpired:
    case Reason::kWrongIncarnation:
    case Reason::kAnswerTooLarge:
      return 409;
    case Reason::kOffsetGone:
      return 416;
    case Reason::kOrganisationLimit:
    case Reason::kFull:
      return 429;
    case Reason::kExpired:
    case Reason::kRevoked:
    case Reason::kDeadline:
      return 504;
    case Reason::kEndpointFailed:
      return 502;
    default:
      return outcome == link::Outcome::kUnknown ? 502 : 503;
  }
}

}  // namespace banyanlane::entry
