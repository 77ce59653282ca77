#include "transport/EventLoop.h"

#include "transport/CallbackGuard.h"
#include "transport/TransportError.h"

#include <ev.h>

#include <atomic>
#include <unordered_map>

namespace lentilsaddle::transport {

namespace {

    struct TimerWatcher {
        ev_timer watcher;
        EventLoop::TimerId id;
        EventLoop::Callback callback;
        std::unordered_map<EventLoop::TimerId, std::unique_ptr<TimerWatcher>>* owner;
    };

    struct DescriptorWatcher {
        ev_io watcher;
        std::shared_ptr<EventLoop::DescriptorCallback> callback;
    };

} // namespace

struct EventLoop::Implementation {
    struct ev_loop* loop = nullptr;
    ev_async wakeWatcher {};
    Callback onWake;
    std::atomic<bool> stopping = false;
    TimerId nextTimer = 1;
    std::unordered_map<TimerId, std::unique_ptr<TimerWatcher>> timers;
    std::unordered_map<int, std::unique_ptr<DescriptorWatcher>> descriptors;
};

EventLoop::EventLoop(Callback onWake)
    : m_implementation(std::make_unique<Implementation>())
{
    m_implementation->loop = ev_loop_new(EVFLAG_AUTO);
    if (!m_implementation->loop)
        throw TransportError("cannot create a libev loop");
    m_implementation->onWake = std::move(onWake);
    ev_async_init(&m_implementation->wakeWatcher, [](struct ev_loop* loop, ev_async* watcher, int) {
        auto* self = static_cast<Implementation*>(watcher->data);
        // The flag is read before the callback, which then handles every message posted before the stop.
        bool stop = self->stopping;
        runGuarded("wake", self->onWake);
        if (stop)
            ev_break(loop, EVBREAK_ALL);
    });
    m_implementation->wakeWatcher.data = m_implementation.get();
    ev_async_start(m_implementation->loop, &m_implementation->wakeWatcher);
}

EventLoop::~EventLoop()
{
    for (auto& [descriptor, entry] : m_implementation->descriptors)
        ev_io_stop(m_implementation->loop, &entry->watcher);
    for (auto& [id, entry] : m_implementation->timers)
        ev_timer_stop(m_implementation->loop, &entry->watcher);
    ev_async_stop(m_implementation->loop, &m_implementation->wakeWatcher);
    ev_loop_destroy(m_implementation->loop);
}

void EventLoop::run()
{
    // A stop requested before run() takes effect after the pending wake callback, so that no message posted before the
    // stop is lost.
    ev_run(m_implementation->loop, 0);
}

void EventLoop::wake()
{
    ev_async_send(m_implementation->loop, &m_implementation->wakeWatcher);
}

void EventLoop::requestStop()
{
    m_implementation->stopping = true;
    wake();
}

EventLoop::TimerId EventLoop::startTimer(std::chrono::microseconds delay, Callback callback)
{
    // libev starts timers from its cached time, which is outdated after a long callback.
    ev_now_update(m_implementation->loop);
    auto entry = std::make_unique<TimerWatcher>();
    entry->id = m_implementation->nextTimer++;
    entry->callback = std::move(callback);
    entry->owner = &m_implementation->timers;
    double seconds = std::chrono::duration<double>(delay).count();
    ev_timer_init(
        &entry->watcher,
        [](struct ev_loop*, ev_timer* watcher, int) {
            auto* expired = static_cast<TimerWatcher*>(watcher->data);
            auto node = expired->owner->extract(expired->id);
            runGuarded("timer", node.mapped()->callback);
        },
        seconds > 0 ? seconds : 0, 0);
    entry->watcher.data = entry.get();
    ev_timer_start(m_implementation->loop, &entry->watcher);
    TimerId id = entry->id;
    m_implementation->timers.emplace(id, std::move(entry));
    return id;
}

void EventLoop::cancelTimer(TimerId timer)
{
    auto found = m_implementation->timers.find(timer);
    if (found == m_implementation->timers.end())
        return;
    ev_timer_stop(m_implementation->loop, &found->second->watcher);
    m_implementation->timers.erase(found);
}

void EventLoop::watchDescriptor(int descriptor, bool read, bool write, DescriptorCallback callback)
{
    unwatchDescriptor(descriptor);
    auto entry = std::make_unique<DescriptorWatcher>();
    entry->callback = std::make_shared<DescriptorCallback>(std::move(callback));
    int events = (read ? EV_READ : 0) | (write ? EV_WRITE : 0);
    ev_io_init(
        &entry->watcher,
        [](struct ev_loop*, ev_io* watcher, int revents) {
            // The callback may unwatch its own descriptor; this copy of the pointer keeps it alive during the call.
            auto callback = static_cast<DescriptorWatcher*>(watcher->data)->callback;
            runGuarded("descriptor",
                [&callback, revents] { (*callback)((revents & EV_READ) != 0, (revents & EV_WRITE) != 0); });
        },
        descriptor, events);
    entry->watcher.data = entry.get();
    ev_io_start(m_implementation->loop, &entry->watcher);
    m_implementation->descriptors.emplace(descriptor, std::move(entry));
}

void EventLoop::unwatchDescriptor(int descriptor)
{
    auto found = m_implementation->descriptors.find(descriptor);
    if (found == m_implementation->descriptors.end())
        return;
    ev_io_stop(m_implementation->loop, &found->second->watcher);
    m_implementation->descriptors.erase(found);
}

} // namespace lentilsaddle::transport
