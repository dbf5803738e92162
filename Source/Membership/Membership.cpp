#include "Membership/Membership.h"

#include "Membership/MembershipImpl.h"

#include <utility>

namespace almondscale {

Membership::Membership(const MembershipSettings& settings, MembershipHooks hooks)
    : m_impl(std::make_unique<Impl>(settings, std::move(hooks)))
{
}

Membership::~Membership() = default;

void Membership::tick() { m_impl->tick(); }

void Membership::onFrame(const std::string& bytes) { m_impl->onFrame(bytes); }

void Membership::setSeeds(std::vector<SeedHost> seeds) { m_impl->setSeeds(std::move(seeds)); }

std::error_code Membership::publish(const std::string& key, const std::string& value, ItemScope scope)
{
    return m_impl->publish(key, value, scope);
}

void Membership::retract(const std::string& key) { m_impl->retract(key); }

std::vector<SharedItem> Membership::items(const std::string& keyPrefix) const
{
    return m_impl->items(keyPrefix);
}

void Membership::setRules(RulesVersion version) { m_impl->setRules(version); }

std::vector<Member> Membership::members() const { return m_impl->members(); }

std::optional<Member> Membership::member(const HostId& host) const { return m_impl->member(host); }

void Membership::request(
    const HostId& peer, const std::string& topic, std::function<void(Result<std::string>)> done)
{
    m_impl->request(peer, topic, std::move(done));
}

void Membership::reply(const PeerRequest& request, const std::string& content)
{
    m_impl->reply(request, content);
}

void Membership::leave() { m_impl->leave(); }

const MembershipCounters& Membership::counters() const { return m_impl->counters(); }

} // namespace almondscale
