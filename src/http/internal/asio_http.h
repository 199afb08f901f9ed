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

/// Bound on data that TCP has sent and the peer never acknowledged.
inline constexpr unsigned kTcpUserTimeoutMillis = 10'000;

/// Makes TCP give up on a peer that vanished without closing.
void SetTransportTimeouts(tcp::socket::native_handle_type socket);

/// Copies Beast's fields with names in lower case.
Headers CopyFields(const beast::http::fields& fields);

/// Returns the endpoint that `address` names.
kernel::Result<tcp::endpoint> ResolveAddress(const std::string& address);

}  // namespace banyanlane::http
