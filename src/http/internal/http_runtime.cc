#include <condition_variable>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <thread>
#include <vector>

#include "http/i_http_runtime.h"
#include "http/internal/connection_tracker.h"
#include "http/internal/http_call.h"
#include "http/internal/http_server.h"
#include "http/internal/memory_budget.h"

namespace banyanlane::http {
namespace {

constexpr kernel::Millis kCancelCheckPeriod{50};
/// Interval of the checks for idle connections whose idle time has ended, and
/// so the maximum delay in closing them.
constexpr kernel::Millis kIdleCheckPeriod{1'000};

/// Runs a task periodically on the thread pool.
class PeriodicTask : public std::enable_shared_from_this<PeriodicTask> {
 public:
  PeriodicTask(asio::io_context& io, kernel::Millis period,
               std::function<void(kernel::TimePoint)> task)
      : timer(io), period(period), task(std::move(task)) {}

  void Schedule() {
    this->timer.expires_after(this->period);
    this->timer.async_wait(
        [self = this->shared_from_this()](const beast::error_code& failure) {
          if (failure) return;
          self->task(kernel::Clock::now());
          self->Schedule();
        });
  }

 private:
  asio::steady_timer timer;
  kernel::Millis period;
  std::function<void(kernel::TimePoint)> task;
};

class HttpRuntime : public IHttpRuntime {
 public:
  explicit HttpRuntime(const ServerCapacity& capacity)
      : resources{std::make_shared<ConnectionTracker>(capacity.connections,
                                                      capacity.patience),
                  std::make_shared<MemoryBudget>(capacity.body_bytes),
                  std::make_shared<MemoryBudget>(capacity.head_bytes),
                  std::make_shared<MemoryBudget>(capacity.response_bytes),
                  capacity.chunk_overhead} {}
  ~HttpRuntime() override { this->Stop(); }

  kernel::Result<std::shared_ptr<IHttpServer>> Listen(
      const std::string& address, std::shared_ptr<IHttpHandler> handler,
      const ServerLimits& limits) override {
    const auto endpoint = ResolveAddress(address);
    if (const kernel::Error* error = kernel::ErrorOf(endpoint)) return *error;
    auto server = std::make_shared<HttpServer>(this->io, std::move(handler),
                                               limits, this->resources);
    const auto opened = server->Open(std::get<0>(endpoint));
    if (const kernel::Error* error = kernel::ErrorOf(opened)) return *error;
    return std::shared_ptr<IHttpServer>(server);
  }

  std::shared_ptr<IHttpCall> Call(
      const std::string& address, HttpRequest request, const CallLimits& limits,
      std::shared_ptr<IHttpCallObserver> observer) override {
    auto call = std::make_shared<HttpCall>(this->io, this->cache, address,
                                           std::move(request), limits,
                                           std::move(observer));
    call->Start();
    return call;
  }

  void CheckConnection(const std::string& address, kernel::Millis timeout,
                       std::function<void(ConnectionCheck)> report) override {
    const auto endpoint = ResolveAddress(address);
    if (kernel::ErrorOf(endpoint) != nullptr) {
      report(ConnectionCheck::kNoReply);
      return;
    }
    const auto stream =
        std::make_shared<StrandStream>(asio::make_strand(this->io));
    stream->expires_after(timeout);
    stream->async_connect(
        std::get<0>(endpoint),
        [stream, report = std::move(report)](const beast::error_code& failure) {
          // A connection is reset if its listener closes while it is opened.
          const bool is_refused = failure == asio::error::connection_refused ||
                                  failure == asio::error::connection_reset;
          if (failure) {
            report(is_refused ? ConnectionCheck::kRefused
                              : ConnectionCheck::kNoReply);
            return;
          }
          stream->close();
          report(ConnectionCheck::kAccepted);
        });
  }

  void Every(kernel::Millis period,
             std::function<void(kernel::TimePoint)> task) override {
    std::make_shared<PeriodicTask>(this->io, period, std::move(task))
        ->Schedule();
  }

  void Start(int threads) override {
    this->Every(
        kIdleCheckPeriod, [resources = this->resources](kernel::TimePoint now) {
          resources.tracker->CloseExpired(now);
          resources.tracker->ReleaseMemory(
              CallerWait::kRequest, resources.bodies->QueuedBytes(), now);
        });
    for (int i = 0; i < threads; ++i) {
      this->pool.emplace_back([this] { this->io.run(); });
    }
  }

  void Stop() override {
    this->io.stop();
    for (std::thread& thread : this->pool) thread.join();
    this->pool.clear();
  }

 private:
  asio::io_context io;
  SharedResources resources;
  std::shared_ptr<ConnectionCache> cache = std::make_shared<ConnectionCache>();
  asio::executor_work_guard<asio::io_context::executor_type> work_guard{
      io.get_executor()};
  std::vector<std::thread> pool;
};

/// Collects the result of a call.
class FetchObserver : public IHttpCallObserver {
 public:
  void OnHead(int status, const Headers& headers) override {
    this->response.status = status;
    this->response.headers = headers;
  }
  void OnData(std::string_view data) override { this->response.body += data; }
  void OnEnd() override { this->result = this->response; }
  void OnFailed(const kernel::Error& error, SendState /*state*/) override {
    this->result = error;
  }

  std::optional<kernel::Result<HttpResponse>> result;

 private:
  HttpResponse response;
};

}  // namespace

std::shared_ptr<IHttpServer> OpenServer(IHttpRuntime& runtime,
                                        const std::string& address,
                                        std::shared_ptr<IHttpHandler> handler) {
  auto opened = runtime.Listen(address, std::move(handler), ServerLimits{});
  if (const kernel::Error* error = kernel::ErrorOf(opened))
    throw std::runtime_error(kernel::Describe(*error));
  return std::get<std::shared_ptr<IHttpServer>>(std::move(opened));
}

std::shared_ptr<IHttpRuntime> MakeHttpRuntime(const ServerCapacity& capacity) {
  return std::make_shared<HttpRuntime>(capacity);
}

kernel::Result<HttpResponse> Fetch(const std::string& address,
                                   const HttpRequest& request,
                                   kernel::Millis timeout,
                                   const std::atomic<bool>* cancelled) {
  asio::io_context io;
  auto observer = std::make_shared<FetchObserver>();
  const CallLimits limits{timeout, timeout, timeout};
  std::make_shared<HttpCall>(io, nullptr, address, request, limits, observer)
      ->Start();
  const kernel::TimePoint deadline = kernel::Clock::now() + timeout;
  while (!observer->result && kernel::Clock::now() < deadline) {
    if (cancelled != nullptr && *cancelled) break;
    io.run_for(kCancelCheckPeriod);
    io.restart();
  }
  if (observer->result) return *observer->result;
  return kernel::Error{kernel::ErrorCode::kTimeout, "fetch", address,
                       "no response before the timeout"};
}

}  // namespace banyanlane::http
