#include "kernel/text.h"

#include <boost/algorithm/string/case_conv.hpp>

namespace banyanlane::kernel {

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  std::size_t start = 0;
  while (true) {
    const std::size_t end = text.find(separator, start);
    parts.push_back(text.substr(start, end - start));
    if (end == std::string_view::npos) return parts;
    start = end + 1;
  }
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlanks = " \t\r\n";
  const std::size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

std::string ToLower(std::string_view text) {
  return boost::algorithm::to_lower_copy(std::string(text));
}

}  // namespace banyanlane::kernel
