#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <csignal>
#include <iostream>

#include "http/i_http_runtime.h"
#include "standins/relay_standin.h"
#include "standins/standins.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on");
ABSL_FLAG(std::string, to, "",
          "address that the relay forwards connections to");
ABSL_FLAG(std::string, id, "", "instance id of the server");
ABSL_FLAG(int, token_millis, 5,
          "milliseconds between two tokens of the engine");

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const auto arguments = absl::ParseCommandLine(argc, argv);
  const std::string kind = arguments.size() > 1 ? arguments[1] : "";
  if (kind == "relay") {
    return banyanlane::standins::RunRelay(absl::GetFlag(FLAGS_listen),
                                          absl::GetFlag(FLAGS_to));
  }
  std::shared_ptr<banyanlane::http::IHttpHandler> handler;
  if (kind == "platform") handler = banyanlane::standins::MakePlatform();
  if (kind == "engine") {
    handler =
        banyanlane::standins::MakeEngine(absl::GetFlag(FLAGS_token_millis));
  }
  if (kind == "service") handler = banyanlane::standins::MakeService();
  if (kind == "store") handler = banyanlane::standins::MakeStore();
  if (kind == "server")
    handler = banyanlane::standins::MakeServer(absl::GetFlag(FLAGS_id));
  if (!handler) {
    std::cerr << "standin: expected one of platform, engine, service, relay, "
                 "store, server\n";
    return 2;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const auto runtime = banyanlane::http::MakeHttpRuntime();
  const auto server = runtime->Listen(absl::GetFlag(FLAGS_listen), handler, {});
  if (const auto* error = banyanlane::kernel::ErrorOf(server)) {
    std::cerr << banyanlane::kernel::Describe(*error) << "\n";
    return 1;
  }
  runtime->Start(1);
  int received = 0;
  sigwait(&signals, &received);
  _exit(0);
}
