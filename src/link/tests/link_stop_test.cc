#include <criterion/criterion.h>

#include <condition_variable>

#include "link/internal/link_security.h"
#include "link/internal/ws_hub.h"

namespace banyanlane::link {
namespace {

constexpr std::size_t kMessages = 200;
constexpr std::size_t kBodyBytes = std::size_t{64} * 1024;
constexpr std::chrono::seconds kTimeout{30};

/// Counts the messages on the links of one hub.
class CountingObserver : public ILinkObserver {
 public:
  void OnLinkUp(const LinkPtr& link, kernel::TimePoint /*now*/) override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->link = link;
    this->changed.notify_all();
  }
  void OnMessage(const LinkPtr& /*link*/, Message message,
                 kernel::TimePoint /*now*/) override {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait_for(lock, kTimeout,
                           [this] { return !this->is_blocked; });
    if (std::holds_alternative<Chunk>(message)) ++this->chunks;
  }
  void OnLinkDown(const LinkPtr& /*link*/, kernel::TimePoint /*now*/) override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->is_down = true;
    this->changed.notify_all();
  }

  /// Lets messages wait until Unblock is called.
  void Block() { this->SetBlocked(true); }
  void Unblock() { this->SetBlocked(false); }

  LinkPtr AwaitLink() {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait_for(lock, kTimeout,
                           [this] { return this->link != nullptr; });
    return this->link;
  }
  /// Returns the number of chunks received when the link has closed.
  std::size_t AwaitDown() {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait_for(lock, kTimeout, [this] { return this->is_down; });
    return this->chunks;
  }

 private:
  void SetBlocked(bool blocked) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->is_blocked = blocked;
    this->changed.notify_all();
  }

  std::mutex mutex;
  std::condition_variable changed;
  LinkPtr link;
  std::size_t chunks = 0;
  bool is_blocked = false;
  bool is_down = false;
};

LinkLimits LimitsWith(kernel::Millis stop_timeout) {
  LinkLimits limits;
  limits.stop_timeout = stop_timeout;
  return limits;
}

/// Hub of one process with its observer.
struct Side {
  explicit Side(const std::string& node,
                kernel::Millis stop_timeout = LinkLimits{}.stop_timeout)
      : hub(LimitsWith(stop_timeout), PlainSecurity{},
            std::make_shared<kernel::Metrics>()) {
    this->hub.SetStateProviders(
        [node] {
          Hello hello;
          hello.node = node;
          hello.incarnation = 1;
          return hello;
        },
        [] { return Heartbeat{}; });
    this->hub.Subscribe(this->observer);
  }

  std::shared_ptr<CountingObserver> observer =
      std::make_shared<CountingObserver>();
  WsHub<PlainSecurity> hub;
};

/// An agent and an entry that are linked.
struct LinkedSides {
  /// @param stop_timeout bound of the stop of the agent's hub.
  explicit LinkedSides(kernel::Millis stop_timeout)
      : agent(std::make_unique<Side>("agent", stop_timeout)) {
    const auto port = this->agent->hub.Listen("127.0.0.1:0");
    cr_assert_eq(kernel::ErrorOf(port), nullptr);
    this->agent->hub.Start();
    this->entry.hub.SetTargets(
        {"127.0.0.1:" + std::to_string(std::get<0>(port))});
    this->entry.hub.Start();
    this->link = this->agent->observer->AwaitLink();
    cr_assert_neq(this->link, nullptr);
    cr_assert_neq(this->entry.observer->AwaitLink(), nullptr);
  }

  /// Stops the agent's hub, and closes its connections as the end of its
  /// process does.
  void EndAgent() {
    this->agent->hub.Stop();
    this->link.reset();
    this->agent.reset();
  }

  std::unique_ptr<Side> agent;
  Side entry{"entry"};
  LinkPtr link;
};

}  // namespace

// Guards against a stop that discards the last messages of responses.
Test(link_stop, delivers_what_was_sent_before_it) {
  LinkedSides sides(kTimeout);
  for (std::size_t i = 0; i < kMessages; ++i) {
    Chunk chunk;
    chunk.offset = i;
    chunk.data = Blob{std::string(kBodyBytes, 'x')};
    cr_assert(sides.link->Send(chunk));
  }
  sides.EndAgent();
  const std::size_t received = sides.entry.observer->AwaitDown();
  cr_expect_eq(received, kMessages, "%zu of %zu", received, kMessages);
}

// Guards against a stop that never ends since a peer does not read.
Test(link_stop, ends_although_a_peer_does_not_read) {
  LinkedSides sides(LinkLimits{}.stop_timeout);
  sides.entry.observer->Block();
  for (std::size_t i = 0; i < kMessages; ++i)
    cr_assert(sides.link->Send(
        Chunk{"", 0, 0, i, Blob{std::string(kBodyBytes, 'x')}}));
  sides.EndAgent();
  sides.entry.observer->Unblock();
}

}  // namespace banyanlane::link
