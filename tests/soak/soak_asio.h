#pragma once

#include <boost/asio.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <string>

namespace banyanlane::soak {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

/// Returns the endpoint of an address such as "127.0.0.1:80".
tcp::endpoint EndpointOf(const std::string& address);

/// Returns the value of a header field, or "".
template <typename Fields>
std::string FieldOf(const Fields& fields, const char* name) {
  const auto value = fields[name];
  return std::string(value.data(), value.size());
}

}  // namespace banyanlane::soak
