#include "http/i_http_handler.h"

namespace banyanlane::http {

HttpResponse IHttpHandler::RefuseOverload(const HttpRequest& /*request*/,
                                          const std::string& reason) {
  HttpResponse response;
  response.status = 503;
  response.headers = {{"content-type", "application/problem+json"},
                      {"retry-after", "1"}};
  response.body =
      "{\"outcome\":\"not_run\",\"status\":503,\"step\":\"accept\","
      "\"title\":\"" +
      reason + "\"}\n";
  return response;
}

}  // namespace banyanlane::http
