#include "tests/process/BlockingHttp.h"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <memory>

namespace lentilsaddle::testing_support {

namespace {

    std::size_t onBody(char* data, std::size_t size, std::size_t count, void* reply)
    {
        static_cast<HttpReply*>(reply)->body.append(data, size * count);
        return size * count;
    }

    std::size_t onHeader(char* data, std::size_t size, std::size_t count, void* reply)
    {
        std::string line(data, size * count);
        auto colon = line.find(':');
        if (colon == std::string::npos)
            return size * count;
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        auto first = line.find_first_not_of(' ', colon + 1);
        auto last = line.find_last_not_of(" \r\n");
        if (first != std::string::npos && first <= last)
            static_cast<HttpReply*>(reply)->headers[name] = line.substr(first, last - first + 1);
        return size * count;
    }

    curl_slist* headerList(const BlockingRequest& request)
    {
        curl_slist* list = curl_slist_append(nullptr, "Expect:");
        for (const auto& [name, value] : request.headers)
            list = curl_slist_append(list, (std::string(name) += ": " + value).c_str());
        return list;
    }

} // namespace

std::string HttpReply::header(const std::string& name) const
{
    auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
}

HttpSession::HttpSession()
    : m_handle(curl_easy_init())
{
}

HttpSession::~HttpSession()
{
    curl_easy_cleanup(m_handle);
}

HttpReply HttpSession::call(const BlockingRequest& request)
{
    CURL* easy = m_handle;
    // The reset clears the options of the previous request and keeps open connections.
    curl_easy_reset(easy);
    std::unique_ptr<curl_slist, void (*)(curl_slist*)> headers(headerList(request), &curl_slist_free_all);
    HttpReply reply;
    std::string url = "http://127.0.0.1:" + std::to_string(request.port) + request.path;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &reply);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &reply);
    if (request.method != "GET") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.c_str());
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    }
    CURLcode code = curl_easy_perform(easy);
    if (code != CURLE_OK) {
        reply.error = curl_easy_strerror(code);
        reply.connectionRefused = code == CURLE_COULDNT_CONNECT;
        return reply;
    }
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    reply.status = static_cast<int>(status);
    return reply;
}

HttpReply callHttp(const BlockingRequest& request)
{
    return HttpSession().call(request);
}

} // namespace lentilsaddle::testing_support
