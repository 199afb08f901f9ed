#include "agent/internal/answer_pump.h"

#include <algorithm>

namespace banyanlane::agent {
namespace {

using link::Outcome;
using link::Reason;

constexpr std::size_t kChunkBytes = std::size_t{64} * 1024;
constexpr std::uint64_t kRetryWhenFullMillis = 500;
constexpr std::uint64_t kRetryWhenDownMillis = 1'000;

std::uint64_t WindowOf(const Stream& stream) {
  return static_cast<std::uint64_t>(stream.profile->unread_window_bytes);
}

}  // namespace

std::uint64_t RetryAfterMillis(Reason reason) {
  switch (reason) {
    case Reason::kFull:
      return kRetryWhenFullMillis;
    case Reason::kEndpointDown:
      return kRetryWhenDownMillis;
    default:
      return 0;
  }
}

void AnswerPump::Pump(Stream& stream, AgentActions& actions) const {
  for (Subscriber& subscriber : stream.subscribers) {
    this->PumpSubscriber(stream, subscriber, actions);
  }
  if (stream.state == StreamState::kRunning) AdjustPace(stream, actions);
  if (stream.state == StreamState::kEnded) this->SendEnds(stream, actions);
}

void AnswerPump::PumpSubscriber(Stream& stream, Subscriber& subscriber,
                                AgentActions& actions) const {
  if (stream.begun && !subscriber.started_sent) {
    subscriber.started_sent = true;
    actions.push_back(
        SendMessage{subscriber.link,
                    link::Started{subscriber.request, subscriber.attempt}});
  }
  if (!stream.head_known) return;
  if (!subscriber.head_sent) {
    subscriber.head_sent = true;
    actions.push_back(SendMessage{
        subscriber.link,
        link::Head{subscriber.request, subscriber.attempt, this->incarnation,
                   stream.status, stream.headers}});
  }
  this->SendParts(stream, subscriber, actions);
}

void AnswerPump::SendParts(Stream& stream, Subscriber& subscriber,
                           AgentActions& actions) const {
  const std::uint64_t until =
      std::min(stream.buffer.End(), subscriber.consumed + WindowOf(stream));
  subscriber.sent = std::max(subscriber.sent, stream.buffer.Begin());
  while (subscriber.sent < until) {
    const std::size_t most =
        std::min<std::size_t>(kChunkBytes, until - subscriber.sent);
    const std::string_view part = stream.buffer.Read(subscriber.sent, most);
    actions.push_back(SendMessage{
        subscriber.link,
        link::Chunk{subscriber.request, subscriber.attempt, this->incarnation,
                    subscriber.sent, link::Blob{std::string(part)}}});
    subscriber.sent += part.size();
  }
}

void AnswerPump::SendEnds(Stream& stream, AgentActions& actions) const {
  auto& readers = stream.subscribers;
  const auto done = [&stream](const Subscriber& reader) {
    return stream.outcome != Outcome::kCompleted ||
           reader.sent == stream.buffer.End();
  };
  for (const Subscriber& reader : readers) {
    if (done(reader))
      actions.push_back(SendMessage{reader.link, this->EndFor(stream, reader)});
  }
  readers.erase(std::remove_if(readers.begin(), readers.end(), done),
                readers.end());
}

link::Ended AnswerPump::EndFor(const Stream& stream,
                               const Subscriber& subscriber) const {
  link::Ended ended;
  ended.request = subscriber.request;
  ended.attempt = subscriber.attempt;
  ended.incarnation = this->incarnation;
  ended.outcome = stream.outcome;
  ended.reason = stream.reason;
  ended.length = stream.buffer.End();
  ended.digest = stream.digest;
  ended.retry_after_ms = RetryAfterMillis(stream.reason);
  return ended;
}

void AnswerPump::AdjustPace(Stream& stream, AgentActions& actions) {
  std::uint64_t slowest = stream.acknowledged;
  for (const Subscriber& subscriber : stream.subscribers) {
    slowest = std::min(slowest, subscriber.consumed);
  }
  const std::uint64_t unread = stream.buffer.End() - slowest;
  if (!stream.paused && unread > WindowOf(stream)) {
    stream.paused = true;
    actions.push_back(PauseCall{stream.work.request});
  }
  if (stream.paused && unread <= WindowOf(stream) / 2) {
    stream.paused = false;
    actions.push_back(ResumeCall{stream.work.request});
  }
}

}  // namespace banyanlane::agent
