#include "state/JobTable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lentilsaddle::state {

namespace {

    Origin origin(const std::string& instance, std::uint64_t incarnation = 1)
    {
        return { .instance = InstanceId(instance), .incarnation = incarnation, .sequence = 1 };
    }

    Record submitted(const std::string& id, bool repeatable = true)
    {
        return { .origin = origin("x"),
            .body = Record::JobSubmitted { .specification
                = { .id = JobId(id), .account = AccountId("a"), .repeatable = repeatable, .payload = id } } };
    }

    Record elected(const std::string& instance, std::uint64_t epoch)
    {
        return { .origin = origin(instance), .body = Record::SchedulerClaim { .epoch = epoch, .vacant = false } };
    }

    Record claim(const std::string& instance, std::uint64_t epoch, const std::string& job, int attempt)
    {
        return { .origin = origin(instance),
            .body = Record::StartClaim {
                .job = JobId(job), .attempt = attempt, .token = { .epoch = epoch, .sequence = 1 }, .placements = {} } };
    }

    Record ended(const std::string& instance, const std::string& job, int attempt, const std::string& outcome)
    {
        return { .origin = origin(instance),
            .body = Record::AttemptEnded {
                .job = JobId(job), .attempt = attempt, .outcome = outcome, .reason = "r", .failedWorkers = {} } };
    }

    Record jobEnded(const std::string& instance, const std::string& job, const std::string& outcome)
    {
        return { .origin = origin(instance),
            .body = Record::JobEnded { .job = JobId(job), .outcome = outcome, .reason = "r" } };
    }

    /// One record of two schedulers that write to one stream concurrently. Each field is valid in the current state in
    /// most cases, so that most invalid records are wrong in one field only.
    Record arbitraryRecord(const JobTable& table)
    {
        auto matching = [] { return *rc::gen::inRange(0, 100) < 85; };
        std::string job = *rc::gen::element<std::string>("j1", "j2");
        const JobTable::Job* known = table.find(JobId(job));
        std::string instance = matching() ? table.scheduler().value() : *rc::gen::element<std::string>("e1", "e2");
        std::uint64_t epoch = matching() ? table.epoch() : *rc::gen::inRange<std::uint64_t>(1, 4);
        int attempt = matching() ? known->attempts + (known->claim ? 0 : 1) : *rc::gen::inRange(1, 4);
        switch (*rc::gen::weightedElement<int>({ { 2, 0 }, { 2, 1 }, { 8, 2 }, { 5, 3 }, { 1, 4 }, { 1, 5 } })) {
        case 0:
            return submitted(job, job == "j1");
        case 1:
            return elected(*rc::gen::element<std::string>("e1", "e2"), epoch + 1);
        case 2:
            return claim(instance, epoch, job, attempt);
        case 3:
            return ended(instance, job, attempt,
                *rc::gen::element<std::string>("succeeded", "failed", "preempted", "released", "unknown"));
        case 4:
            return jobEnded(instance, job, "done");
        default:
            return { .origin = origin(instance), .body = Record::JobCancelled { .job = JobId(job) } };
        }
    }

    /// Records with late repetitions, as caused by lost responses to appends.
    std::vector<Record> arbitraryHistory()
    {
        std::vector<Record> history { submitted("j1"), submitted("j2", false), elected("e1", 1) };
        JobTable table;
        for (const Record& record : history)
            table.apply(record);
        int length = *rc::gen::inRange(1, 60);
        for (int i = 0; i < length; ++i) {
            bool repeat = *rc::gen::inRange(0, 4) == 0;
            history.push_back(
                repeat ? history[*rc::gen::inRange<std::size_t>(0, history.size())] : arbitraryRecord(table));
            table.apply(history.back());
        }
        return history;
    }

    /// Independent implementation of the rule by which the scheduler role changes.
    struct RoleModel {
        std::uint64_t epoch = 0;
        InstanceId scheduler;

        void apply(const Record& record)
        {
            const auto* body = std::get_if<Record::SchedulerClaim>(&record.body);
            if (body && body->epoch == epoch + 1) {
                epoch = body->epoch;
                scheduler = record.origin.instance;
            }
        }
    };

} // namespace

// Guards against an attempt that is claimed by two schedulers, against an attempt that starts before the previous one
// has ended, and against a claim or an end recorded by a replaced scheduler.
RC_GTEST_PROP(JobTable, OneClaimWinsEachAttempt, ())
{
    JobTable table;
    RoleModel role;
    std::set<std::pair<JobId, int>> won;
    std::set<JobId> open;
    for (const Record& record : arbitraryHistory()) {
        bool applied = table.apply(record);
        role.apply(record);
        if (const auto* body = std::get_if<Record::StartClaim>(&record.body); body && applied) {
            RC_ASSERT(body->token.epoch == role.epoch);
            RC_ASSERT(record.origin.instance == role.scheduler);
            RC_ASSERT(won.emplace(body->job, body->attempt).second);
            RC_ASSERT(open.insert(body->job).second);
        }
        if (const auto* body = std::get_if<Record::AttemptEnded>(&record.body); body && applied) {
            RC_ASSERT(record.origin.instance == role.scheduler);
            RC_ASSERT(open.erase(body->job) == 1U);
        }
    }
}

// Guards against a restart of a non-repeatable job whose previous attempt may have run.
RC_GTEST_PROP(JobTable, NonRepeatableJobIsNotRestartedAfterARun, ())
{
    JobTable table;
    bool mayHaveRun = false;
    for (const Record& record : arbitraryHistory()) {
        bool applied = table.apply(record);
        if (const auto* body = std::get_if<Record::StartClaim>(&record.body); body && body->job == JobId("j2"))
            RC_ASSERT(!(applied && mayHaveRun));
        if (const auto* body = std::get_if<Record::AttemptEnded>(&record.body); body && body->job == JobId("j2"))
            mayHaveRun = mayHaveRun || (applied && body->outcome != "released" && body->outcome != "preempted");
    }
}

// Guards against replicas that differ because one of them started from a snapshot.
RC_GTEST_PROP(JobTable, SnapshotPlusTailEqualsFullReplay, ())
{
    std::vector<Record> history = arbitraryHistory();
    std::size_t cut = *rc::gen::inRange<std::size_t>(0, history.size() + 1);
    JobTable full;
    JobTable late;
    for (std::size_t i = 0; i < history.size(); ++i) {
        if (i == cut)
            late.load(full.snapshot(cut));
        bool applied = full.apply(history[i]);
        if (i >= cut)
            RC_ASSERT(late.apply(history[i]) == applied);
    }
    if (cut < history.size())
        RC_ASSERT(late.snapshot(0) == full.snapshot(0));
}

// Guards against a record that takes effect twice because its append was retried after a lost response.
RC_GTEST_PROP(JobTable, RepeatedRecordHasNoEffect, ())
{
    JobTable table;
    std::vector<Record> effective;
    for (const Record& record : arbitraryHistory()) {
        if (table.apply(record))
            effective.push_back(record);
        for (const Record& earlier : effective)
            RC_ASSERT(!table.apply(earlier));
    }
}

// Guards against treating a restarted instance as the scheduler: it does not know the claims of its previous process.
TEST(JobTable, RestartedInstanceIsNotTheScheduler)
{
    JobTable table;
    table.apply(elected("e1", 1));
    EXPECT_TRUE(table.isScheduler(InstanceId("e1"), 1));
    EXPECT_FALSE(table.isScheduler(InstanceId("e1"), 2));
}

// Guards against memory and snapshots that grow without bound with the number of ended jobs.
TEST(JobTable, EndedJobsAreBounded)
{
    JobTable table({ .endedJobs = 2, .endedPayloadBytes = 100 });
    table.apply(elected("e1", 1));
    for (const char* id : { "j1", "j2", "j3" }) {
        table.apply(submitted(id));
        table.apply(jobEnded("e1", id, "refused"));
    }
    EXPECT_EQ(table.find(JobId("j1")), nullptr);
    EXPECT_NE(table.find(JobId("j3")), nullptr);
}

} // namespace lentilsaddle::state
