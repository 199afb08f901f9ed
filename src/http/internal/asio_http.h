#pragma once

#define BOOST_COROUTINES_NO_DEPRECATION_WARNING

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <string>

#include "http/http_types.h"

namespace banyanlane::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::asio::ip::tcp;
using Strand = asio::strand<asio::io_context::executor_type>;
/// A TCP stream whose operations run on the strand of its owner.
using StrandStream = beast::basic_stream<tcp, Strand>;

/// Maximum time that sent data may stay unacknowledged before TCP closes the
/// connection.
inline constexpr unsigned kTcpUserTimeoutMillis = 10'000;

/// Sets TCP options that close the connection if the peer disappears without
/// closing it, and disables Nagle's algorithm.
void SetTransportTimeouts(tcp::socket::native_handle_type socket);

/// Converts the fields of a Beast message, with names in lower case.
Headers CopyFields(const beast::http::fields& fields);

/// Converts an "IP:PORT" address to an Asio endpoint. Host names are refused.
kernel::Result<tcp::endpoint> ResolveAddress(const std::string& address);

}  // namespace banyanlane::http
