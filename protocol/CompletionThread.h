/// @file
/// Thread that waits on a gRPC completion queue.
#pragma once

#include <grpcpp/completion_queue.h>

#include <memory>
#include <thread>
#include <utility>

namespace lentilsaddle::protocol {

/// gRPC cannot be driven by the event loop, so one thread blocks on its queue. It only hands results on.
class CompletionThread {
public:
    /// Tag of an operation on the queue.
    class Step {
    public:
        virtual ~Step() = default;
        /// Called on the thread when the operation has ended.
        virtual void proceed(bool succeeded) = 0;
    };

    explicit CompletionThread(std::unique_ptr<grpc::CompletionQueue> queue)
        : m_queue(std::move(queue))
        , m_thread([this] { run(); })
    {
    }

    /// Waits for the operations in flight. The caller has ended their calls before.
    ~CompletionThread()
    {
        m_queue->Shutdown();
        m_thread.join();
    }
    CompletionThread(const CompletionThread&) = delete;
    CompletionThread& operator=(const CompletionThread&) = delete;

private:
    void run()
    {
        void* tag = nullptr;
        bool succeeded = false;
        while (m_queue->Next(&tag, &succeeded))
            static_cast<Step*>(tag)->proceed(succeeded);
    }

    std::unique_ptr<grpc::CompletionQueue> m_queue;
    std::thread m_thread;
};

} // namespace lentilsaddle::protocol
