/// @file
/// One call in progress at PeerServer.
#pragma once

#include "protocol/CompletionThread.h"
#include "protocol/PeerServerShutdown.h"

#include <grpcpp/server_context.h>
#include <grpcpp/support/async_unary_call.h>
#include <grpcpp/support/status.h>

#include <functional>
#include <memory>
#include <mutex>
#include <utility>

namespace lentilsaddle::protocol {

/// Accepts one call of an RPC method, passes the request to a handler and sends the reply. When a call arrives, a new
/// object accepts the next one.
/// @tparam Request request message of the method.
/// @tparam Response response message of the method.
template <typename Request, typename Response>
class PeerServerCall : public CompletionThread::Operation,
                       public std::enable_shared_from_this<PeerServerCall<Request, Response>> {
public:
    using Responder = grpc::ServerAsyncResponseWriter<Response>;
    /// Requests the next call of the method from the gRPC service.
    using Accept = std::function<void(grpc::ServerContext*, Request*, Responder*, void* tag)>;
    using Reply = std::function<void(const grpc::Status&, const Response&)>;
    using Handle = std::function<void(const Request&, Reply)>;

    struct Method {
        Accept accept;
        Handle handle;
        std::shared_ptr<PeerServerShutdown> shutdown;
    };

    /// Starts to accept calls of a method.
    static void serve(std::shared_ptr<const Method> method)
    {
        std::shared_ptr<PeerServerCall> call(new PeerServerCall(std::move(method)));
        std::lock_guard lock(call->m_method->shutdown->mutex);
        if (call->m_method->shutdown->closed)
            return;
        call->m_self = call;
        call->m_method->accept(&call->m_context, &call->m_request, &call->m_responder, call.get());
    }

    void proceed(bool succeeded) override
    {
        // The queue no longer refers to this object; from here on the reply function keeps it alive.
        std::shared_ptr<PeerServerCall> self = std::move(m_self);
        if (!succeeded || m_replied)
            return;
        serve(m_method);
        m_method->handle(
            m_request, [self](const grpc::Status& status, const Response& response) { self->reply(status, response); });
    }

private:
    explicit PeerServerCall(std::shared_ptr<const Method> method)
        : m_method(std::move(method))
        , m_responder(&m_context)
    {
    }

    void reply(const grpc::Status& status, const Response& response)
    {
        std::lock_guard lock(m_method->shutdown->mutex);
        if (m_method->shutdown->closed || m_replied)
            return;
        m_replied = true;
        m_self = this->shared_from_this();
        m_responder.Finish(response, status, this);
    }

    std::shared_ptr<const Method> m_method;
    grpc::ServerContext m_context;
    Request m_request;
    Responder m_responder;
    bool m_replied = false;
    /// Keeps this object alive while the queue refers to it.
    std::shared_ptr<PeerServerCall> m_self;
};

} // namespace lentilsaddle::protocol
