#include "coordination/requests/ServiceDispatcher.h"

#include <charconv>
#include <utility>

namespace lentilsaddle::coordination {

namespace {

    constexpr int serviceUnavailable = 503;
    constexpr int firstServerError = 500;

    /// Timeouts shorter than this are attributed to the caller's short deadline and do not count as a failure of the
    /// backend server.
    constexpr std::chrono::seconds minimumCountedTimeout { 1 };

    std::string header(const transport::HttpResponse& response, const std::string& name)
    {
        auto found = response.headers.find(name);
        return found == response.headers.end() ? std::string() : found->second;
    }

    std::optional<int> reportedOccupancy(const transport::HttpResponse& response)
    {
        std::string text = header(response, "runner-occupancy");
        int value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (text.empty() || error != std::errc() || value < 0)
            return std::nullopt;
        return value;
    }

    bool closesConnection(const transport::HttpResponse& response)
    {
        std::string value = header(response, "connection");
        return value == "close" || value == "Close";
    }

} // namespace

ServiceDispatcher::ServiceDispatcher(
    state::ServiceId service, const TaskEnvironment& environment, const RequestTaskOptions& options, Hooks hooks)
    : m_service(std::move(service))
    , m_environment(environment)
    , m_hooks(std::move(hooks))
    , m_telemetry(environment)
    , m_queue(options.queue)
    , m_selector(environment.dataCentre, { .random = environment.random })
    , m_outliers(options.outliers)
{
}

void ServiceDispatcher::configure(const state::Configuration& configuration)
{
    for (const auto& [id, account] : configuration.accounts)
        m_queue.setWeight(id, account.weight);
    auto service = configuration.services.find(m_service);
    if (service != configuration.services.end())
        m_selector.setService(service->second);
}

void ServiceDispatcher::setInstances(const std::vector<state::InstanceInfo>& instances)
{
    std::vector<state::InstanceInfo> backendServers;
    int liveEntryInstances = 0;
    for (const state::InstanceInfo& instance : instances) {
        if (instance.kind == state::InstanceInfo::Kind::BackendServer && instance.service == m_service)
            backendServers.push_back(instance);
        else if (instance.kind == state::InstanceInfo::Kind::Entry
            && instance.state == state::InstanceInfo::State::Live)
            ++liveEntryInstances;
    }
    std::vector<state::InstanceId> known;
    for (const auto& [id, backendServer] : m_selector.servers())
        known.push_back(id);
    m_selector.setServers(backendServers, liveEntryInstances);
    for (const state::InstanceId& id : known) {
        if (!m_selector.servers().contains(id))
            m_outliers.forget(id);
    }
    dispatchQueued();
}

AdmissionQueue::Verdict ServiceDispatcher::checkAdmission(const AdmissionQueue::Item& item) const
{
    return m_queue.check(item, m_selector.outstanding(), m_environment.monotonicClock());
}

AdmissionQueue::Admission ServiceDispatcher::enqueue(const AdmissionQueue::Item& item)
{
    AdmissionQueue::Admission admission = m_queue.offer(item, m_selector.outstanding(), m_environment.monotonicClock());
    if (admission.evicted)
        m_hooks.onEvicted(admission.evicted->ticket, admission.estimatedWait);
    return admission;
}

std::vector<AdmissionQueue::Item> ServiceDispatcher::removeExpired()
{
    return m_queue.removeExpired(m_environment.monotonicClock());
}

void ServiceDispatcher::dispatchQueued()
{
    // Hooks may enqueue further requests and call this function again; the loop of the outer call dispatches them.
    if (m_dispatching)
        return;
    m_dispatching = true;
    while (dispatchNext()) { }
    m_dispatching = false;
    m_telemetry.setQueueLength(m_service, m_queue.size());
    scheduleProbe();
}

bool ServiceDispatcher::dispatchNext()
{
    state::MonotonicTime now = m_environment.monotonicClock();
    std::optional<AdmissionQueue::Item> item = m_queue.dequeue(now);
    if (!item)
        return false;
    std::optional<state::InstanceId> backendServer
        = m_selector.select([this, now](const state::InstanceId& id) { return m_outliers.available(id, now); },
            m_hooks.previousBackendServer(item->ticket));
    if (!backendServer) {
        m_queue.requeue(*item);
        return false;
    }
    if (std::optional<PreparedCall> prepared = m_hooks.prepare(item->ticket, *backendServer))
        dispatch(*item, *backendServer, *prepared);
    return true;
}

void ServiceDispatcher::dispatch(
    const AdmissionQueue::Item& item, const state::InstanceId& backendServer, const PreparedCall& prepared)
{
    transport::HttpCall call = prepared.call;
    call.url = "http://" + m_selector.servers().at(backendServer).address + "/v1/services/" + m_service.value()
        + "/requests";
    InFlight inFlight {
        .ticket = item.ticket,
        .request = prepared.request,
        .attempt = prepared.attempt,
        .backendServer = backendServer,
        .sentAt = m_environment.monotonicClock(),
    };
    m_selector.recordDispatch(backendServer);
    m_outliers.recordDispatch(backendServer);
    m_hooks.send(call, [this, inFlight](transport::HttpResult result) { onHttpResult(inFlight, std::move(result)); });
    m_hooks.onDispatched(item.ticket);
}

void ServiceDispatcher::onHttpResult(const InFlight& inFlight, transport::HttpResult result)
{
    RequestPolicy::Result attemptResult = classify(inFlight, result);
    state::MonotonicTime now = m_environment.monotonicClock();
    if (attemptResult == RequestPolicy::Result::ResponseReceived)
        m_queue.recordServiceTime(std::chrono::ceil<std::chrono::microseconds>(now - inFlight.sentAt));
    m_selector.recordCompletion(inFlight.backendServer, reportedOccupancy(result.response));
    updateOutlierDetector(inFlight, attemptResult, result.response);
    m_hooks.onResult(inFlight.ticket, inFlight.attempt, attemptResult, std::move(result.response));
    dispatchQueued();
}

RequestPolicy::Result ServiceDispatcher::classify(const InFlight& inFlight, const transport::HttpResult& result) const
{
    if (result.failure == transport::HttpFailure::NotSent)
        return RequestPolicy::Result::NotSent;
    if (result.failure == transport::HttpFailure::ResponseLost)
        return result.timedOut ? RequestPolicy::Result::TimedOut : RequestPolicy::Result::ResponseLost;
    std::string request = header(result.response, "request-id");
    std::string attempt = header(result.response, "request-attempt");
    bool mismatched = (!request.empty() && request != inFlight.request.value())
        || (!attempt.empty() && attempt != std::to_string(inFlight.attempt));
    if (mismatched) {
        m_telemetry.countMismatchedResponse(m_service);
        return RequestPolicy::Result::ResponseLost;
    }
    bool refused
        = result.response.status == serviceUnavailable && header(result.response, "request-not-started") == "true";
    return refused ? RequestPolicy::Result::RefusedBeforeStart : RequestPolicy::Result::ResponseReceived;
}

void ServiceDispatcher::updateOutlierDetector(
    const InFlight& inFlight, RequestPolicy::Result result, const transport::HttpResponse& response)
{
    state::MonotonicTime now = m_environment.monotonicClock();
    bool shortTimeout = result == RequestPolicy::Result::TimedOut && now - inFlight.sentAt < minimumCountedTimeout;
    bool failed
        = !shortTimeout && (result != RequestPolicy::Result::ResponseReceived || response.status >= firstServerError);
    if (result == RequestPolicy::Result::RefusedBeforeStart)
        m_outliers.recordRefusal(inFlight.backendServer, now);
    else if (!failed)
        m_outliers.recordSuccess(inFlight.backendServer);
    else if (m_outliers.recordFailure(inFlight.backendServer, now))
        m_telemetry.countEjection(m_service, inFlight.backendServer);
    if (closesConnection(response))
        m_outliers.recordLeaving(inFlight.backendServer, now);
}

void ServiceDispatcher::scheduleProbe()
{
    if (m_queue.size() == 0)
        return;
    state::MonotonicTime now = m_environment.monotonicClock();
    std::optional<state::MonotonicTime> next = m_outliers.nextProbe(now);
    if (!next || (m_probeScheduled && *m_probeScheduled <= *next && *m_probeScheduled > now))
        return;
    m_probeScheduled = next;
    m_hooks.startTimer(std::chrono::ceil<std::chrono::microseconds>(*next - now), [this] { dispatchQueued(); });
}

} // namespace lentilsaddle::coordination
