#include "coordination/batch/KeyedReader.h"

#include "LimitedStore.h"
#include "coordination/batch/BatchOptions.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

namespace lentilsaddle::coordination::batch {

namespace {

    using std::chrono::milliseconds;

    constexpr std::size_t readerCount = 150;
    constexpr std::size_t storeBytesPerSecond = 80'000'000;
    constexpr std::size_t recordBytes = 250;
    // Time in which all readers must have caught up.
    constexpr milliseconds catchUpLimit { 4'000 };

    // Readers of the journal in as many instances, with the default options.
    class ReaderOverloadTest : public testing::Test {
    protected:
        ReaderOverloadTest()
        {
            for (std::size_t index = 0; index < readerCount; ++index) {
                m_readers.push_back(std::make_unique<KeyedReader>(m_loop, m_journal,
                    KeyedReader::optionsFor(Stream::Journal, m_options),
                    KeyedReader::Hooks {
                        .clock = [] { return std::chrono::steady_clock::now(); },
                        .random = [this] { return m_random(); },
                        .readInterval = [this] { return m_options.followerReadInterval; },
                        .onListing = [](const std::vector<KeyedRecord>&) {},
                        .onRecords = [](const std::vector<KeyedRecord>&) {},
                        .afterRead = [] {},
                        .onReachability
                        = [this](const KeyedReader::Reachability& state) { m_outages += state.reachable ? 0 : 1; },
                    }));
                m_readers.back()->start();
            }
        }

        // Adds the records of a busy leader, in steps, until the loop ends.
        void addSteadily()
        {
            m_store.add(10, recordBytes);
            m_loop.startTimer(milliseconds(20), [this] { addSteadily(); });
        }

        void runFor(milliseconds duration)
        {
            m_loop.startTimer(duration, [this] { m_loop.requestStop(); });
            m_loop.run();
        }

        std::size_t readersAt(std::uint64_t offset) const
        {
            return static_cast<std::size_t>(std::count_if(m_readers.begin(), m_readers.end(),
                [offset](const auto& reader) { return reader->position() >= offset; }));
        }

        transport::EventLoop m_loop { [] {} };
        BatchOptions m_options;
        LimitedStore m_store { m_loop, storeBytesPerSecond };
        JournalHooks m_journal = m_store.hooks();
        std::mt19937_64 m_random { 1 };
        std::vector<std::unique_ptr<KeyedReader>> m_readers;
        int m_outages = 0;
    };

} // namespace

// Guards against readers that lose the store for good after a burst of records: responses that come too late are sent
// all the same, and each retry asks for all of them again.
TEST_F(ReaderOverloadTest, ReadersCatchUpAfterABurstOfRecords)
{
    m_loop.startTimer(milliseconds(200), [this] { addSteadily(); });
    std::uint64_t burstEnd = 0;
    m_loop.startTimer(milliseconds(500), [this, &burstEnd] {
        m_store.add(4'000, recordBytes);
        burstEnd = m_store.end();
    });
    runFor(milliseconds(500) + catchUpLimit);
    EXPECT_EQ(readersAt(burstEnd), readerCount);
    EXPECT_EQ(m_outages, 0);
}

} // namespace lentilsaddle::coordination::batch
