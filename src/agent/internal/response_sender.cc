#include "agent/internal/response_sender.h"

#include <algorithm>

namespace banyanlane::agent {
namespace {

using link::Outcome;
using link::Reason;

constexpr std::size_t kChunkBytes = std::size_t{64} * 1024;
constexpr std::uint64_t kRetryWhenFullMillis = 500;
constexpr std::uint64_t kRetryWhenDownMillis = 1'000;

std::uint64_t UnreadWindow(const Stream& stream) {
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

void ResponseSender::SendAvailable(Stream& stream,
                                   AgentActions& actions) const {
  for (Subscriber& subscriber : stream.subscribers) {
    this->SendToSubscriber(stream, subscriber, actions);
  }
  if (stream.state == StreamState::kRunning) ApplyBackpressure(stream, actions);
  if (stream.state == StreamState::kEnded)
    this->SendEndedMessages(stream, actions);
}

void ResponseSender::SendToSubscriber(Stream& stream, Subscriber& subscriber,
                                      AgentActions& actions) const {
  if (stream.call_started && !subscriber.started_sent) {
    subscriber.started_sent = true;
    actions.push_back(
        SendMessage{subscriber.link,
                    link::Started{subscriber.request, subscriber.attempt}});
  }
  if (!stream.has_head) return;
  if (!subscriber.head_sent) {
    subscriber.head_sent = true;
    actions.push_back(SendMessage{
        subscriber.link,
        link::Head{subscriber.request, subscriber.attempt, this->incarnation,
                   stream.status, stream.headers}});
  }
  this->SendChunks(stream, subscriber, actions);
}

void ResponseSender::SendChunks(Stream& stream, Subscriber& subscriber,
                                AgentActions& actions) const {
  const std::uint64_t end_offset =
      std::min(stream.buffer.EndOffset(),
               subscriber.consumed_offset + UnreadWindow(stream));
  subscriber.sent_offset =
      std::max(subscriber.sent_offset, stream.buffer.BeginOffset());
  while (subscriber.sent_offset < end_offset) {
    const std::size_t max_bytes =
        std::min<std::size_t>(kChunkBytes, end_offset - subscriber.sent_offset);
    const std::string_view chunk =
        stream.buffer.Read(subscriber.sent_offset, max_bytes);
    actions.push_back(SendMessage{
        subscriber.link,
        link::Chunk{subscriber.request, subscriber.attempt, this->incarnation,
                    subscriber.sent_offset, link::Blob{std::string(chunk)}}});
    subscriber.sent_offset += chunk.size();
  }
}

void ResponseSender::SendEndedMessages(Stream& stream,
                                       AgentActions& actions) const {
  auto& subscribers = stream.subscribers;
  const auto done = [&stream](const Subscriber& subscriber) {
    return stream.outcome != Outcome::kCompleted ||
           subscriber.sent_offset == stream.buffer.EndOffset();
  };
  for (const Subscriber& subscriber : subscribers) {
    if (done(subscriber))
      actions.push_back(
          SendMessage{subscriber.link, this->EndedFor(stream, subscriber)});
  }
  subscribers.erase(
      std::remove_if(subscribers.begin(), subscribers.end(), done),
      subscribers.end());
}

link::Ended ResponseSender::EndedFor(const Stream& stream,
                                     const Subscriber& subscriber) const {
  link::Ended ended;
  ended.request = subscriber.request;
  ended.attempt = subscriber.attempt;
  ended.incarnation = this->incarnation;
  ended.outcome = stream.outcome;
  ended.reason = stream.reason;
  ended.length = stream.buffer.EndOffset();
  ended.digest = stream.digest;
  ended.retry_after_ms = RetryAfterMillis(stream.reason);
  return ended;
}

void ResponseSender::ApplyBackpressure(Stream& stream, AgentActions& actions) {
  std::uint64_t min_consumed_offset = stream.max_consumed_offset;
  for (const Subscriber& subscriber : stream.subscribers) {
    min_consumed_offset =
        std::min(min_consumed_offset, subscriber.consumed_offset);
  }
  const std::uint64_t unread = stream.buffer.EndOffset() - min_consumed_offset;
  if (!stream.paused && unread > UnreadWindow(stream)) {
    stream.paused = true;
    actions.push_back(PauseCall{stream.work.request});
  }
  if (stream.paused && unread <= UnreadWindow(stream) / 2) {
    stream.paused = false;
    actions.push_back(ResumeCall{stream.work.request});
  }
}

}  // namespace banyanlane::agent
