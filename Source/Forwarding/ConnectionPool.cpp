#include "Forwarding/ConnectionPool.h"

#include "Forwarding/BootClock.h"

#include <algorithm>

namespace almondscale {

ConnectionPool::ConnectionPool(const boost::asio::any_io_executor& executor)
    : m_executor(executor)
    , m_token(std::make_shared<char>())
{
}

std::unique_ptr<BackendConnection> ConnectionPool::take(const Address& address)
{
    const auto found = m_idle.find(address);
    if (found == m_idle.end())
        return nullptr;
    auto& idle = found->second;
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (!connection->idleUntil().passed(bootTime()) && connection->isIdle())
            return connection;
    }
    return nullptr;
}

std::unique_ptr<BackendConnection> ConnectionPool::create(const Address& address)
{
    return std::make_unique<BackendConnection>(m_executor, address, m_token);
}

void ConnectionPool::release(std::unique_ptr<BackendConnection> connection)
{
    if (connection->reusable())
        m_idle[connection->address()].push_back(std::move(connection));
}

std::size_t ConnectionPool::openCount() const { return static_cast<std::size_t>(m_token.use_count()) - 1; }

void ConnectionPool::addUnused(std::unique_ptr<BackendConnection> connection)
{
    m_idle[connection->address()].push_back(std::move(connection));
}

bool ConnectionPool::hasOpenIdle(const Address& address)
{
    const auto found = m_idle.find(address);
    return found != m_idle.end()
        && std::any_of(found->second.begin(), found->second.end(),
            [](const auto& connection) { return connection->isIdle(); });
}

bool ConnectionPool::hasClosedIdle(const Address& address)
{
    const auto found = m_idle.find(address);
    return found != m_idle.end()
        && std::any_of(found->second.begin(), found->second.end(),
            [](const auto& connection) { return connection->closedByServer(); });
}

void ConnectionPool::closeExpired()
{
    const auto now = bootTime();
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        auto& idle = entry->second;
        idle.erase(std::remove_if(idle.begin(), idle.end(),
                       [&](const auto& connection) { return connection->idleUntil().passed(now); }),
            idle.end());
        entry = idle.empty() ? m_idle.erase(entry) : std::next(entry);
    }
}

void ConnectionPool::closeIdle(const Address& address) { m_idle.erase(address); }

} // namespace almondscale
