#include "link/codec.h"

#include <array>
#include <new>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "kernel/enum_names.h"

namespace banyanlane::link {
namespace {

using nlohmann::json;

constexpr kernel::EnumNames<Outcome, 3> kOutcomeNames = {{
    {Outcome::kCompleted, "completed"},
    {Outcome::kNotRun, "not_run"},
    {Outcome::kUnknown, "unknown"},
}};

constexpr kernel::EnumNames<Reason, 23> kReasonNames = {{
    {Reason::kNone, "none"},
    {Reason::kLeaving, "leaving"},
    {Reason::kFull, "full"},
    {Reason::kExpired, "expired"},
    {Reason::kRevoked, "revoked"},
    {Reason::kUnknownProfile, "unknown_profile"},
    {Reason::kWrongIncarnation, "wrong_incarnation"},
    {Reason::kKeyConflict, "key_conflict"},
    {Reason::kKeyExpired, "key_expired"},
    {Reason::kEndpointDown, "endpoint_down"},
    {Reason::kEndpointFailed, "endpoint_failed"},
    {Reason::kQuarantined, "quarantined"},
    {Reason::kNotFound, "not_found"},
    {Reason::kOffsetGone, "offset_gone"},
    {Reason::kCancelled, "cancelled"},
    {Reason::kAnswerTooLarge, "answer_too_large"},
    {Reason::kOrganisationLimit, "organisation_limit"},
    {Reason::kNoEndpoint, "no_endpoint"},
    {Reason::kLinkLost, "link_lost"},
    {Reason::kDeadline, "deadline"},
    {Reason::kRetryBudget, "retry_budget"},
    {Reason::kStopping, "stopping"},
    {Reason::kKeySpent, "key_spent"},
}};

constexpr kernel::EnumNames<Suspicion, 3> kSuspicionNames = {{
    {Suspicion::kSuspect, "suspect"},
    {Suspicion::kQuarantined, "quarantined"},
    {Suspicion::kCleared, "cleared"},
}};

constexpr kernel::EnumNames<SwitchGoal, 7> kSwitchGoalNames = {{
    {SwitchGoal::kFollow, "follow"},
    {SwitchGoal::kPrepare, "prepare"},
    {SwitchGoal::kHold, "hold"},
    {SwitchGoal::kArm, "arm"},
    {SwitchGoal::kRelease, "release"},
    {SwitchGoal::kAbandon, "abandon"},
    {SwitchGoal::kLeave, "leave"},
}};

/// Names of the types of Message, in their order.
constexpr std::array<std::string_view, std::variant_size_v<Message>>
    kMessageNames = {
        "hello",          "heartbeat",      "submit",        "started",
        "head",           "chunk",          "ended",         "revoke",
        "cancel",         "resume",         "consumed",      "config_announce",
        "config_pull",    "config_value",   "list_announce", "list_pull",
        "list_value",     "evidence",       "peer_states",   "rank_status",
        "switch_command", "expert_counts",  "work_report",   "rate_limit",
        "coordinator",    "permit_request", "permit_grant"};

struct MalformedFrame {
  std::string detail;
};

/// Appends each field to a JSON array.
class FieldWriter {
 public:
  explicit FieldWriter(json& array) : array(array) {}

  template <typename... Fields>
  void operator()(const Fields&... fields) {
    (this->Write(fields), ...);
  }

 private:
  template <typename Field>
  void Write(const Field& field) {
    if constexpr (std::is_enum_v<Field>) {
      this->array.push_back(static_cast<std::uint64_t>(field));
    } else {
      this->array.push_back(field);
    }
  }

  void Write(const Blob& blob) {
    this->array.push_back(json::binary({blob.bytes.begin(), blob.bytes.end()}));
  }

  void Write(const WireHeaders& headers) {
    json pairs = json::array();
    for (const auto& [name, value] : headers)
      pairs.push_back(json::array({name, value}));
    this->array.push_back(std::move(pairs));
  }

  void Write(const std::vector<PeerState>& states) {
    json list = json::array();
    for (const PeerState& state : states) {
      // The first element is unused; in a message, it is the message number.
      json fields = json::array({std::uint64_t{0}});
      FieldWriter writer(fields);
      // Visit is not const, since decoding uses it too. The writer only reads.
      const_cast<PeerState&>(state).Visit(writer);
      list.push_back(std::move(fields));
    }
    this->array.push_back(std::move(list));
  }

  json& array;
};

/// Reads each field from a JSON array and checks its type.
class FieldReader {
 public:
  explicit FieldReader(json& array) : array(array) {}

  template <typename... Fields>
  void operator()(Fields&... fields) {
    if (this->array.size() != sizeof...(Fields) + 1)
      throw MalformedFrame{"wrong field count"};
    (this->Read(fields), ...);
  }

 private:
  json& Next() { return this->array[this->next++]; }

  void Read(std::string& field) {
    json& value = this->Next();
    if (!value.is_string()) throw MalformedFrame{"a field is not text"};
    field = std::move(value.get_ref<std::string&>());
  }

  void Read(std::uint64_t& field) {
    const json& value = this->Next();
    if (!value.is_number_unsigned())
      throw MalformedFrame{"a field is not a number"};
    field = value.get<std::uint64_t>();
  }

  void Read(bool& field) {
    const json& value = this->Next();
    if (!value.is_boolean()) throw MalformedFrame{"a field is not a boolean"};
    field = value.get<bool>();
  }

  void Read(Blob& blob) {
    const json& value = this->Next();
    if (!value.is_binary()) throw MalformedFrame{"a field is not binary"};
    const json::binary_t& bytes = value.get_binary();
    blob.bytes.assign(bytes.begin(), bytes.end());
  }

  void Read(WireHeaders& headers) {
    const json& value = this->Next();
    if (!value.is_array()) throw MalformedFrame{"header fields are not a list"};
    for (const json& pair : value) {
      const bool valid = pair.is_array() && pair.size() == 2 &&
                         pair[0].is_string() && pair[1].is_string();
      if (!valid) throw MalformedFrame{"a header field is not a pair"};
      headers.emplace_back(pair[0].get<std::string>(),
                           pair[1].get<std::string>());
    }
  }

  void Read(std::vector<std::string>& texts) {
    const json& value = this->Next();
    if (!value.is_array()) throw MalformedFrame{"a field is not a list"};
    for (const json& text : value) {
      if (!text.is_string()) throw MalformedFrame{"a list element is not text"};
      texts.push_back(text.get<std::string>());
    }
  }

  void Read(std::vector<std::uint64_t>& numbers) {
    const json& value = this->Next();
    if (!value.is_array()) throw MalformedFrame{"a field is not a list"};
    numbers.reserve(value.size());
    for (const json& number : value) {
      if (!number.is_number_unsigned())
        throw MalformedFrame{"a list element is not a number"};
      numbers.push_back(number.get<std::uint64_t>());
    }
  }

  void Read(std::vector<PeerState>& states) {
    json& value = this->Next();
    if (!value.is_array()) throw MalformedFrame{"states are not a list"};
    for (json& fields : value) {
      if (!fields.is_array()) throw MalformedFrame{"a state is not a list"};
      FieldReader reader(fields);
      PeerState state;
      state.Visit(reader);
      states.push_back(std::move(state));
    }
  }

  template <typename Enum, std::size_t kCount>
  void ReadEnum(Enum& field, const kernel::EnumNames<Enum, kCount>& /*table*/) {
    std::uint64_t number = 0;
    this->Read(number);
    if (number >= kCount) throw MalformedFrame{"an enumerator is out of range"};
    field = static_cast<Enum>(number);
  }

  void Read(Outcome& field) { this->ReadEnum(field, kOutcomeNames); }
  void Read(Reason& field) { this->ReadEnum(field, kReasonNames); }
  void Read(Suspicion& field) { this->ReadEnum(field, kSuspicionNames); }
  void Read(SwitchGoal& field) { this->ReadEnum(field, kSwitchGoalNames); }

  json& array;
  std::size_t next = 1;
};

template <std::size_t kIndex = 0>
Message DecodeAs(std::uint64_t number, json& array) {
  if constexpr (kIndex < std::variant_size_v<Message>) {
    if (number != kIndex) return DecodeAs<kIndex + 1>(number, array);
    std::variant_alternative_t<kIndex, Message> message;
    FieldReader reader(array);
    message.Visit(reader);
    return message;
  } else {
    throw MalformedFrame{"message number " + std::to_string(number) +
                         " is unknown"};
  }
}

kernel::Error Malformed(const std::string& detail) {
  return kernel::Error{kernel::ErrorCode::kInvalidMessage, "decode_frame", "",
                       detail};
}

}  // namespace

std::string_view MessageName(const Message& message) {
  return kMessageNames[message.index()];
}
std::string_view OutcomeName(Outcome outcome) {
  return kernel::NameOf(kOutcomeNames, outcome);
}
std::string_view ReasonName(Reason reason) {
  return kernel::NameOf(kReasonNames, reason);
}
std::string_view SwitchGoalName(SwitchGoal goal) {
  return kernel::NameOf(kSwitchGoalNames, goal);
}
std::string_view SuspicionName(Suspicion suspicion) {
  return kernel::NameOf(kSuspicionNames, suspicion);
}

std::string Encode(const Message& message) {
  json array = json::array();
  array.push_back(static_cast<std::uint64_t>(message.index()));
  FieldWriter writer(array);
  // Visit is not const, since decoding uses it too. The writer only reads.
  std::visit([&writer](auto& fields) { fields.Visit(writer); },
             const_cast<Message&>(message));
  std::string frame;
  json::to_cbor(array, frame);
  return frame;
}

std::size_t EncodedSize(const std::vector<std::uint64_t>& numbers) {
  // CBOR writes a number below kMaxInHeader in its header byte, and others into
  // the next 1, 2, 4 or 8 bytes.
  constexpr std::uint64_t kMaxInHeader = 24;
  constexpr std::size_t kListHeaderBytes = 5;
  std::size_t bytes = kListHeaderBytes;
  for (const std::uint64_t number : numbers) {
    std::size_t width = number < kMaxInHeader ? 0 : 1;
    while (width > 0 && width < sizeof(number) && number >> (8 * width) != 0)
      width *= 2;
    bytes += 1 + width;
  }
  return bytes;
}

kernel::Result<Message> Decode(std::string_view frame) {
  try {
    json array = json::from_cbor(frame.begin(), frame.end());
    const bool has_number =
        array.is_array() && !array.empty() && array[0].is_number_unsigned();
    if (!has_number)
      return Malformed("the frame is not an array that begins with a number");
    return DecodeAs(array[0].get<std::uint64_t>(), array);
  } catch (const MalformedFrame& malformed) {
    return Malformed(malformed.detail);
  } catch (const json::exception& failure) {
    return Malformed(failure.what());
  } catch (const std::length_error& failure) {
    // The frame contains a length that is too large to allocate.
    return Malformed(failure.what());
  } catch (const std::bad_alloc& failure) {
    return Malformed(failure.what());
  }
}

}  // namespace banyanlane::link
