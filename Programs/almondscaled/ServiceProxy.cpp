#include "ServiceProxy.h"

#include "CallerOrganisation.h"
#include "Core/LogEvent.h"
#include "Http/ErrorResponse.h"
#include "Http/HttpClient.h"

#include <algorithm>
#include <xxhash.h>

namespace almondscale {

namespace {

    const std::string servicesPrefix = "/services/";

    const ServiceRule* findService(const RuleSet& rules, const std::string& name)
    {
        const auto found = std::find_if(rules.services.begin(), rules.services.end(),
            [&](const ServiceRule& rule) { return rule.service.text() == name; });
        return found == rules.services.end() ? nullptr : &*found;
    }

    bool isBooking(const ServiceRule& service, const std::string& method, const std::string& path)
    {
        return std::any_of(
            service.bookingCalls.begin(), service.bookingCalls.end(), [&](const BookingCall& call) {
                return call.method == method && path.compare(0, call.pathPrefix.size(), call.pathPrefix) == 0;
            });
    }

    // The instances in the order to try them: those of the own data centre first.
    std::vector<ServiceInstance> instancesInOrder(const ServiceRule& service, const DataCentre& own)
    {
        std::vector<ServiceInstance> instances = service.instances;
        std::stable_partition(instances.begin(), instances.end(),
            [&](const ServiceInstance& instance) { return instance.dataCentre == own; });
        return instances;
    }

    // The deadline that the caller's header names, or the default.
    Deadline deadlineOf(const HttpRequest& request, MonotonicTime now, Nanoseconds fallback)
    {
        const std::string text = request.header("x-deadline-ms");
        const long named = std::strtol(text.c_str(), nullptr, 10);
        return Deadline::after(now, named > 0 ? Nanoseconds(std::chrono::milliseconds(named)) : fallback);
    }

    HttpCall callFor(
        const HttpRequest& request, const std::string& path, const Address& to, Deadline deadline)
    {
        HttpCall call;
        call.to = to;
        call.method = request.method;
        call.path = request.query.empty() ? path : path + "?" + request.query;
        for (const char* name :
            { "content-type", "accept", "authorization", "idempotency-key", "x-organisation" }) {
            const std::string value = request.header(name);
            if (!value.empty())
                call.headers[name] = value;
        }
        call.body = request.body;
        call.deadline = deadline;
        return call;
    }

    HttpResponse recordedAnswer(const BookingAnswer& answer)
    {
        HttpResponse response;
        response.status = answer.status;
        response.contentType = answer.contentType;
        response.headers["idempotent-replayed"] = "true";
        response.body = answer.body;
        return response;
    }

    // The part of a service's answer that the caller gets.
    HttpResponse passedOn(const HttpResponse& answer)
    {
        HttpResponse response;
        response.status = answer.status;
        response.contentType = answer.contentType;
        response.body = answer.body;
        return response;
    }

} // namespace

ServiceProxy::ServiceProxy(
    HostContext& context, Incarnation incarnation, Table table, HolderLivenessCheck holderLive)
    : m_context(context)
    , m_incarnation(incarnation)
    , m_recorder(std::move(table), std::move(holderLive))
{
}

void ServiceProxy::serve(const HttpRequest& request, ReplyWriter& reply)
{
    const auto rules = m_context.rules.get();
    if (!rules)
        return reply.send(errorResponse(ErrorKind::NoRules));
    const auto slash = request.path.find('/', servicesPrefix.size());
    const std::string name = request.path.substr(servicesPrefix.size(), slash - servicesPrefix.size());
    const std::string path = slash == std::string::npos ? "/" : request.path.substr(slash);
    const ServiceRule* service = findService(*rules, name);
    if (!service)
        return reply.send(errorResponse(ErrorKind::UnknownService));
    const auto retryAt = m_context.limits.admit(callerOrganisation(request));
    if (retryAt)
        return reply.send(errorResponse(ErrorKind::LimitExceeded, {}, *retryAt - m_context.clock()));
    if (isBooking(*service, request.method, path))
        book(request, *service, path, reply);
    else
        passOn(request, *service, path, reply);
}

void ServiceProxy::passOn(
    const HttpRequest& request, const ServiceRule& service, const std::string& path, ReplyWriter& reply)
{
    const MonotonicTime now = m_context.clock();
    const Deadline deadline = deadlineOf(request, now, m_context.settings.defaultDeadline);
    const std::string& budget = service.service.text();
    m_context.budgets.onRequest(budget, now);
    bool mayHaveRun = false;
    bool first = true;
    for (const ServiceInstance& instance : instancesInOrder(service, m_context.settings.dataCentre)) {
        if (!first && !m_context.budgets.tryRetry(budget, m_context.clock()))
            return reply.send(
                errorResponse(mayHaveRun ? ErrorKind::AnswerLost : ErrorKind::RetryBudgetSpent));
        first = false;
        const CallResult result = callOnce(callFor(request, path, instance.address, deadline));
        if (result.ok())
            return reply.send(passedOn(*result.response));
        mayHaveRun = mayHaveRun || result.failure == CallFailure::AnswerLost;
        if (deadline.passed(m_context.clock()))
            break;
    }
    reply.send(errorResponse(mayHaveRun ? ErrorKind::AnswerLost : ErrorKind::NoEngine));
}

void ServiceProxy::book(
    const HttpRequest& request, const ServiceRule& service, const std::string& path, ReplyWriter& reply)
{
    const BookingRequest booking = bookingRequest(request, service, path);
    const BookingHolder holder { AttemptId(m_context.ids.next()), m_context.settings.host, m_incarnation };
    const BookingClaimResult claim = m_recorder.claim(booking, holder);
    if (claim.kind == BookingClaimResult::Kind::Answered) {
        m_context.metrics.bookingEnded(ErrorKind::None);
        return reply.send(recordedAnswer(claim.answer));
    }
    if (claim.kind != BookingClaimResult::Kind::Send)
        return refuse(booking, claim.error, reply);
    send(request, service, path, booking, holder, reply);
}

// The call goes to one instance only; another is tried only if it is proved that nothing was sent.
void ServiceProxy::send(const HttpRequest& request, const ServiceRule& service, const std::string& path,
    const BookingRequest& booking, const BookingHolder& holder, ReplyWriter& reply)
{
    const Deadline deadline = deadlineOf(request, m_context.clock(), m_context.settings.defaultDeadline);
    for (const ServiceInstance& instance : instancesInOrder(service, m_context.settings.dataCentre)) {
        HttpCall call = callFor(request, path, instance.address, deadline);
        call.headers["idempotency-key"] = booking.key.text();
        const CallResult result = callOnce(call);
        if (result.ok()) {
            const HttpResponse& answer = *result.response;
            m_recorder.answered(booking, holder, { answer.status, answer.contentType, answer.body });
            m_context.metrics.bookingEnded(ErrorKind::None);
            return reply.send(passedOn(answer));
        }
        if (result.failure == CallFailure::AnswerLost) {
            m_recorder.lost(booking, holder);
            return refuse(booking, ErrorKind::BookingUnknown, reply);
        }
    }
    m_recorder.released(booking, holder);
    refuse(booking, ErrorKind::NoEngine, reply);
}

void ServiceProxy::refuse(const BookingRequest& booking, ErrorKind kind, ReplyWriter& reply)
{
    m_context.metrics.bookingEnded(kind);
    LogEvent("booking_refused", LogLevel::Warning)
        .with("service", booking.service)
        .with("key", booking.key)
        .with("error", errorName(kind));
    reply.send(errorResponse(kind));
}

BookingRequest ServiceProxy::bookingRequest(
    const HttpRequest& request, const ServiceRule& service, const std::string& path)
{
    BookingRequest booking;
    booking.organisation = callerOrganisation(request);
    booking.service = service.service;
    const std::string key = request.header("idempotency-key");
    // A call without a key gets one that no other call has, so it is never repeated.
    booking.key = BookingKey(key.empty() ? "generated-" + m_context.ids.next() : key);
    const std::string content = request.method + " " + path + "?" + request.query + "\n" + request.body;
    booking.fingerprint = XXH64(content.data(), content.size(), 0);
    return booking;
}

} // namespace almondscale
