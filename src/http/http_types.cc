#include "http/http_types.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <set>

#include "kernel/text.h"

namespace banyanlane::http {
namespace {

/// Fields for which IsHopByHopField returns true.
constexpr std::array<std::string_view, 11> kHopByHopFields = {
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "upgrade",
    "proxy-connection",
    "te",
    "trailer",
    "proxy-authenticate",
    "proxy-authorization",
    "expect"};

/// Returns the value of a hexadecimal digit, or -1 for any other character.
int HexDigit(char digit) {
  if (digit >= '0' && digit <= '9') return digit - '0';
  const int lower = std::tolower(static_cast<unsigned char>(digit));
  return (lower >= 'a' && lower <= 'f') ? lower - 'a' + 10 : -1;
}

/// Decodes percent-encoded bytes, and '+' as a space. Malformed escapes are
/// copied unchanged.
std::string DecodePercent(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool escape = text[i] == '%' && i + 2 < text.size();
    const int high = escape ? HexDigit(text[i + 1]) : -1;
    const int low = escape ? HexDigit(text[i + 2]) : -1;
    if (high < 0 || low < 0) {
      decoded += text[i] == '+' ? ' ' : text[i];
      continue;
    }
    decoded += static_cast<char>(high * 16 + low);
    i += 2;
  }
  return decoded;
}

}  // namespace

std::string EncodeQuery(std::string_view text) {
  constexpr char kDigits[] = "0123456789ABCDEF";
  constexpr std::string_view kPlain = "-_.~/";
  constexpr unsigned kHexBase = 16;
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || kPlain.find(c) != std::string_view::npos) {
      encoded += c;
      continue;
    }
    encoded += '%';
    encoded += kDigits[byte / kHexBase];
    encoded += kDigits[byte % kHexBase];
  }
  return encoded;
}

std::string HeaderOf(const Headers& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (key == name) return value;
  }
  return "";
}

bool HasHeader(const Headers& headers, std::string_view name) {
  return std::any_of(headers.begin(), headers.end(),
                     [name](const auto& field) { return field.first == name; });
}

bool IsHopByHopField(std::string_view lower_name) {
  return std::find(kHopByHopFields.begin(), kHopByHopFields.end(),
                   lower_name) != kHopByHopFields.end();
}

Headers EndToEndHeaders(const Headers& headers) {
  std::set<std::string> connection_options;
  for (const auto& [name, value] : headers) {
    if (name != "connection") continue;
    for (const std::string_view part : kernel::Split(value, ','))
      connection_options.insert(kernel::ToLower(kernel::Trim(part)));
  }
  Headers kept;
  for (const auto& field : headers) {
    if (!IsHopByHopField(field.first) &&
        connection_options.count(field.first) == 0)
      kept.push_back(field);
  }
  return kept;
}

std::string HttpRequest::Path() const {
  return this->target.substr(0, this->target.find('?'));
}

std::string HttpRequest::Query(std::string_view name) const {
  const std::size_t start = this->target.find('?');
  if (start == std::string::npos) return "";
  const std::string_view query =
      std::string_view(this->target).substr(start + 1);
  for (const std::string_view part : kernel::Split(query, '&')) {
    const std::size_t equals = std::min(part.find('='), part.size());
    const bool matches = part.substr(0, equals) == name;
    if (matches)
      return DecodePercent(part.substr(std::min(equals + 1, part.size())));
  }
  return "";
}

kernel::Result<HostPort> ParseHostPort(std::string_view text) {
  const kernel::Error invalid{kernel::ErrorCode::kInvalidSettings,
                              "parse_address", "",
                              "'" + std::string(text) + "' is not IP:PORT"};
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return invalid;
  const auto port = kernel::ParseNumber<std::uint16_t>(text.substr(colon + 1));
  if (!port) return invalid;
  std::string_view host = text.substr(0, colon);
  if (host.front() == '[' && host.back() == ']')
    host = host.substr(1, host.size() - 2);
  return HostPort{std::string(host), *port};
}

}  // namespace banyanlane::http
