#include "protocol/ApiCodec.h"
#include "protocol/ServiceRequestCodec.h"

#include "protocol/ProtocolError.h"
#include "state/JobSpecification.h"

#include <gtest/gtest.h>

namespace lentilsaddle::protocol {

namespace {

    std::string jobErrorField(const std::string& body)
    {
        try {
            decodeJobSubmission(body);
        } catch (const ProtocolError& error) {
            return error.field();
        }
        return "no error";
    }

    std::string headerErrorField(const transport::HttpHeaders& headers)
    {
        try {
            decodeServiceRequestHeaders(headers);
        } catch (const ProtocolError& error) {
            return error.field();
        }
        return "no error";
    }

} // namespace

// Guards against a job that can never run, or a mistyped field, being accepted.
TEST(ApiCodec, JobErrorsNameTheField)
{
    EXPECT_EQ(jobErrorField("{"), "body");
    EXPECT_EQ(jobErrorField("[]"), "body");
    EXPECT_EQ(jobErrorField(R"({"tasks":1,"declared_runtime_s":1})"), "account");
    EXPECT_EQ(jobErrorField(R"({"account":"a","tasks":0,"declared_runtime_s":1})"), "tasks");
    EXPECT_EQ(jobErrorField(R"({"account":"a","tasks":-1,"declared_runtime_s":1})"), "tasks");
    EXPECT_EQ(jobErrorField(R"({"account":"a","tasks":65,"declared_runtime_s":1})"), "tasks");
    EXPECT_EQ(jobErrorField(R"({"account":"a","tasks":18446744073709551615,"declared_runtime_s":1})"), "tasks");
    EXPECT_EQ(jobErrorField(R"({"account":"a","tasks":1,"declared_runtime_s":0})"), "declared_runtime_s");
    EXPECT_EQ(jobErrorField(R"({"account":"a","tasks":1,"declared_runtime_s":1,"runtime":1})"), "runtime");
    EXPECT_EQ(jobErrorField(R"({"account":"a","tasks":9,"adjacency":"worker","declared_runtime_s":1})"), "tasks");
    EXPECT_EQ(jobErrorField(R"({"account":"a","tasks":1,"job_id":"a/b","declared_runtime_s":1})"), "job_id");
}

// Guards against a non-repeatable request without a key, which a second instance could not recognise as a repetition.
TEST(ServiceRequestCodec, HeaderErrorsNameTheHeader)
{
    EXPECT_EQ(headerErrorField({}), "Client-Account");
    EXPECT_EQ(headerErrorField({ { "client-account", "a" }, { "non-repeatable", "true" } }), "Idempotency-Key");
    EXPECT_EQ(headerErrorField({ { "client-account", "a" }, { "non-repeatable", "yes" } }), "Non-Repeatable");
    EXPECT_EQ(headerErrorField({ { "client-account", "a" }, { "request-deadline-ms", "0" } }), "Request-Deadline-Ms");
    EXPECT_EQ(headerErrorField({ { "client-account", "a" }, { "request-deadline-ms", "5s" } }), "Request-Deadline-Ms");
    EXPECT_EQ(headerErrorField({ { "client-account", "a b" } }), "Client-Account");
}

} // namespace lentilsaddle::protocol
