#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace almondscale {

using boost::asio::awaitable;
using boost::asio::ip::tcp;

// GCC 12 miscompiles a co_await in the condition of a statement, and destroys an aggregate
// temporary that is passed to a coroutine twice. Assign both to a variable first.

// Completion token that returns the error code of an operation instead of throwing it.
inline constexpr auto noThrow = boost::asio::as_tuple(boost::asio::use_awaitable);

} // namespace almondscale
