#include "coordination/batch/KeyedReader.h"

#include "FakeStore.h"
#include "coordination/batch/BatchOptions.h"

#include <gtest/gtest.h>

#include <set>
#include <stdexcept>

namespace lentilsaddle::coordination::batch {

namespace {

    using std::chrono::milliseconds;

    class KeyedReaderTest : public testing::Test {
    protected:
        KeyedReaderTest()
            : m_journal(m_store.hooksFor(m_loop))
        {
        }

        void startReader(const KeyedReader::Options& options)
        {
            m_reader = std::make_unique<KeyedReader>(m_loop, m_journal, options,
                KeyedReader::Hooks {
                    .clock = [] { return std::chrono::steady_clock::now(); },
                    .random = [] { return 0; },
                    .readInterval = [this] { return m_readInterval; },
                    .onListing =
                        [this](const std::vector<KeyedRecord>& records) {
                            m_keys.clear();
                            apply(records);
                        },
                    .onRecords = [this](const std::vector<KeyedRecord>& records) { apply(records); },
                    .afterRead = [] {},
                    .onReachability = [this](const KeyedReader::Reachability& state) { m_reports.push_back(state); },
                });
            m_reader->start();
        }

        void runFor(milliseconds duration)
        {
            m_loop.startTimer(duration, [this] { m_loop.requestStop(); });
            m_loop.run();
        }

        void apply(const std::vector<KeyedRecord>& records)
        {
            m_delivered += records.size();
            for (const KeyedRecord& record : records) {
                if (record.key == m_oddKey)
                    throw std::out_of_range("unexpected value");
                if (record.value)
                    m_keys.insert(record.key);
                else
                    m_keys.erase(record.key);
                m_lastSeen = std::chrono::steady_clock::now();
            }
        }

        const std::string m_oddKey = "odd";
        FakeStore m_store;
        transport::EventLoop m_loop { [] {} };
        JournalHooks m_journal;
        std::unique_ptr<KeyedReader> m_reader;
        std::set<std::string> m_keys;
        milliseconds m_readInterval { 0 };
        std::chrono::steady_clock::time_point m_lastSeen;
        std::vector<KeyedReader::Reachability> m_reports;
        std::size_t m_delivered = 0;
    };

    KeyedReader::Options shortOptions()
    {
        return {
            .stream = Stream::Directory,
            .wait = milliseconds(50),
            .timeout = milliseconds(50),
            .retryDelay = milliseconds(5),
        };
    }

} // namespace

// Guards against a view that counts as recent although its response was long on the way.
TEST_F(KeyedReaderTest, ViewIsCompleteOnlyAsOfTheRequest)
{
    startReader(shortOptions());
    EXPECT_FALSE(m_reader->completeAsOf());
    runFor(milliseconds(150));
    ASSERT_TRUE(m_reader->completeAsOf());
    EXPECT_GE(*m_reader->currentAsOf() - *m_reader->completeAsOf(), shortOptions().wait - milliseconds(10));
}

// Guards against keeping a removed key because the record of its removal has expired.
TEST_F(KeyedReaderTest, ListsAgainAfterRecordsHaveExpired)
{
    m_store.put(Stream::Directory, "a", "1");
    m_store.put(Stream::Directory, "b", "1");
    startReader(shortOptions());
    m_loop.startTimer(milliseconds(20), [this] {
        m_store.put(Stream::Directory, "a", std::nullopt);
        m_store.put(Stream::Directory, "c", "1");
        m_store.expire(Stream::Directory);
    });
    runFor(milliseconds(150));
    EXPECT_EQ(m_keys, (std::set<std::string> { "b", "c" }));
}

// Guards against a stale query result because the next read is delayed.
TEST_F(KeyedReaderTest, RefreshReadsAtOnce)
{
    m_readInterval = milliseconds(2'000);
    m_store.put(Stream::Directory, "a", "1");
    startReader(shortOptions());
    bool known = false;
    m_loop.startTimer(milliseconds(20), [this] { m_store.put(Stream::Directory, "b", "1"); });
    m_loop.startTimer(milliseconds(40), [this, &known] {
        m_store.put(Stream::Directory, "c", "1");
        m_reader->refresh(
            milliseconds(500), [this, &known](bool upToDate) { known = upToDate && m_keys.contains("c"); });
    });
    runFor(milliseconds(100));
    EXPECT_TRUE(known);
}

// Guards against a stream that ends because one record could not be applied.
TEST_F(KeyedReaderTest, ReadsOnAfterAnUnexpectedErrorWithARecord)
{
    startReader(shortOptions());
    m_loop.startTimer(milliseconds(20), [this] { m_store.put(Stream::Directory, m_oddKey, "1"); });
    m_loop.startTimer(milliseconds(60), [this] { m_store.put(Stream::Directory, "b", "1"); });
    runFor(milliseconds(150));
    EXPECT_TRUE(m_keys.contains("b"));
}

// Guards against a query that is answered from a state without the records that could not be applied, and against one
// that is never answered because the callback of another one failed.
TEST_F(KeyedReaderTest, RefreshReportsRecordsThatCouldNotBeApplied)
{
    startReader(shortOptions());
    std::optional<bool> result;
    m_loop.startTimer(milliseconds(20), [this, &result] {
        m_store.put(Stream::Directory, m_oddKey, "1");
        m_reader->refresh(milliseconds(500), [](bool) { throw std::runtime_error("unexpected"); });
        m_reader->refresh(milliseconds(500), [&result](bool upToDate) { result = upToDate; });
    });
    runFor(milliseconds(200));
    EXPECT_EQ(result, false);
    m_loop.startTimer(milliseconds(0), [this, &result] {
        result.reset();
        m_reader->refresh(milliseconds(500), [&result](bool upToDate) { result = upToDate; });
    });
    runFor(milliseconds(200));
    EXPECT_EQ(result, true);
}

// Guards against a query that waits forever while the store is unresponsive.
TEST_F(KeyedReaderTest, RefreshEndsAtItsLimit)
{
    startReader(shortOptions());
    std::optional<bool> result;
    m_loop.startTimer(milliseconds(20), [this, &result] {
        m_store.setUnresponsive(true);
        m_reader->refresh(milliseconds(30), [&result](bool upToDate) { result = upToDate; });
    });
    runFor(milliseconds(80));
    EXPECT_EQ(result, false);
}

// Guards against a configuration version that comes into force too late because a poll had no response.
TEST_F(KeyedReaderTest, LostPollDelaysAVersionByLessThanTwoSeconds)
{
    startReader(KeyedReader::optionsFor(Stream::Directory, {}));
    auto written = std::make_shared<std::chrono::steady_clock::time_point>();
    m_store.setUnresponsive(true);
    m_loop.startTimer(milliseconds(10), [this, written] {
        m_store.setUnresponsive(false);
        m_store.put(Stream::Directory, "version", "2");
        *written = std::chrono::steady_clock::now();
    });
    runFor(milliseconds(2'000));
    ASSERT_TRUE(m_keys.contains("version"));
    EXPECT_LT(m_lastSeen - *written, milliseconds(1'900));
}

// Guards against a reader that reads a series of superseded large records one by one and reaches the newest too late.
TEST_F(KeyedReaderTest, ReaderOfNewestRecordsSkipsSupersededOnes)
{
    KeyedReader::Options options = shortOptions();
    options.newestOnly = true;
    m_store.setReadLimit(1);
    startReader(options);
    m_loop.startTimer(milliseconds(20), [this] {
        for (int version = 0; version < 20; ++version)
            m_store.put(Stream::Directory, version < 19 ? "config" : "last", "x");
    });
    runFor(milliseconds(200));
    EXPECT_TRUE(m_keys.contains("last"));
    EXPECT_LE(m_delivered, 4U);
}

// Guards against a view that counts as old, so that nothing starts, while large records arrive faster than they are
// read: the reader goes from one listing to the next.
TEST_F(KeyedReaderTest, ListingsKeepTheViewRecent)
{
    KeyedReader::Options options = shortOptions();
    options.newestOnly = true;
    m_store.setReadLimit(1);
    startReader(options);
    std::function<void()> write = [&] {
        for (int version = 0; version < 4; ++version)
            m_store.put(Stream::Directory, "config", "x");
        m_loop.startTimer(milliseconds(0), write);
    };
    write();
    runFor(milliseconds(300));
    ASSERT_TRUE(m_reader->completeAsOf());
    EXPECT_LT(std::chrono::steady_clock::now() - *m_reader->completeAsOf(), milliseconds(150));
}

// Guards against a long listing that never completes because each failed page starts it over.
TEST_F(KeyedReaderTest, ListingContinuesAfterAFailedPage)
{
    for (const char* key : { "a", "b", "c", "d", "e", "f" })
        m_store.put(Stream::Directory, key, "1");
    m_store.setPageSize(2);
    m_store.failListingCall(3);
    startReader(shortOptions());
    runFor(milliseconds(100));
    EXPECT_EQ(m_keys, (std::set<std::string> { "a", "b", "c", "d", "e", "f" }));
    EXPECT_EQ(m_store.listingCalls(), 4);
}

// Guards against an outage of a stream that leaves a single log line, whether it lasts a moment or an hour.
TEST_F(KeyedReaderTest, ReportsAnOutageRepeatedlyAndItsLengthAtTheEnd)
{
    KeyedReader::Options options = shortOptions();
    options.outageReportInterval = milliseconds(100);
    startReader(options);
    m_loop.startTimer(milliseconds(20), [this] { m_store.setUnresponsive(true); });
    m_loop.startTimer(milliseconds(600), [this] { m_store.setUnresponsive(false); });
    runFor(milliseconds(900));
    ASSERT_GE(m_reports.size(), 4U);
    EXPECT_TRUE(m_reports.front().reachable);
    EXPECT_FALSE(m_reports[1].reachable);
    EXPECT_FALSE(m_reports[2].reachable);
    EXPECT_GT(m_reports[2].failedCalls, m_reports[1].failedCalls);
    EXPECT_TRUE(m_reports.back().reachable);
    EXPECT_GE(m_reports.back().outage, milliseconds(300));
    EXPECT_LE(m_reports.size(), 8U);
}

} // namespace lentilsaddle::coordination::batch
