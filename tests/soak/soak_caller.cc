#include "soak/soak_caller.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace banyanlane::soak {
namespace {

constexpr kernel::Millis kConnectTimeout{1'000};
constexpr kernel::Millis kPatience{60'000};
constexpr kernel::Millis kMinStreamGap{2'000};
constexpr int kMaxDirectories = 3;
constexpr int kMaxConnects = 3;
constexpr int kOk = 200;
constexpr double kReuseShare = 0.8;
constexpr double kPatientShare = 0.3;
constexpr int kPatientFactor = 3;
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{64} * 1024 * 1024;
constexpr std::uint64_t kZones = 3;

bool IsOpen(tcp::socket& socket) {
  char byte = 0;
  const ssize_t count =
      recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

const char* MethodOf(const RequestSpec& spec) {
  return spec.kind == RequestKind::kRepeatable ? "GET" : "POST";
}

/// Returns the longest pause after which a caller still waits for the next part
/// of a response.
kernel::Millis GapOf(const RequestSpec& spec) {
  constexpr int kGoals = 4;
  constexpr int kPauses = 8;
  if (spec.kind != RequestKind::kStream) return kPatience;
  return std::max(
      {kMinStreamGap, spec.goal * kGoals, spec.pause_goal * kPauses});
}

}  // namespace

SoakCaller::SoakCaller(asio::io_context& io, LossJudge& judge,
                       std::shared_ptr<Directory> directory, std::string name,
                       std::uint64_t seed)
    : io(io),
      judge(judge),
      directory(std::move(directory)),
      name(std::move(name)),
      zone("d" + std::to_string(seed % kZones)),
      random(seed),
      patience(std::bernoulli_distribution(kPatientShare)(this->random)
                   ? kPatientFactor
                   : 1) {}

int SoakCaller::Draw(double mean, int max) {
  if (mean <= 0) return 0;
  std::exponential_distribution<double> tail(1 / (mean / 2));
  const int drawn = static_cast<int>(mean / 2 + tail(this->random));
  return max > 0 ? std::min(drawn, max) : drawn;
}

WorkOrder SoakCaller::DrawWork(const RequestSpec& spec) {
  WorkOrder work;
  work.events = this->Draw(spec.mean_events, spec.max_events);
  work.prompt_tokens = this->Draw(spec.mean_prompt_tokens, 0);
  work.work_ms = this->Draw(spec.mean_work_ms, 0);
  work.response_bytes = this->Draw(spec.mean_response_bytes, 0);
  return work;
}

void SoakCaller::Send(const RequestSpec& spec, asio::yield_context yield) {
  const WorkOrder work = this->DrawWork(spec);
  const kernel::TimePoint start = kernel::Clock::now();
  const kernel::TimePoint deadline =
      start + (spec.deadline.count() > 0 ? spec.deadline : kPatience);
  this->RefreshAddresses(yield);
  const SentRequest first = this->Attempt(spec, work, deadline, yield);
  this->judge.OnEnded(first);
  const bool is_refused = first.status == 429 || first.status == 503;
  const bool has_failed =
      first.status != kOk || first.ending != Ending::kComplete;
  const bool may_repeat = spec.kind == RequestKind::kRepeatable && has_failed;
  if (!is_refused && !may_repeat) return;
  const auto left = deadline - kernel::Clock::now();
  asio::steady_timer pause(this->io);
  pause.expires_after(std::min<kernel::Clock::duration>(
      first.retry_after, std::max<kernel::Clock::duration>(left / 3, {})));
  beast::error_code ignored;
  pause.async_wait(yield[ignored]);
  if (kernel::Clock::now() >= deadline) return;
  this->judge.OnEnded(this->Attempt(spec, work, deadline, yield));
}

SoakCaller::ConnectionPtr SoakCaller::TakeKept() {
  const auto now = kernel::Clock::now();
  // Callers reuse connections up to four fifths of the idle limit.
  const kernel::Millis limit = this->directory->idle_limit * 4 / 5;
  while (!this->kept.empty()) {
    const ConnectionPtr connection = this->kept.back();
    this->kept.pop_back();
    const bool is_listed =
        std::find(this->addresses.begin(), this->addresses.end(),
                  connection->gateway) != this->addresses.end();
    if (is_listed && now - connection->idle_since < limit &&
        IsOpen(connection->stream.socket()))
      return connection;
  }
  return nullptr;
}

SoakCaller::ConnectionPtr SoakCaller::Open(asio::yield_context yield) {
  for (int i = 0; i < kMaxConnects; ++i) {
    std::vector<std::string> usable;
    for (const std::string& address : this->addresses) {
      if (this->failed.count(address) == 0) usable.push_back(address);
    }
    if (usable.empty()) usable = this->addresses;
    if (usable.empty()) return nullptr;
    const std::string address =
        usable[std::uniform_int_distribution<std::size_t>(
            0, usable.size() - 1)(this->random)];
    auto connection = std::make_shared<Connection>(this->io, address);
    connection->stream.expires_after(kConnectTimeout);
    beast::error_code failure;
    connection->stream.async_connect(EndpointOf(address), yield[failure]);
    if (!failure) {
      connection->stream.socket().set_option(tcp::no_delay(true));
      return connection;
    }
    this->failed.insert(address);
  }
  return nullptr;
}

SentRequest SoakCaller::Attempt(const RequestSpec& spec, const WorkOrder& work,
                                kernel::TimePoint deadline,
                                asio::yield_context yield) {
  SentRequest sent;
  sent.id = this->name + "-" + std::to_string(++this->sent);
  sent.spec = &spec;
  sent.deadline = deadline;
  const bool reuses = std::bernoulli_distribution(kReuseShare)(this->random);
  ConnectionPtr connection = reuses ? this->TakeKept() : nullptr;
  sent.on_kept_connection = connection != nullptr;
  if (!connection) connection = this->Open(yield);
  sent.sent_at = sent.ended_at = kernel::Clock::now();
  if (!connection) return sent;
  sent.gateway = connection->gateway;
  beast::http::request<beast::http::string_body> request;
  request.method_string(MethodOf(spec));
  request.target("/" + spec.name + "/x");
  request.set("host", this->directory->host);
  request.set("authorization", "Bearer " + this->directory->api_key);
  request.set("x-request-id", sent.id);
  request.set(kWorkField, FormatWork(work));
  const auto left = kernel::MillisBetween(kernel::Clock::now(), deadline);
  if (spec.deadline.count() > 0)
    request.set("x-deadline-ms", std::to_string(left));
  request.body() = std::string(
      static_cast<std::size_t>(this->Draw(spec.mean_request_bytes, 0)), 'x');
  request.prepare_payload();
  beast::error_code failure;
  connection->stream.expires_at(deadline);
  beast::http::async_write(connection->stream, request, yield[failure]);
  sent.sent_at = sent.ended_at = kernel::Clock::now();
  if (failure) {
    sent.ending = Ending::kNoResponse;
    return sent;
  }
  this->ReadResponse(*connection, work, deadline, sent, yield);
  if (sent.ending == Ending::kComplete && connection->stream.socket().is_open())
    this->kept.push_back(connection);
  return sent;
}

void SoakCaller::ReadResponse(Connection& connection, const WorkOrder& work,
                              kernel::TimePoint deadline, SentRequest& sent,
                              asio::yield_context yield) {
  ResponseParser parser;
  parser.body_limit(kMaxBodyBytes);
  beast::error_code failure;
  const kernel::Millis gap = GapOf(*sent.spec);
  while (!failure && !parser.is_done()) {
    connection.stream.expires_at(
        std::min(deadline, kernel::Clock::now() + gap));
    beast::http::async_read_some(connection.stream, connection.buffer, parser,
                                 yield[failure]);
  }
  sent.ended_at = kernel::Clock::now();
  if (parser.is_header_done())
    sent.status = static_cast<int>(parser.get().result_int());
  const bool is_complete = !failure && parser.is_done();
  if (!is_complete) {
    sent.ending = Ending::kTruncated;
    if (!parser.got_some() || !parser.is_header_done())
      sent.ending = Ending::kNoResponse;
    if (failure == beast::error::timeout) sent.ending = Ending::kCallerLeft;
    return;
  }
  sent.ending = Ending::kComplete;
  sent.has_whole_body =
      sent.status != kOk || parser.get().body() == BodyOf(sent.id, work);
  const std::string retry_after = FieldOf(parser.get(), "retry-after");
  if (!retry_after.empty())
    sent.retry_after =
        kernel::Millis(static_cast<int>(std::stod(retry_after) * 1'000));
  connection.stream.expires_never();
  connection.idle_since = kernel::Clock::now();
  if (!parser.keep_alive()) connection.stream.close();
}

void SoakCaller::RefreshAddresses(asio::yield_context yield) {
  if (kernel::Clock::now() < this->addresses_until) return;
  std::vector<std::string> directories = this->directory->addresses;
  std::shuffle(directories.begin(), directories.end(), this->random);
  if (directories.size() > kMaxDirectories) directories.resize(kMaxDirectories);
  for (const std::string& address : directories) {
    const auto body = this->FetchAddresses(address, yield);
    if (!body) continue;
    this->AdoptAddresses(*body);
    return;
  }
}

std::optional<std::string> SoakCaller::FetchAddresses(
    const std::string& directory_address, asio::yield_context yield) {
  beast::tcp_stream stream(this->io);
  stream.expires_after(kConnectTimeout);
  beast::error_code failure;
  stream.async_connect(EndpointOf(directory_address), yield[failure]);
  if (failure) return std::nullopt;
  beast::http::request<beast::http::empty_body> request;
  request.method(beast::http::verb::get);
  request.target("/banyanlane/resolve?name=" + this->directory->host +
                 "&region=r&zone=" + this->zone);
  request.set("host", directory_address);
  beast::http::async_write(stream, request, yield[failure]);
  beast::flat_buffer buffer;
  beast::http::response<beast::http::string_body> response;
  if (!failure)
    beast::http::async_read(stream, buffer, response, yield[failure]);
  if (failure || response.result_int() != kOk) return std::nullopt;
  return response.body();
}

void SoakCaller::AdoptAddresses(const std::string& body) {
  const auto parsed = nlohmann::json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("addresses")) return;
  const auto listed = parsed["addresses"].get<std::vector<std::string>>();
  if (listed.empty()) return;
  this->addresses = listed;
  this->failed.clear();
  const double seconds = parsed.value("ttlS", 1.0) * this->patience;
  this->addresses_until =
      kernel::Clock::now() + kernel::Millis(static_cast<int>(seconds * 1'000));
}

}  // namespace banyanlane::soak
