#include "StandIns/EngineCore.h"

#include "StandIns/AnswerToken.h"
#include "StandIns/EngineAttempt.h"
#include "StandIns/EngineMemory.h"

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

namespace almondscale::standin {

namespace {

    // How long and how many finished attempts can be asked about.
    constexpr Nanoseconds finishedKept = std::chrono::seconds(30);
    constexpr std::size_t maxFinishedKept = 1024;
    // How long an exported cache waits for the engine that imports it.
    constexpr Nanoseconds exportKept = std::chrono::seconds(10);

    double seconds(Nanoseconds duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

class EngineCore::Impl {
public:
    Impl(const EngineSettings& settings, Clock clock, std::uint64_t firstBoot)
        : m_settings(settings)
        , m_clock(std::move(clock))
        , m_memory(settings.blocks.count(), settings.blockTokens.count(), settings.eventLag,
              [this] { return loseEvent(); })
        , m_faults()
    {
        m_state.boot = firstBoot;
        start();
    }

    void advance();
    std::optional<MonotonicTime> nextDue() const;
    SubmitOutcome submit(const AttemptRequest&, const std::optional<KvCache>&);
    std::optional<AttemptProgress> progress(const AttemptId&, TokenCount from) const;
    bool hasProgress(const AttemptId&, TokenCount from) const;
    bool cancel(const AttemptId&);
    std::optional<KvCache> exportKv(const std::string&);
    OrderOutcome order(const EngineOrder&);
    LoadReport loadReport();
    std::vector<CacheEvent> cacheEvents(std::uint64_t since) const
    {
        return m_memory.events(since, m_clock());
    }
    EngineState state() const;
    const EngineStats& stats() const { return m_stats; }
    EngineFaults& faults() { return m_faults; }
    void crash();
    bool down() const { return m_clock() < m_downUntil; }

private:
    struct Export {
        KvCache cache;
        std::int64_t blocks = 0;
        MonotonicTime expiresAt {};
    };
    struct Finished {
        AttemptId attempt;
        MonotonicTime forgottenAt {};
    };

    void start();
    bool loseEvent();
    SubmitOutcome admission(const AttemptRequest&) const;
    OrderOutcome orderAdmission(const EngineOrder&) const;
    void finishOrder();
    void expire(MonotonicTime now);
    bool idle() const { return m_queue.empty() && m_running.empty(); }
    Nanoseconds stepTime() const;
    void runStep(MonotonicTime now);
    bool startQueued(MonotonicTime now);
    void prefill(double budget, MonotonicTime now);
    void prefilled(EngineAttempt&, MonotonicTime now);
    void decode(double budget, MonotonicTime now);
    void finish(const AttemptId&, AttemptState, MonotonicTime now);
    void finishComplete(MonotonicTime now);
    void keepExport(EngineAttempt&, MonotonicTime now);
    LoadReport sampleLoad() const;

    EngineSettings m_settings;
    Clock m_clock;
    EngineMemory m_memory;
    EngineFaults m_faults;
    EngineState m_state;
    EngineStats m_stats;
    std::map<AttemptId, EngineAttempt> m_attempts;
    // The highest priority first, within it by arrival.
    std::map<std::pair<int, std::uint64_t>, AttemptId> m_queue;
    std::vector<AttemptId> m_running;
    std::deque<Finished> m_finished;
    std::map<std::string, Export> m_exports;
    std::optional<EngineOrder> m_order;
    MonotonicTime m_orderDoneAt {};
    MonotonicTime m_nextStep {};
    MonotonicTime m_downUntil {};
    LoadReport m_load;
    std::uint64_t m_arrivals = 0;
    std::uint64_t m_handles = 0;
    // Work that a step had time for but that did not make up a whole token.
    double m_prefillCredit = 0;
    double m_decodeCredit = 0;
};

void EngineCore::Impl::start()
{
    m_state.role = m_settings.role;
    m_state.model = m_settings.model;
    m_load = sampleLoad();
}

bool EngineCore::Impl::loseEvent()
{
    if (m_faults.dropEvents <= 0)
        return false;
    --m_faults.dropEvents;
    return true;
}

SubmitOutcome EngineCore::Impl::admission(const AttemptRequest& request) const
{
    if (down())
        return SubmitOutcome::Down;
    if (m_order)
        return SubmitOutcome::ChangingRole;
    if (m_attempts.count(request.attempt) != 0)
        return SubmitOutcome::DuplicateAttempt;
    if (request.model != m_state.model)
        return SubmitOutcome::WrongModel;
    const EngineRole role = m_state.role;
    if (role == EngineRole::Prefill && request.phase != AttemptPhase::Prefill)
        return SubmitOutcome::WrongRole;
    if (role == EngineRole::Decode && request.phase != AttemptPhase::Decode)
        return SubmitOutcome::WrongRole;
    if (m_queue.size() >= m_settings.maxQueued)
        return SubmitOutcome::Full;
    return SubmitOutcome::Accepted;
}

SubmitOutcome EngineCore::Impl::submit(const AttemptRequest& request, const std::optional<KvCache>& imported)
{
    advance();
    const SubmitOutcome outcome = admission(request);
    if (outcome != SubmitOutcome::Accepted)
        return outcome;
    EngineAttempt attempt;
    attempt.request = request;
    attempt.hash = hashPrompt(request.prompt, m_settings.blockTokens.count());
    const std::int64_t needed = attempt.hash.tokens + request.maxTokens.count();
    if (!m_memory.couldHold(m_memory.blocksFor(needed)))
        return SubmitOutcome::Full;
    attempt.arrival = ++m_arrivals;
    attempt.made = request.offset.count();
    attempt.imported = imported.has_value();
    const MonotonicTime now = m_clock();
    if (idle())
        m_nextStep = now + stepTime();
    m_queue.emplace(std::make_pair(-request.priority.count(), attempt.arrival), request.attempt);
    m_attempts.emplace(request.attempt, std::move(attempt));
    return outcome;
}

std::optional<AttemptProgress> EngineCore::Impl::progress(const AttemptId& id, TokenCount from) const
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end())
        return std::nullopt;
    const EngineAttempt& attempt = found->second;
    AttemptProgress progress;
    progress.state = attempt.state;
    progress.phase = attempt.request.phase;
    // Tokens before the offset belong to the same answer and can be asked for.
    progress.firstIndex = std::max<std::int64_t>(from.count(), 0);
    progress.made = TokenCount(attempt.made);
    progress.kvHandle = attempt.kvHandle;
    progress.kvBytes = attempt.hash.tokens * kvBytesPerToken;
    for (std::int64_t i = progress.firstIndex; i < attempt.made; ++i)
        progress.tokens.push_back(answerToken(attempt.request.prompt, static_cast<std::uint64_t>(i)));
    return progress;
}

bool EngineCore::Impl::hasProgress(const AttemptId& id, TokenCount from) const
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end())
        return true;
    const EngineAttempt& attempt = found->second;
    const bool ended = attempt.state == AttemptState::Done || attempt.state == AttemptState::Cancelled;
    return ended || attempt.made > from.count();
}

bool EngineCore::Impl::cancel(const AttemptId& id)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end())
        return false;
    EngineAttempt& attempt = found->second;
    if (attempt.state == AttemptState::Queued)
        m_queue.erase({ -attempt.request.priority.count(), attempt.arrival });
    if (attempt.state == AttemptState::Queued || attempt.state == AttemptState::Running)
        finish(id, AttemptState::Cancelled, m_clock());
    return true;
}

std::optional<KvCache> EngineCore::Impl::exportKv(const std::string& handle)
{
    advance();
    const auto found = m_exports.find(handle);
    if (found == m_exports.end())
        return std::nullopt;
    m_memory.unreserve(found->second.blocks);
    found->second.blocks = 0;
    return found->second.cache;
}

OrderOutcome EngineCore::Impl::orderAdmission(const EngineOrder& order) const
{
    if (down())
        return OrderOutcome::Down;
    if (m_settings.checksFencing && order.fencing < m_state.fencing)
        return OrderOutcome::StaleFencing;
    const bool role = order.kind == "role";
    if (!role && order.kind != "load_model" && order.kind != "load_adapter" && order.kind != "load_version")
        return OrderOutcome::Invalid;
    if (role && !parseEngineRole(order.value))
        return OrderOutcome::Invalid;
    if (m_order || !idle())
        return OrderOutcome::Busy;
    return OrderOutcome::Accepted;
}

OrderOutcome EngineCore::Impl::order(const EngineOrder& order)
{
    advance();
    const OrderOutcome outcome = orderAdmission(order);
    m_stats.orders.push_back({ order, outcome, m_state.boot });
    // A newer holder's number counts from the first order that carries it, also
    // when the engine is busy.
    if (outcome == OrderOutcome::Accepted || outcome == OrderOutcome::Busy)
        m_state.fencing = std::max(m_state.fencing, order.fencing);
    if (outcome != OrderOutcome::Accepted)
        return outcome;
    m_order = order;
    m_orderDoneAt = m_clock() + m_settings.roleChange;
    return outcome;
}

void EngineCore::Impl::finishOrder()
{
    if (m_order->kind == "role")
        m_state.role = *parseEngineRole(m_order->value);
    else if (m_order->kind == "load_model")
        m_state.model = ModelName(m_order->value);
    else if (m_order->kind == "load_adapter")
        m_state.adapter = m_order->value;
    else
        m_state.version = m_order->value;
    m_state.order = m_order->order;
    m_order.reset();
}

EngineState EngineCore::Impl::state() const
{
    EngineState state = m_state;
    state.inFlight = static_cast<std::int64_t>(m_queue.size() + m_running.size());
    state.closing = m_order.has_value();
    return state;
}

LoadReport EngineCore::Impl::sampleLoad() const
{
    LoadReport load;
    load.boot = m_state.boot;
    load.role = m_state.role;
    load.model = m_state.model;
    load.sampledAt = m_clock();
    load.running = static_cast<std::int64_t>(m_running.size());
    load.queued = static_cast<std::int64_t>(m_queue.size());
    load.freeBlocks = BlockCount(m_memory.freeBlocks());
    load.totalBlocks = BlockCount(m_memory.totalBlocks());
    load.sequence = m_load.sequence + 1;
    for (const AttemptId& id : m_running) {
        const EngineAttempt& attempt = m_attempts.at(id);
        load.prefillTokens += TokenCount(attempt.prefillLeft);
        load.decodeTokens += TokenCount(attempt.decodeLeft());
    }
    for (const auto& [place, id] : m_queue) {
        const EngineAttempt& attempt = m_attempts.at(id);
        load.prefillTokens += TokenCount(attempt.imported ? 0 : attempt.hash.tokens);
        load.decodeTokens += TokenCount(attempt.decodeLeft());
    }
    return load;
}

LoadReport EngineCore::Impl::loadReport()
{
    advance();
    return m_load;
}

void EngineCore::Impl::crash()
{
    ++m_stats.crashes;
    m_attempts.clear();
    m_queue.clear();
    m_running.clear();
    m_finished.clear();
    m_exports.clear();
    m_order.reset();
    m_memory.clear();
    const std::uint64_t boot = m_state.boot + 1;
    m_state = EngineState();
    m_state.boot = boot;
    m_load = LoadReport();
    m_downUntil = m_clock() + m_settings.downAfterCrash;
    start();
}

Nanoseconds EngineCore::Impl::stepTime() const
{
    return m_faults.step > Nanoseconds(0) ? m_faults.step : m_settings.step;
}

std::optional<MonotonicTime> EngineCore::Impl::nextDue() const
{
    std::optional<MonotonicTime> due;
    if (m_order)
        due = m_orderDoneAt;
    if (!idle() && (!due || m_nextStep < *due))
        due = m_nextStep;
    return due;
}

void EngineCore::Impl::advance()
{
    const MonotonicTime now = m_clock();
    if (m_order && m_orderDoneAt <= now)
        finishOrder();
    while (!idle() && m_nextStep <= now) {
        const MonotonicTime at = m_nextStep;
        m_nextStep += stepTime();
        runStep(at);
    }
    expire(now);
    if (m_load.sampledAt + m_settings.loadLag <= now)
        m_load = sampleLoad();
}

void EngineCore::Impl::expire(MonotonicTime now)
{
    while (!m_finished.empty()
        && (m_finished.front().forgottenAt <= now || m_finished.size() > maxFinishedKept)) {
        m_attempts.erase(m_finished.front().attempt);
        m_finished.pop_front();
    }
    for (auto at = m_exports.begin(); at != m_exports.end();) {
        if (at->second.expiresAt > now) {
            ++at;
            continue;
        }
        m_memory.unreserve(at->second.blocks);
        at = m_exports.erase(at);
    }
}

void EngineCore::Impl::runStep(MonotonicTime now)
{
    if (!startQueued(now))
        return;
    double prefillTokens = 0;
    double decoding = 0;
    for (const AttemptId& id : m_running) {
        const EngineAttempt& attempt = m_attempts.at(id);
        prefillTokens += static_cast<double>(attempt.wantsPrefill() ? attempt.prefillLeft : 0);
        decoding += attempt.wantsDecode() ? 1 : 0;
    }
    // A step's time goes to both kinds of work; neither gets less than half if it needs it.
    const double time = seconds(m_settings.step);
    const double prefillNeed = prefillTokens / m_settings.prefillTokensPerSecond;
    const double decodeNeed = decoding / m_settings.decodeTokensPerSecond;
    const double decodeTime = std::min(decodeNeed, std::max(time / 2, time - prefillNeed));
    decode(decodeTime * m_settings.decodeTokensPerSecond, now);
    prefill((time - decodeTime) * m_settings.prefillTokensPerSecond, now);
    finishComplete(now);
}

bool EngineCore::Impl::startQueued(MonotonicTime now)
{
    while (!m_queue.empty() && m_running.size() < m_settings.maxRunning) {
        const AttemptId id = m_queue.begin()->second;
        EngineAttempt& attempt = m_attempts.at(id);
        if (!m_memory.hold(attempt, now))
            return true;
        m_queue.erase(m_queue.begin());
        attempt.state = AttemptState::Running;
        const std::int64_t cached = attempt.pinnedBlocks * m_settings.blockTokens.count();
        // The tokens that another engine made have to be worked through as well.
        attempt.prefillLeft
            = attempt.imported ? 0 : attempt.hash.tokens - cached + attempt.request.offset.count();
        m_running.push_back(id);
        ++m_stats.attempts[id].runs;
        if (!m_faults.crashOn.empty() && attempt.request.prompt.find(m_faults.crashOn) != std::string::npos) {
            crash();
            return false;
        }
    }
    return true;
}

void EngineCore::Impl::prefill(double budget, MonotonicTime now)
{
    m_prefillCredit += budget;
    std::map<std::pair<int, std::uint64_t>, EngineAttempt*> waiting;
    for (const AttemptId& id : m_running) {
        EngineAttempt& attempt = m_attempts.at(id);
        if (attempt.wantsPrefill())
            waiting.emplace(std::make_pair(-attempt.request.priority.count(), attempt.arrival), &attempt);
    }
    for (const auto& [place, waitingAttempt] : waiting) {
        EngineAttempt& attempt = *waitingAttempt;
        const std::int64_t tokens = std::min(attempt.prefillLeft, static_cast<std::int64_t>(m_prefillCredit));
        attempt.prefillLeft -= tokens;
        m_prefillCredit -= static_cast<double>(tokens);
        if (attempt.prefillLeft > 0)
            return;
        prefilled(attempt, now);
    }
    // Time without work cannot be saved up.
    m_prefillCredit = 0;
}

void EngineCore::Impl::prefilled(EngineAttempt& attempt, MonotonicTime now)
{
    attempt.prefilled = true;
    m_memory.storePrompt(attempt, now);
    if (attempt.request.phase == AttemptPhase::Prefill)
        keepExport(attempt, now);
}

void EngineCore::Impl::keepExport(EngineAttempt& attempt, MonotonicTime now)
{
    attempt.kvHandle = "kv-" + std::to_string(m_state.boot) + "-" + std::to_string(++m_handles);
    Export kept;
    kept.cache = { hashForKv(attempt.request.prompt), TokenCount(attempt.hash.tokens) };
    // The attempt's own blocks stay held until the cache is fetched.
    kept.blocks = attempt.reservedBlocks;
    kept.expiresAt = now + exportKept;
    attempt.reservedBlocks = 0;
    m_exports.emplace(attempt.kvHandle, kept);
}

void EngineCore::Impl::decode(double budget, MonotonicTime)
{
    m_decodeCredit += budget;
    const std::size_t count = m_running.size();
    std::size_t served = 0;
    for (std::size_t i = 0; i < count && m_decodeCredit >= 1; ++i) {
        EngineAttempt& attempt = m_attempts.at(m_running[i]);
        ++served;
        if (!attempt.wantsDecode() || attempt.decodeLeft() <= 0)
            continue;
        ++attempt.made;
        ++m_stats.attempts[m_running[i]].tokens;
        m_decodeCredit -= 1;
    }
    if (served == count)
        m_decodeCredit = std::min(m_decodeCredit, 1.0);
    // Those that got no token in this step come first in the next.
    std::rotate(m_running.begin(), m_running.begin() + static_cast<std::ptrdiff_t>(served), m_running.end());
}

void EngineCore::Impl::finishComplete(MonotonicTime now)
{
    const std::vector<AttemptId> running = m_running;
    for (const AttemptId& id : running) {
        const EngineAttempt& attempt = m_attempts.at(id);
        if (attempt.wantsDecode() && attempt.decodeLeft() <= 0)
            finish(id, AttemptState::Done, now);
    }
}

void EngineCore::Impl::finish(const AttemptId& id, AttemptState state, MonotonicTime now)
{
    EngineAttempt& attempt = m_attempts.at(id);
    attempt.state = state;
    m_memory.release(attempt);
    m_running.erase(std::remove(m_running.begin(), m_running.end(), id), m_running.end());
    m_finished.push_back({ id, now + finishedKept });
}

EngineCore::EngineCore(const EngineSettings& settings, Clock clock, std::uint64_t firstBoot)
    : m_impl(std::make_unique<Impl>(settings, std::move(clock), firstBoot))
{
}

EngineCore::~EngineCore() = default;

void EngineCore::advance() { m_impl->advance(); }

std::optional<MonotonicTime> EngineCore::nextDue() const { return m_impl->nextDue(); }

SubmitOutcome EngineCore::submit(const AttemptRequest& request, const std::optional<KvCache>& imported)
{
    return m_impl->submit(request, imported);
}

std::optional<AttemptProgress> EngineCore::progress(const AttemptId& id, TokenCount from) const
{
    return m_impl->progress(id, from);
}

bool EngineCore::hasProgress(const AttemptId& id, TokenCount from) const
{
    return m_impl->hasProgress(id, from);
}

bool EngineCore::cancel(const AttemptId& id) { return m_impl->cancel(id); }

std::optional<KvCache> EngineCore::exportKv(const std::string& handle) { return m_impl->exportKv(handle); }

OrderOutcome EngineCore::order(const EngineOrder& order) { return m_impl->order(order); }

LoadReport EngineCore::loadReport() { return m_impl->loadReport(); }

std::vector<CacheEvent> EngineCore::cacheEvents(std::uint64_t since) const
{
    return m_impl->cacheEvents(since);
}

EngineState EngineCore::state() const { return m_impl->state(); }

const EngineStats& EngineCore::stats() const { return m_impl->stats(); }

EngineFaults& EngineCore::faults() { return m_impl->faults(); }

void EngineCore::crash() { m_impl->crash(); }

bool EngineCore::down() const { return m_impl->down(); }

} // namespace almondscale::standin
