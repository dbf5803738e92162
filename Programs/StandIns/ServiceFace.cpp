#include "StandIns/ServiceFace.h"

#include "Http/Json.h"
#include "Http/JsonBuilder.h"
#include "StandIns/JsonError.h"
#include "StandIns/ServiceFaults.h"

#include <map>
#include <mutex>
#include <thread>

namespace almondscale::standin {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusBadRequest = 400;
    constexpr int statusUnavailable = 503;
    constexpr Nanoseconds hangPoll = std::chrono::milliseconds(20);
    constexpr Nanoseconds longestHang = std::chrono::minutes(5);

    bool take(std::int64_t& count)
    {
        if (count <= 0)
            return false;
        --count;
        return true;
    }

} // namespace

class ServiceFace::Impl {
public:
    void handle(HttpExchange&);

private:
    void runs(HttpExchange&);
    void setFaults(HttpExchange&);
    void call(HttpExchange&);
    static void hang(HttpExchange&);

    std::mutex m_mutex;
    ServiceFaults m_faults;
    std::map<std::string, std::int64_t> m_runs;
};

void ServiceFace::Impl::handle(HttpExchange& exchange)
{
    if (exchange.path() == "/runs" && exchange.method() == "GET")
        runs(exchange);
    else if (exchange.path() == "/faults" && exchange.method() == "POST")
        setFaults(exchange);
    else
        call(exchange);
}

void ServiceFace::Impl::runs(HttpExchange& exchange)
{
    JsonBuilder json;
    json.beginObject("runs");
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& [key, count] : m_runs)
        json.integer(key.c_str(), count);
    json.endObject();
    exchange.reply(statusOk, json.finish());
}

void ServiceFace::Impl::setFaults(HttpExchange& exchange)
{
    const std::optional<JsonDocument> json = parseJson(exchange.body());
    if (!json) {
        exchange.reply(statusBadRequest, jsonError("bad_request"));
        return;
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (jsonMember(*json, "slow_ms") != nullptr)
        m_faults.slow = std::chrono::milliseconds(jsonInteger(*json, "slow_ms"));
    m_faults.loseAnswers = jsonInteger(*json, "lose_answers", m_faults.loseAnswers);
    m_faults.hang = jsonInteger(*json, "hang", m_faults.hang);
    m_faults.refuse = jsonInteger(*json, "refuse", m_faults.refuse);
    m_faults.cutAfterBytes = jsonInteger(*json, "cut_after_bytes", m_faults.cutAfterBytes);
    if (jsonFlag(*json, "silent"))
        exchange.silenceOthers();
    exchange.reply(statusOk, "{}");
}

void ServiceFace::Impl::call(HttpExchange& exchange)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    if (take(m_faults.refuse)) {
        exchange.reply(statusUnavailable, jsonError("refused"));
        return;
    }
    const std::string key = exchange.header("Idempotency-Key").value_or("");
    const std::int64_t run = key.empty() ? 1 : ++m_runs[key];
    const bool lost = take(m_faults.loseAnswers);
    const bool hung = !lost && take(m_faults.hang);
    const ServiceFaults faults = m_faults;
    lock.unlock();
    std::this_thread::sleep_for(faults.slow);
    if (lost) {
        exchange.drop();
        return;
    }
    if (hung) {
        hang(exchange);
        return;
    }
    JsonBuilder json;
    json.text("path", exchange.path());
    json.text("key", key);
    json.integer("run", run);
    const std::string answer = json.finish();
    if (faults.cutAfterBytes > 0)
        exchange.replyCut(statusOk, answer, static_cast<std::size_t>(faults.cutAfterBytes));
    else
        exchange.reply(statusOk, answer);
}

void ServiceFace::Impl::hang(HttpExchange& exchange)
{
    const MonotonicTime end = monotonicClock()() + longestHang;
    while (monotonicClock()() < end && !exchange.callerGone())
        std::this_thread::sleep_for(hangPoll);
    exchange.drop();
}

ServiceFace::ServiceFace()
    : m_impl(std::make_unique<Impl>())
{
}

ServiceFace::~ServiceFace() = default;

void ServiceFace::handle(HttpExchange& exchange) { m_impl->handle(exchange); }

} // namespace almondscale::standin
