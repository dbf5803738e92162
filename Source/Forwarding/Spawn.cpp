#include "Forwarding/Spawn.h"

#include <boost/asio/co_spawn.hpp>

#include <exception>

namespace almondscale {

void spawn(
    const boost::asio::any_io_executor& executor, awaitable<void> coroutine, std::function<void()> onEnd)
{
    // The completion signature of co_spawn passes the exception by value.
    auto handler = [onEnd = std::move(onEnd)](
                       std::exception_ptr failure) { // NOLINT(performance-unnecessary-value-param)
        if (failure)
            std::rethrow_exception(failure);
        if (onEnd)
            onEnd();
    };
    boost::asio::co_spawn(executor, std::move(coroutine), std::move(handler));
}

} // namespace almondscale
