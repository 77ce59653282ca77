/// @file
/// Thread that waits on a gRPC completion queue.
#pragma once

#include <grpcpp/completion_queue.h>

#include <memory>
#include <thread>
#include <utility>

namespace lentilsaddle::protocol {

/// Waits for the operations of one completion queue, which the event loop cannot drive, and notifies their owners.
/// Makes no decisions of its own.
class CompletionThread {
public:
    /// Operation in flight; its address is the tag on the queue.
    class Operation {
    public:
        virtual ~Operation() = default;
        /// Called on the completion thread when the operation has completed.
        /// @param succeeded whether the operation took place, as the queue reports it.
        virtual void proceed(bool succeeded) = 0;
    };

    explicit CompletionThread(std::unique_ptr<grpc::CompletionQueue> queue)
        : m_queue(std::move(queue))
        , m_thread([this] { run(); })
    {
    }

    /// Waits for the operations in flight, whose calls must have been cancelled or finished before.
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
            static_cast<Operation*>(tag)->proceed(succeeded);
    }

    std::unique_ptr<grpc::CompletionQueue> m_queue;
    std::thread m_thread;
};

} // namespace lentilsaddle::protocol
