#include "StoreView.h"

#include "Forwarding/BootClock.h"
#include "Forwarding/Spawn.h"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace almondscale {

namespace {

    // Engines and hosts answer in a few milliseconds.
    constexpr Nanoseconds answerTime = std::chrono::seconds(1);

} // namespace

class StoreView::Impl {
public:
    explicit Impl(const Address& store)
        : m_pool(m_loop.get_executor())
        , m_store(m_pool, store)
    {
    }

    template <typename T> T wait(awaitable<T> call)
    {
        std::vector<awaitable<T>> calls;
        calls.push_back(std::move(call));
        return std::move(waitForAll(std::move(calls)).front());
    }

    // Makes all calls at once; the results are in the order of the calls.
    template <typename T> std::vector<T> waitForAll(std::vector<awaitable<T>> calls)
    {
        std::vector<std::optional<T>> results(calls.size());
        for (std::size_t i = 0; i < calls.size(); ++i)
            spawn(m_loop.get_executor(), storeInto(std::move(calls[i]), results[i]));
        m_loop.restart();
        m_loop.run();
        std::vector<T> values;
        values.reserve(results.size());
        for (auto& result : results)
            values.push_back(std::move(*result));
        return values;
    }

    ConnectionPool& pool() { return m_pool; }
    platform::StoreClient& store() { return m_store; }

private:
    // Keeps what a call returns for the one who waits for it.
    template <typename T> static awaitable<void> storeInto(awaitable<T> call, std::optional<T>& result)
    {
        result.emplace(co_await std::move(call));
    }

    boost::asio::io_context m_loop { 1 };
    ConnectionPool m_pool;
    platform::StoreClient m_store;
};

StoreView::StoreView(const Address& store)
    : m_impl(std::make_unique<Impl>(store))
{
}

StoreView::~StoreView() = default;

Result<StoredRows> StoreView::read(SharedTable table) { return m_impl->wait(m_impl->store().read(table)); }

Result<std::optional<LeaseRow>> StoreView::roleLease()
{
    TableCall call;
    call.kind = TableCall::Kind::Read;
    call.key = roleLeaseKey;
    const auto answer = m_impl->wait(m_impl->store().perform(std::move(call)));
    if (!answer.answered)
        return ErrorKind::PlatformUnavailable;
    if (!answer.row)
        return std::optional<LeaseRow>();
    const auto lease = decodeLeaseRow(answer.row->value);
    if (!lease)
        return ErrorKind::FrameInvalid;
    return lease;
}

std::vector<std::optional<platform::EngineReport>> StoreView::askEngines(
    const std::vector<BackendRecord>& engines)
{
    std::vector<awaitable<std::optional<platform::EngineReport>>> calls;
    calls.reserve(engines.size());
    for (const auto& engine : engines)
        calls.push_back(platform::readEngineReport(
            m_impl->pool(), engine.id, engine.address, Deadline::after(bootTime(), answerTime)));
    return m_impl->waitForAll(std::move(calls));
}

std::vector<std::optional<std::string>> StoreView::askHosts(const std::vector<HostRecord>& hosts)
{
    std::vector<awaitable<std::optional<std::string>>> calls;
    calls.reserve(hosts.size());
    for (const auto& host : hosts) {
        const auto address = hostStatusAddress(host);
        HttpRequestHead head { "GET", "/status", {} };
        head.fields.add("Host", address.text());
        calls.push_back(
            fetchBody(m_impl->pool(), address, std::move(head), Deadline::after(bootTime(), answerTime)));
    }
    return m_impl->waitForAll(std::move(calls));
}

} // namespace almondscale
