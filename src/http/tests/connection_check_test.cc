#include <criterion/criterion.h>

#include <future>

#include "http/i_http_runtime.h"

namespace banyanlane::http {
namespace {

class NoHandler : public IHttpHandler {
 public:
  void Handle(IHttpExchange& exchange) override { exchange.Abort(); }
};

ConnectionCheck Check(IHttpRuntime& runtime, const std::string& address) {
  std::promise<ConnectionCheck> result;
  runtime.CheckConnection(
      address, kernel::Millis(5'000),
      [&result](ConnectionCheck check) { result.set_value(check); });
  return result.get_future().get();
}

}  // namespace

Test(connection_check, tells_a_listening_address_from_a_closed_one) {
  const auto runtime = MakeHttpRuntime();
  runtime->Start(1);
  auto server =
      OpenServer(*runtime, "127.0.0.1:0", std::make_shared<NoHandler>());
  const std::string address = "127.0.0.1:" + std::to_string(server->port());
  cr_assert(Check(*runtime, address) == ConnectionCheck::kAccepted);
  server->StopAccepting();
  // The listening socket is closed by a thread of the runtime.
  ConnectionCheck result = ConnectionCheck::kAccepted;
  while (result == ConnectionCheck::kAccepted)
    result = Check(*runtime, address);
  cr_assert(result == ConnectionCheck::kRefused);
  cr_assert(Check(*runtime, "nowhere") == ConnectionCheck::kNoReply);
  runtime->Stop();
}

}  // namespace banyanlane::http
