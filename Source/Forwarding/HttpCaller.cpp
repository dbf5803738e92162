#include "Forwarding/HttpCaller.h"

#include "Forwarding/BootClock.h"
#include "Forwarding/StepwiseString.h"

namespace almondscale {

namespace {

    // The largest response of the store, a page of rows, has 1 MB before encoding.
    constexpr std::size_t maxResponseBodyBytes = 16 << 20;
    constexpr int statusOk = 200;

    awaitable<Result<std::string>> readBody(
        BackendConnection& connection, Deadline deadline, TransferProgress& progress)
    {
        std::string body;
        progress.expected = connection.remainingBodyBytes().value_or(0);
        for (;;) {
            progress.lastByteAt = bootTime();
            auto chunk = co_await connection.readBodyChunk(deadline);
            if (!chunk)
                co_return chunk.error();
            appendStepwise(body, chunk.value().bytes);
            chunk.value().bytes = std::string();
            progress.received = body.size();
            if (body.size() > maxResponseBodyBytes)
                co_return std::make_error_code(std::errc::message_size);
            if (chunk.value().last)
                co_return body;
        }
    }

} // namespace

awaitable<Result<HttpReply>> callHttp(
    ConnectionPool& pool, Address address, HttpRequestHead head, std::string body, Deadline deadline)
{
    CallProgress progress;
    co_return co_await callHttp(
        pool, std::move(address), std::move(head), std::move(body), deadline, progress);
}

awaitable<Result<HttpReply>> callHttp(ConnectionPool& pool, Address address, HttpRequestHead head,
    std::string body, Deadline deadline, CallProgress& progress)
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
    progress.respondedAt = bootTime();
    auto read = co_await readBody(*connection, deadline, progress.body);
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
