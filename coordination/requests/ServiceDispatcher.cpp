#include "coordination/requests/ServiceDispatcher.h"

#include <charconv>
#include <utility>

namespace lentilsaddle::coordination {

namespace {

    constexpr int serviceUnavailable = 503;
    constexpr int firstServerError = 500;

    /// A runner that is cut off by a shorter deadline is not to blame for the missing answer.
    constexpr std::chrono::seconds blamedTimeout { 1 };

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
    , m_report(environment)
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
    std::vector<state::InstanceInfo> runners;
    int liveEntryInstances = 0;
    for (const state::InstanceInfo& instance : instances) {
        if (instance.kind == state::InstanceInfo::Kind::BackendServer && instance.service == m_service)
            runners.push_back(instance);
        else if (instance.kind == state::InstanceInfo::Kind::Entry
            && instance.state == state::InstanceInfo::State::Live)
            ++liveEntryInstances;
    }
    std::vector<state::InstanceId> known;
    for (const auto& [id, runner] : m_selector.servers())
        known.push_back(id);
    m_selector.setServers(runners, liveEntryInstances);
    for (const state::InstanceId& id : known) {
        if (!m_selector.servers().contains(id))
            m_outliers.forget(id);
    }
    pump();
}

AdmissionQueue::Verdict ServiceDispatcher::check(const AdmissionQueue::Item& item) const
{
    return m_queue.check(item, m_selector.outstanding(), m_environment.monotonicClock());
}

AdmissionQueue::Admission ServiceDispatcher::offer(const AdmissionQueue::Item& item)
{
    AdmissionQueue::Admission admission = m_queue.offer(item, m_selector.outstanding(), m_environment.monotonicClock());
    if (admission.evicted)
        m_hooks.onEvicted(admission.evicted->ticket, admission.estimatedWait);
    return admission;
}

std::vector<AdmissionQueue::Item> ServiceDispatcher::takeExpired()
{
    return m_queue.removeExpired(m_environment.monotonicClock());
}

void ServiceDispatcher::pump()
{
    // Hooks may queue further requests; the loop below serves them.
    if (m_pumping)
        return;
    m_pumping = true;
    while (handOverNext()) { }
    m_pumping = false;
    m_report.queueLength(m_service, m_queue.size());
    scheduleProbe();
}

bool ServiceDispatcher::handOverNext()
{
    state::MonotonicTime now = m_environment.monotonicClock();
    std::optional<AdmissionQueue::Item> item = m_queue.dequeue(now);
    if (!item)
        return false;
    std::optional<state::InstanceId> runner
        = m_selector.select([this, now](const state::InstanceId& id) { return m_outliers.available(id, now); },
            m_hooks.previousRunner(item->ticket));
    if (!runner) {
        m_queue.requeue(*item);
        return false;
    }
    if (std::optional<Delivery> delivery = m_hooks.prepare(item->ticket, *runner))
        handOver(*item, *runner, *delivery);
    return true;
}

void ServiceDispatcher::handOver(
    const AdmissionQueue::Item& item, const state::InstanceId& runner, const Delivery& delivery)
{
    transport::HttpCall call = delivery.call;
    call.url = "http://" + m_selector.servers().at(runner).address + "/v1/services/" + m_service.value() + "/requests";
    InFlight sent {
        .ticket = item.ticket,
        .request = delivery.request,
        .attempt = delivery.attempt,
        .runner = runner,
        .sentAt = m_environment.monotonicClock(),
    };
    m_selector.recordDispatch(runner);
    m_outliers.recordDispatch(runner);
    m_hooks.send(call, [this, sent](transport::HttpResult result) { onHttpResult(sent, std::move(result)); });
    m_hooks.onHandedOver(item.ticket);
}

void ServiceDispatcher::onHttpResult(const InFlight& sent, transport::HttpResult result)
{
    RequestPolicy::Result kind = classify(sent, result);
    state::MonotonicTime now = m_environment.monotonicClock();
    if (kind == RequestPolicy::Result::ResponseReceived)
        m_queue.recordServiceTime(std::chrono::ceil<std::chrono::microseconds>(now - sent.sentAt));
    m_selector.recordCompletion(sent.runner, reportedOccupancy(result.response));
    judgeRunner(sent, kind, result.response);
    m_hooks.onResult(sent.ticket, sent.attempt, kind, std::move(result.response));
    pump();
}

RequestPolicy::Result ServiceDispatcher::classify(const InFlight& sent, const transport::HttpResult& result) const
{
    if (result.failure == transport::HttpFailure::NotSent)
        return RequestPolicy::Result::NotSent;
    if (result.failure == transport::HttpFailure::ResponseLost)
        return result.timedOut ? RequestPolicy::Result::TimedOut : RequestPolicy::Result::ResponseLost;
    std::string request = header(result.response, "request-id");
    std::string attempt = header(result.response, "request-attempt");
    bool crossed = (!request.empty() && request != sent.request.value())
        || (!attempt.empty() && attempt != std::to_string(sent.attempt));
    if (crossed) {
        m_report.crossedAnswerDropped(m_service);
        return RequestPolicy::Result::ResponseLost;
    }
    bool refused
        = result.response.status == serviceUnavailable && header(result.response, "request-not-started") == "true";
    return refused ? RequestPolicy::Result::RefusedBeforeStart : RequestPolicy::Result::ResponseReceived;
}

void ServiceDispatcher::judgeRunner(
    const InFlight& sent, RequestPolicy::Result result, const transport::HttpResponse& response)
{
    state::MonotonicTime now = m_environment.monotonicClock();
    bool shortTimeout = result == RequestPolicy::Result::TimedOut && now - sent.sentAt < blamedTimeout;
    bool failed
        = !shortTimeout && (result != RequestPolicy::Result::ResponseReceived || response.status >= firstServerError);
    if (result == RequestPolicy::Result::RefusedBeforeStart)
        m_outliers.recordRefusal(sent.runner, now);
    else if (!failed)
        m_outliers.recordSuccess(sent.runner);
    else if (m_outliers.recordFailure(sent.runner, now))
        m_report.ejected(m_service, sent.runner);
    if (closesConnection(response))
        m_outliers.recordLeaving(sent.runner, now);
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
    m_hooks.startTimer(std::chrono::ceil<std::chrono::microseconds>(*next - now), [this] { pump(); });
}

} // namespace lentilsaddle::coordination
