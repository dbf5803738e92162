#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace almondscale {

using boost::asio::awaitable;
using boost::asio::ip::tcp;

// The compiler (GCC 12) translates a co_await inside the condition of a statement
// wrongly; its result goes into a variable first. So do aggregates that are made for
// an argument of a coroutine, which it destroys twice.

// Makes an operation return its error code instead of throwing it.
inline constexpr auto noThrow = boost::asio::as_tuple(boost::asio::use_awaitable);

} // namespace almondscale
