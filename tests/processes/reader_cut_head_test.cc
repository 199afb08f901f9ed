#include <criterion/criterion.h>

#include <array>
#include <cstdio>
#include <future>
#include <mutex>

#include "config/internal/http_platform.h"
#include "processes/cut_responses.h"
#include "rank_engine.h"
#include "store_catalog.h"

namespace banyanlane::processes {
namespace {

constexpr kernel::Millis kTimeout{5'000};

/// What a reader makes of a response.
enum class Reading {
  kTaken,
  kFailed,
  kLate,  ///< The reader's time was up, as it can be on a busy machine.
};

/// Server whose next response is cut.
class CuttingServer {
 public:
  CuttingServer()
      : server("127.0.0.1:0", [this](const std::string& /*head*/, int index) {
          return this->Respond(index);
        }) {}

  const std::string& address() const { return this->server.address(); }
  void Prepare(CutResponse response) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->response = std::move(response);
    this->requests = 0;
  }
  /// Returns the number of requests since the last Prepare.
  int Requests() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->requests;
  }
  /// Returns whether the first of them came on a connection in use before.
  bool WasReused() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->was_reused;
  }

 private:
  CutResponse Respond(int index) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->requests++ == 0) this->was_reused = index > 0;
    return this->response;
  }

  std::mutex mutex;
  CutResponse response;
  int requests = 0;
  bool was_reused = false;
  CutServer server;  ///< Last, since its thread uses the other members.
};

std::vector<WholeResponse> ResponsesWith(const std::string& status,
                                         const std::string& body) {
  const std::string start = "HTTP/1.1 " + status + "\r\nx-stamp: s\r\n";
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
  std::array<char, 8> size{};
  std::snprintf(size.data(), size.size(), "%zx", body.size());
  const std::string chunk =
      body.empty() ? "" : std::string(size.data()) + "\r\n" + body + "\r\n";
  return {
      {"length",
       start + "content-length: " + std::to_string(body.size()) + "\r\n\r\n",
       body, body},
      {"chunks", interim + start + "transfer-encoding: chunked\r\n\r\n",
       chunk + "0\r\nx-t: 1\r\n\r\n", body}};
}

/// Lets the reader read a response, again for as long as it is late.
/// @param warm_up response to a read before it, unless it is empty.
Reading ReadOne(CuttingServer& server, const CutResponse& response,
                const std::string& warm_up,
                const std::function<Reading()>& read) {
  Reading reading = Reading::kLate;
  while (reading == Reading::kLate) {
    if (!warm_up.empty()) {
      server.Prepare({warm_up, CloseKind::kEnd, true});
      const Reading first = read();
      cr_expect(first != Reading::kFailed);
      if (first == Reading::kLate) continue;
    }
    server.Prepare(response);
    reading = read();
  }
  return reading;
}

/// Cuts a response after each of its bytes, and gives the reader each part of
/// the body as if it were whole.
/// @param read reads a response.
/// @param reuses whether the reader uses connections again.
void ExpectOnlyWholeIsTaken(CuttingServer& server, const std::string& status,
                            const std::string& body,
                            const std::function<Reading()>& read,
                            bool reuses = false) {
  for (const WholeResponse& whole : ResponsesWith(status, body)) {
    const std::string bytes = whole.head + whole.body;
    for (const Cut& cut : AllCutsOf(whole)) {
      const Reading reading =
          ReadOne(server, {bytes.substr(0, cut.sent), cut.close},
                  reuses ? bytes : "", read);
      const std::string what =
          std::string(whole.name) + ", " + std::to_string(cut.sent) + " of " +
          std::to_string(bytes.size()) + " bytes, " + NameOf(cut.close);
      cr_expect_eq(reading == Reading::kTaken, cut.sent == bytes.size(), "%s",
                   what.c_str());
      const int expected = server.WasReused() && cut.sent == 0 ? 2 : 1;
      cr_expect_eq(server.Requests(), expected, "%s: %d requests", what.c_str(),
                   server.Requests());
    }
  }
  // A reader may take a response without body by its status alone.
  for (std::size_t size = 1; size < body.size(); ++size) {
    const WholeResponse part =
        ResponsesWith(status, body.substr(0, size)).front();
    const Reading reading = ReadOne(server, {part.head + part.body}, "", read);
    cr_expect(reading == Reading::kFailed, "%zu bytes of the body", size);
  }
}

/// Returns what a result of the type Result says about the reading.
template <typename Result>
Reading ReadingOf(const Result& result) {
  const auto* error = std::get_if<kernel::Error>(&result);
  if (error == nullptr) return Reading::kTaken;
  return error->code == kernel::ErrorCode::kTimeout ? Reading::kLate
                                                    : Reading::kFailed;
}

}  // namespace

// Guards against a part of a list that is taken for the whole list.
Test(reader_cut_head, of_the_store_gives_no_page, .timeout = 60) {
  CuttingServer server;
  const auto runtime = http::MakeHttpRuntime();
  runtime->Start(1);
  platform::StoreCatalog store(runtime, server.address());
  ExpectOnlyWholeIsTaken(
      server, "200 OK",
      R"({"entries":[{"key":"a","value":"bm9kZS0x","revision":4}],"asOf":9})",
      [&] {
        std::promise<catalog::CatalogResponse> result;
        store.ReadPage("a", "", kTimeout,
                       [&result](catalog::CatalogResponse response) {
                         result.set_value(std::move(response));
                       });
        return ReadingOf(result.get_future().get());
      });
  ExpectOnlyWholeIsTaken(server, "200 OK", R"({"asOf":9,"events":[]})", [&] {
    std::promise<catalog::CatalogResponse> result;
    store.Watch("a", 8, kTimeout, kTimeout,
                [&result](catalog::CatalogResponse response) {
                  result.set_value(std::move(response));
                });
    return ReadingOf(result.get_future().get());
  });
  runtime->Stop();
}

// Guards against a part of a report or of an answer to an order that the leader
// of a group acts on.
Test(reader_cut_head, of_an_engine_gives_no_report, .timeout = 60) {
  CuttingServer server;
  const auto runtime = http::MakeHttpRuntime();
  runtime->Start(1);
  platform::RankEngine engine(runtime, server.address());
  ExpectOnlyWholeIsTaken(
      server, "200 OK",
      R"({"size":16,"step":40,"map":5,"group":{"name":"g","epoch":2,"rank":3}})",
      [&] {
        std::promise<kernel::Result<experts::RankReport>> result;
        engine.ReadReport([&result](auto report) { result.set_value(report); });
        return ReadingOf(result.get_future().get());
      },
      true);
  ExpectOnlyWholeIsTaken(
      server, "200 OK", R"({"counts":[10,20],"epoch":1})",
      [&] {
        std::promise<kernel::Result<experts::RankCounts>> result;
        engine.ReadCounts([&result](auto counts) { result.set_value(counts); });
        return ReadingOf(result.get_future().get());
      },
      true);
  ExpectOnlyWholeIsTaken(
      server, "200 OK", R"({"epoch":1,"map":{"version":0,"experts":[[0,16]]}})",
      [&] {
        std::promise<kernel::Result<experts::RankExperts>> result;
        engine.ReadExperts(
            [&result](auto experts) { result.set_value(experts); });
        return ReadingOf(result.get_future().get());
      },
      true);
  runtime->Stop();
}

// Guards against an order that counts as carried out, or is sent again, after a
// part of the engine's response.
Test(reader_cut_head, of_an_engine_confirms_no_order, .timeout = 60) {
  CuttingServer server;
  const auto runtime = http::MakeHttpRuntime();
  runtime->Start(1);
  platform::RankEngine engine(runtime, server.address());
  for (const char* status : {"200 OK", "202 Accepted", "412 Fenced"}) {
    ExpectOnlyWholeIsTaken(server, status, "", [&] {
      std::promise<experts::OrderOutcome> result;
      engine.Order(experts::HoldOrder{9}, 2, 4, kTimeout,
                   [&result](auto outcome) { result.set_value(outcome); });
      return result.get_future().get() == experts::OrderOutcome::kNoResponse
                 ? Reading::kFailed
                 : Reading::kTaken;
    });
  }
  runtime->Stop();
}

// Guards against a part of a list or configuration that an entry adopts.
Test(reader_cut_head, of_the_platform_gives_no_list, .timeout = 60) {
  CuttingServer server;
  config::HttpPlatform platform({server.address()},
                                std::make_shared<kernel::Metrics>());
  ExpectOnlyWholeIsTaken(
      server, "200 OK", R"({"version":3,"instances":{"a":1}})",
      [&] { return ReadingOf(platform.ReadInstances(0, kTimeout)); });
  ExpectOnlyWholeIsTaken(
      server, "200 OK", R"({"value":"v","revision":3})",
      [&] { return ReadingOf(platform.ReadConfig(0, kTimeout)); });
}

// Guards against a failure of the platform that is taken for no change, and no
// change that is taken for a failure.
Test(reader_cut_head, of_the_platform_is_not_taken_for_no_change,
     .timeout = 60) {
  CuttingServer server;
  config::HttpPlatform platform({server.address()},
                                std::make_shared<kernel::Metrics>());
  const std::string bytes = "HTTP/1.1 304 Not Modified\r\nx-stamp: s\r\n\r\n";
  for (const CloseKind close : kCloseKinds) {
    for (std::size_t sent = 0; sent <= bytes.size(); ++sent) {
      server.Prepare({bytes.substr(0, sent), close});
      const auto read = platform.ReadConfig(0, kTimeout);
      const kernel::Error* error = kernel::ErrorOf(read);
      cr_assert_not_null(error);
      cr_expect(error->code == (sent == bytes.size()
                                    ? kernel::ErrorCode::kTimeout
                                    : kernel::ErrorCode::kUnreachable),
                "%zu bytes, %s", sent, NameOf(close));
    }
  }
}

}  // namespace banyanlane::processes
