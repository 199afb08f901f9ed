#include "link/internal/link_session.h"

#include "kernel/event_log.h"
#include "link/codec.h"

namespace banyanlane::link {
namespace {

using kernel::EventId;

std::atomic<std::uint64_t> last_link_id{0};

}  // namespace

LinkSession::LinkSession(std::shared_ptr<const SharedSessionState> shared,
                         std::shared_ptr<ITransport> transport,
                         kernel::TimePoint now)
    : link_id(++last_link_id),
      shared(std::move(shared)),
      transport(std::move(transport)),
      opened_at(now),
      last_received(now),
      last_heartbeat(now) {}

bool LinkSession::Send(const Message& message) {
  if (this->closed) return false;
  if (this->transport->QueuedBytes() > this->shared->limits.max_queue_bytes) {
    this->Close("queue over its bound");
    return false;
  }
  std::string frame = Encode(message);
  this->CountBytes("out", message, frame.size());
  this->transport->Send(std::move(frame));
  return true;
}

void LinkSession::CountBytes(std::string_view direction, const Message& message,
                             std::size_t bytes) {
  std::string series = "banyanlane_link_bytes_total{direction=\"";
  series.append(direction).append("\",message=\"");
  series.append(MessageName(message)).append("\"}");
  this->shared->metrics->Count(series, bytes);
}

void LinkSession::Close(std::string_view reason) {
  this->CloseWithin(this->shared->limits.close_timeout, reason);
}

void LinkSession::CloseWithin(kernel::Millis timeout, std::string_view reason) {
  if (this->closed.exchange(true)) return;
  this->transport->Close(reason, timeout);
}

void LinkSession::OnOpen(std::string certified_name, kernel::TimePoint now) {
  this->certified_name = std::move(certified_name);
  this->last_received = now;
  this->opened_at = now;
  this->Send(this->shared->hello());
}

void LinkSession::OnFrame(std::string_view frame, kernel::TimePoint now) {
  if (this->closed) return;
  this->last_received = now;
  auto decoded = Decode(frame);
  if (const kernel::Error* error = kernel::ErrorOf(decoded)) {
    this->RefuseFrame(*error);
    return;
  }
  auto& message = std::get<Message>(decoded);
  this->CountBytes("in", message, frame.size());
  if (const Hello* hello = std::get_if<Hello>(&message)) {
    this->OnHello(*hello, now);
    return;
  }
  if (!this->up) {
    this->RefuseFrame({kernel::ErrorCode::kInvalidMessage, "handshake", "",
                       "the first message is not Hello"});
    return;
  }
  for (const auto& observer : this->shared->observers) {
    observer->OnMessage(this->shared_from_this(), message, now);
  }
}

void LinkSession::OnHello(const Hello& hello, kernel::TimePoint now) {
  if (this->up) {
    this->RefuseFrame({kernel::ErrorCode::kInvalidMessage, "handshake", "",
                       "Hello was sent twice"});
    return;
  }
  if (hello.protocol != kProtocolVersion) {
    this->RefusePeer("unsupported protocol version " +
                     std::to_string(hello.protocol));
    return;
  }
  if (!this->certified_name.empty() && this->certified_name != hello.node) {
    this->RefusePeer("its certificate names " + this->certified_name);
    return;
  }
  this->peer_hello = hello;
  this->up = true;
  kernel::LogEvent(EventId::kLinkOpened,
                   {{"peer", hello.node},
                    {"address", this->transport->Address()},
                    {"incarnation", std::to_string(hello.incarnation)},
                    {"revision", std::to_string(hello.revision)}});
  for (const auto& observer : this->shared->observers) {
    observer->OnLinkUp(this->shared_from_this(), now);
  }
}

void LinkSession::RefusePeer(const std::string& reason) {
  kernel::LogEvent(EventId::kLinkPeerRefused,
                   {{"peer", this->transport->Address()},
                    {"step", "handshake"},
                    {"reason", reason}});
  this->Close("refused");
}

void LinkSession::RefuseFrame(const kernel::Error& error) {
  kernel::LogEvent(EventId::kLinkFrameRefused,
                   {{"peer", this->transport->Address()},
                    {"step", error.step},
                    {"reason", error.detail}});
  this->Close("malformed frame");
}

void LinkSession::OnTick(kernel::TimePoint now) {
  if (this->closed) return;
  const auto timeout = this->up ? this->shared->limits.SilenceTimeout()
                                : this->shared->limits.handshake_timeout;
  if (now - this->last_received > timeout) {
    kernel::LogEvent(EventId::kLinkSilent,
                     {{"peer", this->transport->Address()},
                      {"node", this->peer_hello.node},
                      {"silent_ms", std::to_string(kernel::MillisBetween(
                                        this->last_received, now))}});
    this->Close("silent");
    return;
  }
  if (this->up &&
      now - this->last_heartbeat >= this->shared->limits.heartbeat_period) {
    this->last_heartbeat = now;
    this->Send(this->shared->heartbeat());
  }
}

void LinkSession::OnClosed(kernel::TimePoint now) {
  this->closed = true;
  if (!this->up.exchange(false)) return;
  kernel::LogEvent(EventId::kLinkClosed,
                   {{"peer", this->peer_hello.node},
                    {"address", this->transport->Address()}});
  for (const auto& observer : this->shared->observers) {
    observer->OnLinkDown(this->shared_from_this(), now);
  }
}

}  // namespace banyanlane::link
