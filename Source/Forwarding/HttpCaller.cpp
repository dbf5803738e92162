#include "Forwarding/HttpCaller.h"

#include "Forwarding/BootClock.h"
#include "Forwarding/StepwiseString.h"

namespace almondscale {

namespace {

    // The largest response of the store, a page of rows, has 1 MB before encoding.
    constexpr std::size_t maxResponseBodyBytes = 16 << 20;
    constexpr int statusOk = 200;

    awaitable<Result<std::unique_ptr<BackendConnection>>> openConnection(
        ConnectionPool& pool, const Address& address, Deadline deadline)
    {
        auto connection = pool.take(address);
        if (connection)
            co_return connection;
        connection = pool.create(address);
        const auto error = co_await connection->connect(deadline);
        if (error)
            co_return error;
        co_return connection;
    }

    awaitable<Result<std::string>> readBody(BackendConnection& connection, TransferProgress& progress)
    {
        std::string body;
        progress = { 0, connection.remainingBodyBytes().value_or(0), bootTime() };
        TransferDeadline due(Deadline::after(progress.lastByteAt, TransferDeadline::maxSilence));
        for (;;) {
            auto chunk = co_await connection.readBodyChunk(due.deadline());
            if (!chunk)
                co_return chunk.error();
            progress.lastByteAt = bootTime();
            due.onBytes(chunk.value().bytes.size(), progress.lastByteAt);
            appendStepwise(body, chunk.value().bytes);
            progress.received = body.size();
            chunk.value().bytes = std::string();
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
    auto opened = co_await openConnection(pool, address, deadline);
    if (!opened)
        co_return opened.error();
    auto connection = std::move(opened.value());
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

awaitable<Result<HttpReply>> transferHttp(ConnectionPool& pool, Address address, HttpRequestHead head,
    std::string body, Nanoseconds answerTime, CallProgress& progress)
{
    auto deadline = Deadline::after(bootTime(), answerTime);
    auto opened = co_await openConnection(pool, address, deadline);
    if (!opened)
        co_return opened.error();
    auto connection = std::move(opened.value());
    const auto error = co_await connection->transfer(head, body, TransferDeadline(deadline));
    if (error)
        co_return error;
    if (!body.empty())
        deadline = Deadline::after(bootTime(), answerTime);
    auto reply = co_await connection->readHead(head.method == "HEAD", deadline);
    if (!reply)
        co_return reply.error();
    progress.respondedAt = bootTime();
    auto read = co_await readBody(*connection, progress.body);
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
