#include "coordination/decisions/RequestPolicy.h"

namespace lentilsaddle::coordination {

namespace {

    std::string_view reasonOf(RequestPolicy::Result result)
    {
        switch (result) {
        case RequestPolicy::Result::NotSent:
            return "backend_server_unreachable";
        case RequestPolicy::Result::RefusedBeforeStart:
            return "backend_server_refused";
        case RequestPolicy::Result::ResponseReceived:
            return {};
        case RequestPolicy::Result::ResponseLost:
            return "answer_lost";
        case RequestPolicy::Result::TimedOut:
            return "deadline_passed";
        }
        return {};
    }

} // namespace

bool RequestPolicy::provesNotStarted(Result result)
{
    return result == Result::NotSent || result == Result::RefusedBeforeStart;
}

RequestPolicy::Decision RequestPolicy::decide(Result result, const Context& context)
{
    if (result == Result::ResponseReceived)
        return { .action = Action::ReportDone };
    bool notStarted = provesNotStarted(result);
    bool retryAllowed = (notStarted || context.repeatable) && !context.deadlinePassed;
    if (retryAllowed && context.tryConsumeRetry && context.tryConsumeRetry())
        return { .action = Action::Retry, .reason = reasonOf(result) };
    bool mayHaveRun = context.mayHaveRun || !notStarted;
    return { .action = mayHaveRun ? Action::ReportUnknown : Action::ReportNotRun, .reason = reasonOf(result) };
}

} // namespace lentilsaddle::coordination
