#include "cli/ApiClient.h"

#include "transport/EventLoop.h"

#include <utility>

namespace lentilsaddle::cli {

ApiClient::ApiClient(std::string server, std::chrono::milliseconds timeout)
    : m_server(std::move(server))
    , m_timeout(timeout)
{
}

transport::HttpResult ApiClient::call(const std::string& method, const std::string& path, const std::string& body,
    const transport::HttpHeaders& headers) const
{
    transport::EventLoop loop([] {});
    transport::HttpClient client(loop, {});
    transport::HttpResult result;
    transport::HttpCall request {
        .method = method,
        .url = "http://" + m_server + path,
        .headers = headers,
        .body = body,
        .timeout = m_timeout,
        .freshConnection = true,
    };
    client.send(request, [&](transport::HttpResult received) {
        result = std::move(received);
        loop.requestStop();
    });
    loop.run();
    return result;
}

} // namespace lentilsaddle::cli
