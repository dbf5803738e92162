#pragma once

#include "Authority/Lease.h"
#include "Authority/OrderSequence.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace almondscale::test {

// Deliberate protocol errors, to verify that the search detects them.
enum class AuthorityFlaw {
    None,
    // The holder uses its lease without the margin for a slow clock.
    NoMargin,
    // The successor issues orders as soon as it holds the lease.
    NoSuccessorWait,
    // The holder measures its lease from the answer to its renewal instead of from sending it.
    CountsFromAnswer,
    // The last byte is sent while the request's head may still be in flight.
    HeadNotAwaited,
};

// A model checker for the lease and order protocol: a depth-first search of the
// interleavings of a holder and its successor, which run the production lease and order
// state machines, with one engine and the table. Each step, message and answer of the
// holder may be delayed by any time, which models pauses, expired leases and network
// partitions. The successor's steps take no time and start at any time from the earliest
// possible one: a slower successor acts later, when less of its predecessor's work is in
// flight.
class AuthorityModel {
public:
    struct Options {
        bool engineChecksFencing = false;
        AuthorityFlaw flaw = AuthorityFlaw::None;
        int lastTick = 9;
        int faults = 0;
    };

    explicit AuthorityModel(const Options& options)
        : m_options(options)
    {
    }

    bool search()
    {
        World world(leaseSettings());
        world.faultsLeft = m_options.faults;
        // The first host has held the lease long enough to issue orders.
        for (int i = 0; i < 3; ++i)
            performLeaseCall(world, 0);
        world.time = engineReadTimeout + 1;
        world.clocks = { world.time, world.time };
        performLeaseCall(world, 0);
        beginOrder(world, 0);
        performLeaseCall(world, 1);
        visit(world);
        return m_violation.empty();
    }

    std::size_t states() const { return m_seen.size(); }
    // How many orders of the second host took effect in the search.
    std::size_t successorOrders() const { return m_successorOrders; }
    // How many orders took effect after their sender's lease had expired.
    std::size_t lateOrders() const { return m_lateOrders; }
    const std::string& violation() const { return m_violation; }

private:
    // One tick is one second.
    static constexpr int leaseTicks = 4;
    static constexpr int marginTicks = 1;
    static constexpr int engineReadTimeout = 2;
    static constexpr std::size_t hostCount = 2;
    static constexpr int maxRenewals = 1;

    struct PendingCall {
        TableCall call;
        bool applied = false;
        TableAnswer answer;
    };

    enum class Message {
        None,
        HeadDecided,
        HeadUnderWay,
        HeadTaken,
        ByteDecided,
        ByteUnderWay,
        Answered,
    };

    struct Host {
        Host(std::size_t number, const LeaseSettings& settings)
            : lease("lease/d/m", HostId(std::string(1, static_cast<char>('a' + number))), Incarnation(1),
                settings)
            , beforeCall(lease)
        {
        }

        Lease lease;
        // The lease before its call in flight was made.
        Lease beforeCall;
        std::optional<PendingCall> pendingLeaseCall;
        std::optional<OrderSequence> sequence;
        std::optional<PendingCall> pendingOrderCall;
        Message message = Message::None;
        // The head was reported as sent but has not reached the engine (HeadNotAwaited).
        bool headUnderWay = false;
        EngineOrder order;
        OrderAnswer answer = OrderAnswer::NoAnswer;
        // The end of the lease in global time, as of the decision to send the last byte.
        int leaseEnd = 0;
    };

    struct OpenRequest {
        EngineOrder order;
        int arrivedAt = 0;
    };

    struct World {
        explicit World(const LeaseSettings& settings)
            : hosts { Host(0, settings), Host(1, settings) }
        {
        }

        int time = 0;
        std::array<int, hostCount> clocks { 0, 0 };
        std::array<Host, hostCount> hosts;
        std::map<std::string, TableRow> rows;
        std::vector<TableCall> delayed;
        std::array<std::optional<OpenRequest>, hostCount> requests;
        EngineState engine;
        // The highest fencing number under which a host has started to act on the engine.
        FencingToken actingFencing;
        int faultsLeft = 0;
        bool slowed = false;
        int renewals = 0;
    };

    static MonotonicTime at(int tick) { return MonotonicTime(std::chrono::seconds(tick)); }
    static MonotonicTime clock(const World& world, std::size_t i) { return at(world.clocks[i]); }

    LeaseSettings leaseSettings() const
    {
        const auto tick = std::chrono::seconds(1);
        LeaseSettings settings;
        settings.duration = leaseTicks * tick;
        settings.clockDriftMargin = (m_options.flaw == AuthorityFlaw::NoMargin ? 0 : marginTicks) * tick;
        settings.renewInterval = 2 * tick;
        settings.watchInterval = Nanoseconds(0);
        settings.retryInterval = Nanoseconds(0);
        settings.orderSettleTime
            = (m_options.flaw == AuthorityFlaw::NoSuccessorWait ? 0 : engineReadTimeout) * tick;
        return settings;
    }

    static OrderSettings orderSettings()
    {
        OrderSettings settings;
        settings.closingTime = std::chrono::seconds(100);
        settings.closingMargin = Nanoseconds(0);
        settings.retryInterval = Nanoseconds(0);
        return settings;
    }

    // Performs the lease call that is due, if any, with an immediate answer.
    static void performLeaseCall(World& world, std::size_t i)
    {
        const auto now = clock(world, i);
        const auto call = world.hosts[i].lease.nextCall(now);
        if (call)
            world.hosts[i].lease.onAnswer(now, performTableCall(world, *call));
    }

    void visit(const World& world)
    {
        if (!m_violation.empty() || !m_seen.insert(std::hash<std::string>()(describe(world))).second)
            return;
        if (bothHold(world))
            return fail("two hosts hold the lease at once");
        if (formerHolderIsInactive(world))
            return;
        for (std::size_t i = 0; i < hostCount; ++i)
            stepHost(world, i);
        for (std::size_t i = 0; i < world.delayed.size(); ++i)
            deliverDelayedWrite(world, i);
        passTime(world);
    }

    bool bothHold(const World& world) const
    {
        return world.hosts[0].lease.holds(clock(world, 0)) && world.hosts[1].lease.holds(clock(world, 1));
    }

    // Neither the first host nor any of its messages can have a further effect.
    bool formerHolderIsInactive(const World& world) const
    {
        const auto& host = world.hosts[0];
        const bool ended = host.sequence->result() != OrderResult::None;
        const bool quiet = host.message == Message::None && !host.headUnderWay && !world.requests[0];
        return ended && quiet && !host.pendingOrderCall && world.delayed.empty()
            && !host.lease.holds(clock(world, 0)) && world.renewals == maxRenewals && !host.pendingLeaseCall;
    }

    void passTime(const World& world)
    {
        if (world.time >= m_options.lastTick)
            return;
        for (const bool slow : { false, true }) {
            if (slow && world.slowed)
                continue;
            branch(world, slow ? "tick, clock of a stopped" : "tick", [slow](World& next) {
                ++next.time;
                next.clocks[0] += slow ? 0 : 1;
                next.clocks[1] += 1;
                next.slowed = next.slowed || slow;
                for (auto& request : next.requests) {
                    if (request && next.time - request->arrivedAt >= engineReadTimeout)
                        request.reset();
                }
            });
        }
    }

    void stepHost(const World& world, std::size_t i)
    {
        const auto& host = world.hosts[i];
        if (host.pendingLeaseCall)
            advancePendingCall(world, i, true);
        else
            startLeaseCall(world, i);
        if (host.pendingOrderCall)
            return advancePendingCall(world, i, false);
        if (host.message != Message::None)
            return branchOnMessage(world, i);
        nextAction(world, i);
    }

    void startLeaseCall(const World& world, std::size_t i)
    {
        // The first host renews once and then lets its lease expire, like a paused or partitioned host.
        const bool renewed
            = i == 0 ? world.renewals == maxRenewals : world.hosts[1].lease.fencing().count() > 0;
        if (renewed || !Lease(world.hosts[i].lease).nextCall(clock(world, i)))
            return;
        if (i == 1 && Lease(world.hosts[1].lease).nextCall(clock(world, 1))->kind == TableCall::Kind::Read)
            return;
        branch(world, "lease call sent", [this, i](World& next) {
            auto& host = next.hosts[i];
            host.beforeCall = host.lease;
            next.renewals += i == 0 ? 1 : 0;
            host.pendingLeaseCall = PendingCall { *host.lease.nextCall(clock(next, i)), false, {} };
            answerAtOnce(next, i, true);
        });
    }

    void advancePendingCall(const World& world, std::size_t i, bool ofLease)
    {
        const auto& pending = ofLease ? *world.hosts[i].pendingLeaseCall : *world.hosts[i].pendingOrderCall;
        if (!pending.applied) {
            branch(world, "call reaches table", [i, ofLease](World& next) {
                auto& host = next.hosts[i];
                auto& moving = ofLease ? *host.pendingLeaseCall : *host.pendingOrderCall;
                moving.answer = performTableCall(next, moving.call);
                moving.applied = true;
                refreshSuccessorLease(next);
            });
        } else {
            branch(world, "table answer delivered", [this, i, ofLease](World& next) {
                auto& host = next.hosts[i];
                const auto answer = (ofLease ? host.pendingLeaseCall : host.pendingOrderCall)->answer;
                deliverTableAnswer(next, i, ofLease, answer);
            });
        }
        if (world.faultsLeft == 0 || pending.call.kind == TableCall::Kind::Read)
            return;
        branch(world, "table answer lost", [this, i, ofLease](World& next) {
            --next.faultsLeft;
            auto& host = next.hosts[i];
            const auto& lost = ofLease ? *host.pendingLeaseCall : *host.pendingOrderCall;
            if (!lost.applied)
                next.delayed.push_back(lost.call);
            deliverTableAnswer(next, i, ofLease, {});
        });
    }

    // Reads, and all calls of the successor, are answered at once: a later answer would only make
    // the host act later, which the search covers anyway.
    void answerAtOnce(World& world, std::size_t i, bool ofLease)
    {
        auto& host = world.hosts[i];
        const auto& call = (ofLease ? host.pendingLeaseCall : host.pendingOrderCall)->call;
        if (i == 1 || call.kind == TableCall::Kind::Read)
            deliverTableAnswer(world, i, ofLease, performTableCall(world, call));
    }

    void deliverTableAnswer(World& world, std::size_t i, bool ofLease, const TableAnswer& answer)
    {
        auto& host = world.hosts[i];
        const auto now = clock(world, i);
        (ofLease ? host.pendingLeaseCall : host.pendingOrderCall).reset();
        if (!ofLease)
            return host.sequence->onTable(now, answer);
        if (m_options.flaw == AuthorityFlaw::CountsFromAnswer) {
            host.lease = host.beforeCall;
            host.lease.nextCall(now);
        }
        host.lease.onAnswer(now, answer);
    }

    void nextAction(const World& world, std::size_t i)
    {
        const auto& host = world.hosts[i];
        const auto now = clock(world, i);
        if (!host.sequence) {
            if (!host.lease.mayIssueOrders(now))
                return;
            branch(world, "successor starts order", [i](World& next) { beginOrder(next, i); });
            return;
        }
        const auto kind = OrderSequence(*host.sequence).next(now, host.lease).kind;
        if (kind == OrderAction::Kind::Wait || kind == OrderAction::Kind::Done)
            return;
        if (i == 1 && world.actingFencing == host.lease.fencing()) {
            // Once the successor has started to act, any order of its predecessor that takes effect
            // is a violation, so the rest of the successor's order can be one step.
            branch(world, "successor completes order", [this, now](World& next) {
                while (next.hosts[1].sequence->result() == OrderResult::None)
                    act(next, 1, now);
            });
            return;
        }
        branch(world, "host performs action", [this, i, now](World& next) { act(next, i, now); });
    }

    static void beginOrder(World& world, std::size_t i)
    {
        auto& host = world.hosts[i];
        host.sequence.emplace(EngineId("e"), OrderKind::Role, i == 0 ? "prefill" : "decode", orderSettings());
    }

    void act(World& world, std::size_t i, MonotonicTime now)
    {
        auto& host = world.hosts[i];
        const auto action = host.sequence->next(now, host.lease);
        if (host.lease.mayIssueOrders(now))
            world.actingFencing = std::max(world.actingFencing, host.lease.fencing());
        switch (action.kind) {
        case OrderAction::Kind::CallTable:
            host.pendingOrderCall = PendingCall { action.call, false, {} };
            answerAtOnce(world, i, false);
            break;
        case OrderAction::Kind::CheckAcknowledged:
            host.sequence->onAcknowledged(now, true);
            break;
        case OrderAction::Kind::ReadState:
            host.sequence->onState(now, world.engine);
            break;
        case OrderAction::Kind::SendHead:
            host.order = action.order;
            host.message = Message::HeadDecided;
            finishAtOnce(world, i);
            break;
        case OrderAction::Kind::SendLastByte:
            host.message = Message::ByteDecided;
            host.leaseEnd = world.time
                + static_cast<int>(
                    std::chrono::duration_cast<std::chrono::seconds>(host.lease.validUntil().at() - now)
                        .count());
            finishAtOnce(world, i);
            break;
        case OrderAction::Kind::Abandon:
            world.requests[i].reset();
            break;
        default:
            break;
        }
    }

    // The successor's messages are delivered without delay.
    void finishAtOnce(World& world, std::size_t i)
    {
        while (i == 1 && world.hosts[i].message != Message::None)
            advanceMessage(world, i);
    }

    // Branches on the next step of the order's request between the host and the engine.
    void branchOnMessage(const World& world, std::size_t i)
    {
        if (world.hosts[i].headUnderWay) {
            branch(world, "late head reaches engine", [i](World& next) { deliverHead(next, i); });
            if (world.hosts[i].message == Message::ByteUnderWay)
                return;
        }
        branch(world, "request advances", [this, i](World& next) { advanceMessage(next, i); });
    }

    static void deliverHead(World& world, std::size_t i)
    {
        world.requests[i] = OpenRequest { world.hosts[i].order, world.time };
        world.hosts[i].headUnderWay = false;
    }

    void advanceMessage(World& world, std::size_t i)
    {
        auto& host = world.hosts[i];
        const auto now = clock(world, i);
        switch (host.message) {
        case Message::HeadDecided:
            host.message = Message::HeadUnderWay;
            if (m_options.flaw != AuthorityFlaw::HeadNotAwaited || i == 1)
                break;
            host.headUnderWay = true;
            host.message = Message::None;
            host.sequence->onHeadSent(now, true);
            break;
        case Message::HeadUnderWay:
            deliverHead(world, i);
            host.message = Message::HeadTaken;
            break;
        case Message::HeadTaken:
            host.message = Message::None;
            host.sequence->onHeadSent(now, true);
            break;
        case Message::ByteDecided:
            host.message = Message::ByteUnderWay;
            break;
        case Message::ByteUnderWay:
            host.answer = deliverLastByte(world, i);
            host.message = Message::Answered;
            break;
        case Message::Answered:
            host.message = Message::None;
            host.sequence->onOrderAnswer(now, host.answer);
            break;
        case Message::None:
            break;
        }
    }

    // The successor reads the lease as soon as it has changed; a later read would only delay it.
    static void refreshSuccessorLease(World& world)
    {
        if (!world.hosts[1].lease.holds(clock(world, 1)))
            performLeaseCall(world, 1);
    }

    // The last byte reaches the engine, which executes the order unless it was dropped or is stale.
    OrderAnswer deliverLastByte(World& world, std::size_t i)
    {
        if (!world.requests[i])
            return OrderAnswer::NoAnswer;
        const auto order = world.requests[i]->order;
        world.requests[i].reset();
        if (m_options.engineChecksFencing && order.fencing < world.engine.fencing)
            return OrderAnswer::StaleFencing;
        if (order.fencing < world.actingFencing)
            fail("an order of a former holder took effect");
        const int leaseEnd = world.hosts[i].leaseEnd;
        if (world.time >= leaseEnd)
            ++m_lateOrders;
        if (world.time >= leaseEnd + engineReadTimeout)
            fail("an order took effect later than the bound");
        m_successorOrders += i == 1 ? 1 : 0;
        world.engine.role = order.value;
        world.engine.order = order.order;
        world.engine.fencing = order.fencing;
        return OrderAnswer::CarriedOut;
    }

    void deliverDelayedWrite(const World& world, std::size_t i)
    {
        branch(world, "late write reaches table", [i](World& next) {
            const auto call = next.delayed[i];
            next.delayed.erase(next.delayed.begin() + static_cast<std::ptrdiff_t>(i));
            performTableCall(next, call);
        });
    }

    static TableAnswer performTableCall(World& world, const TableCall& call)
    {
        TableAnswer answer;
        const auto row = world.rows.find(call.key);
        if (row != world.rows.end())
            answer.row = row->second;
        if (call.kind == TableCall::Kind::Read)
            return answer;
        const auto present = answer.row ? answer.row->version : RowVersion(0);
        answer.written = { WriteOutcome::Conflict, present, answer.row };
        if (present != call.expected)
            return answer;
        const auto version = present + RowVersion(1);
        world.rows[call.key] = { call.key, call.value, version, call.writer };
        answer.written = { WriteOutcome::Applied, version, std::nullopt };
        return answer;
    }

    template <typename Change> void branch(const World& world, const char* what, Change change)
    {
        if (!m_violation.empty())
            return;
        World next = world;
        m_path.emplace_back(world.time, what);
        change(next);
        visit(next);
        m_path.pop_back();
    }

    static std::string describe(const std::optional<PendingCall>& pending)
    {
        if (!pending)
            return "-";
        return pending->call.writer.text() + pending->call.key + (pending->applied ? "applied" : "sent")
            + std::to_string(pending->answer.written.version.count())
            + std::to_string(static_cast<int>(pending->answer.written.outcome))
            + (pending->answer.row ? pending->answer.row->writer.text() : "");
    }

    static std::string describe(const World& world)
    {
        std::string text = std::to_string(world.time) + "," + std::to_string(world.clocks[0]) + ","
            + std::to_string(world.faultsLeft) + "," + std::to_string(world.renewals) + ","
            + std::to_string(world.actingFencing.count()) + "," + std::to_string(world.engine.order.count())
            + world.engine.role;
        for (std::size_t i = 0; i < hostCount; ++i) {
            const auto& host = world.hosts[i];
            text += "|" + host.lease.describe() + describe(host.pendingLeaseCall)
                + describe(host.pendingOrderCall) + (host.sequence ? host.sequence->describe() : "idle")
                + std::to_string(static_cast<int>(host.message)) + (host.headUnderWay ? "h" : "")
                + std::to_string(static_cast<int>(host.answer)) + "," + std::to_string(host.leaseEnd);
            if (world.requests[i])
                text += "open" + std::to_string(world.requests[i]->arrivedAt);
        }
        for (const auto& row : world.rows)
            text += row.second.writer.text() + std::to_string(row.second.version.count());
        for (const auto& call : world.delayed)
            text += "~" + call.writer.text();
        return text;
    }

    void fail(const std::string& what)
    {
        if (!m_violation.empty())
            return;
        m_violation = what;
        for (const auto& [time, step] : m_path)
            m_violation += "; t" + std::to_string(time) + " " + step;
    }

    Options m_options;
    std::unordered_set<std::uint64_t> m_seen;
    std::size_t m_successorOrders = 0;
    std::size_t m_lateOrders = 0;
    // The steps that led to the state being visited.
    std::vector<std::pair<int, const char*>> m_path;
    std::string m_violation;
};

} // namespace almondscale::test
