#include "Platform/PlatformClient.h"

#include "Platform/HttpExchange.h"
#include "Platform/PlatformMessages.h"
#include "Platform/RowValue.h"

namespace almondscale {

namespace {

    constexpr int httpOk = 200;
    constexpr int httpNotFound = 404;
    constexpr int httpConflict = 409;
    constexpr int httpUnavailable = 503;

    bool isUnreservedOrSlash(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
            || c == '.' || c == '_' || c == '~' || c == '/';
    }

    std::string percentEncoded(const std::string& text)
    {
        constexpr const char* digits = "0123456789ABCDEF";
        std::string encoded;
        for (const char c : text) {
            const auto byte = static_cast<unsigned char>(c);
            if (isUnreservedOrSlash(c))
                encoded += c;
            else
                encoded.append({ '%', digits[byte / 16], digits[byte % 16] });
        }
        return encoded;
    }

    // The result of a write whose expected version did not match.
    WriteResult conflictResult(const std::string& body, const std::string& value, const WriterId& writer)
    {
        WriteResult result;
        result.outcome = WriteOutcome::Conflict;
        result.current = decodeRowValue<TableRow>(body);
        if (!result.current)
            return result;
        result.version = result.current->version;
        // The row holds this same write, which was applied by an earlier attempt.
        if (result.current->writer == writer && result.current->value == value)
            result.outcome = WriteOutcome::Applied;
        return result;
    }

    WriteResult writeResult(
        const HttpExchangeResult& response, const std::string& value, const WriterId& writer)
    {
        WriteResult result;
        if (response.outcome == HttpExchangeOutcome::NotSent || response.status == httpUnavailable)
            result.outcome = WriteOutcome::NotApplied;
        if (response.status == httpConflict)
            return conflictResult(response.body, value, writer);
        if (response.status != httpOk)
            return result;
        const auto written = decodeRowValue<WriteResponse>(response.body);
        if (!written)
            return result;
        result.outcome = WriteOutcome::Applied;
        result.version = written->version;
        return result;
    }

} // namespace

class PlatformClient::Impl {
public:
    Impl(Address address, Nanoseconds callTimeout)
        : m_address(std::move(address))
        , m_callTimeout(callTimeout)
    {
    }

    Result<std::optional<TableRow>> read(const std::string& key) const
    {
        const auto response = call({ "GET", "/table/" + percentEncoded(key), {}, {} });
        if (response.status == httpNotFound)
            return std::optional<TableRow>();
        if (response.status != httpOk)
            return ErrorKind::PlatformUnavailable;
        auto row = decodeRowValue<TableRow>(response.body);
        if (!row)
            return ErrorKind::PlatformUnavailable;
        return row;
    }

    Result<std::vector<TableRow>> list(const std::string& prefix) const
    {
        const auto response = call({ "GET", "/table", "prefix=" + percentEncoded(prefix), {} });
        auto listing = decodeRowValue<ListResponse>(response.body);
        if (response.status != httpOk || !listing)
            return ErrorKind::PlatformUnavailable;
        return std::move(listing->rows);
    }

    WriteResult write(
        const std::string& key, const std::string& value, RowVersion expected, const WriterId& writer) const
    {
        const auto body = encodeRowValue(WriteRequest { value, expected, writer });
        return writeResult(call({ "PUT", "/table/" + percentEncoded(key), {}, body }), value, writer);
    }

    Result<HostList> hosts() const
    {
        const auto response = call({ "GET", "/hosts", {}, {} });
        auto list = decodeRowValue<HostList>(response.body);
        if (response.status != httpOk || !list)
            return ErrorKind::PlatformUnavailable;
        return std::move(*list);
    }

private:
    HttpExchangeResult call(const HttpExchangeRequest& request) const
    {
        return exchangeHttp(m_address, request, Deadline::after(monotonicClock()(), m_callTimeout));
    }

    Address m_address;
    Nanoseconds m_callTimeout;
};

PlatformClient::PlatformClient(const Address& address, Nanoseconds callTimeout)
    : m_impl(std::make_shared<const Impl>(address, callTimeout))
{
}

PlatformClient::~PlatformClient() = default;

Table PlatformClient::table() const
{
    Table table;
    table.read = [impl = m_impl](const std::string& key) { return impl->read(key); };
    table.list = [impl = m_impl](const std::string& prefix) { return impl->list(prefix); };
    table.compareAndSet
        = [impl = m_impl](const std::string& key, const std::string& value, RowVersion expected,
              const WriterId& writer) { return impl->write(key, value, expected, writer); };
    return table;
}

Result<HostList> PlatformClient::hosts() const { return m_impl->hosts(); }

} // namespace almondscale
