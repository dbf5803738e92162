#include "Forwarding/HttpCaller.h"

namespace almondscale {

namespace {

    // The largest response of the store, a page of rows, has 1 MB before encoding.
    constexpr std::size_t maxResponseBodyBytes = 16 << 20;
    constexpr int statusOk = 200;

} // namespace

awaitable<Result<HttpReply>> callHttp(
    ConnectionPool& pool, Address address, HttpRequestHead head, std::string body, Deadline deadline)
{
    auto connection = pool.take(address);
    if (!connection) {
        connection = pool.create(address);
        const auto error = co_await connection->connect(deadline);
        if (error)
            co_return error;
    }
    const auto error = co_await connection->send(head, body, deadline);
    if (error)
        co_return error;
    auto reply = co_await connection->readHead(head.method == "HEAD", deadline);
    if (!reply)
        co_return reply.error();
    auto read = co_await connection->readWholeBody(maxResponseBodyBytes, deadline);
    if (!read)
        co_return read.error();
    pool.release(std::move(connection));
    HttpReply whole { std::move(reply.value()), std::move(read.value()) };
    co_return whole;
}

awaitable<std::optional<std::string>> fetchBody(
    ConnectionPool& pool, Address address, HttpRequestHead head, Deadline deadline)
{
    auto reply = co_await callHttp(pool, std::move(address), std::move(head), std::string(), deadline);
    if (!reply || reply.value().head.status != statusOk)
        co_return std::nullopt;
    co_return std::move(reply.value().body);
}

} // namespace almondscale
