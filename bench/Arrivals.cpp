#include "bench/Arrivals.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <string>

namespace lentilsaddle::bench {

namespace {

    using state::Adjacency;

    constexpr int siteAccelerators = 384;
    constexpr std::chrono::hours burstInterval { 6 };
    constexpr int burstSmall = 60;
    constexpr int burstLarge = 4;

    class Generator {
    public:
        explicit Generator(const ArrivalOptions& options)
            : m_options(options)
            , m_random(options.seed)
        {
        }

        std::vector<Arrival> run()
        {
            for (std::chrono::hours at { 3 }; at < m_options.length; at += burstInterval) {
                for (int i = 0; i < burstSmall; ++i)
                    add(SizeClass::Small, at);
                for (int i = 0; i < burstLarge; ++i)
                    add(SizeClass::Large, at);
            }
            double target = m_options.load * siteAccelerators * std::chrono::duration<double>(m_options.length).count();
            while (m_work < target) {
                auto at
                    = std::chrono::seconds(uniform(0, static_cast<int>(m_options.length / std::chrono::seconds(1))));
                int kind = uniform(0, 99);
                add(kind < 92 ? SizeClass::Small : kind < 97 ? SizeClass::Medium : SizeClass::Large, at);
            }
            std::stable_sort(m_arrivals.begin(), m_arrivals.end(),
                [](const Arrival& left, const Arrival& right) { return left.time < right.time; });
            return std::move(m_arrivals);
        }

    private:
        int uniform(int low, int high) { return std::uniform_int_distribution<int>(low, high)(m_random); }

        state::GangShape shape(SizeClass size)
        {
            if (size == SizeClass::Small)
                return { .tasks = 1, .acceleratorsPerTask = 1 << uniform(0, 3), .adjacency = Adjacency::Worker };
            if (size == SizeClass::Medium)
                return { .tasks = uniform(2, 3), .acceleratorsPerTask = 8, .adjacency = Adjacency::Rack };
            return { .tasks = uniform(0, 2) == 0 ? 8 : 4, .acceleratorsPerTask = 8, .adjacency = Adjacency::Rack };
        }

        std::chrono::minutes runTime(SizeClass size)
        {
            if (size == SizeClass::Small)
                return std::chrono::minutes(uniform(5, 90));
            return std::chrono::minutes(size == SizeClass::Medium ? uniform(30, 180) : uniform(90, 300));
        }

        void add(SizeClass size, std::chrono::seconds at)
        {
            static const std::array<const char*, 4> accounts { "inventory", "matching", "repricing", "appraisal" };
            std::chrono::seconds length = runTime(size);
            double error = std::pow(4.0, std::uniform_real_distribution<double>(-1, 1)(m_random));
            Arrival arrival { .size = size, .time = state::MonotonicTime(at), .runTime = length };
            arrival.specification = { .id = state::JobId("job-" + std::to_string(100'000 + m_arrivals.size())),
                .account = state::AccountId(accounts[static_cast<std::size_t>(uniform(0, 3))]),
                .shape = shape(size),
                .declaredRunTime = std::chrono::seconds(std::lround(static_cast<double>(length.count()) * error)),
                .urgent = uniform(0, 9) == 0 };
            m_work += static_cast<double>(arrival.specification.shape.accelerators())
                * static_cast<double>(length.count());
            m_arrivals.push_back(std::move(arrival));
        }

        const ArrivalOptions& m_options;
        std::mt19937 m_random;
        std::vector<Arrival> m_arrivals;
        double m_work = 0;
    };

} // namespace

std::vector<Arrival> makeArrivals(const ArrivalOptions& options)
{
    return Generator(options).run();
}

std::vector<state::Worker> siteWorkers()
{
    constexpr int workerCount = 48;
    constexpr int workersPerRack = 8;
    std::vector<state::Worker> workers;
    workers.reserve(workerCount);
    for (int i = 0; i < workerCount; ++i)
        workers.push_back({ .id = state::WorkerId("worker-" + std::to_string(100 + i)),
            .rack = state::RackId("rack-" + std::to_string(i / workersPerRack)),
            .position = i % workersPerRack,
            .accelerators = 8 });
    return workers;
}

state::Configuration siteConfiguration()
{
    state::Configuration configuration;
    auto promise = [&configuration](const char* name, std::vector<state::Guarantee> guarantees) {
        state::AccountId id(name);
        configuration.accounts[id] = { .id = id, .guarantees = std::move(guarantees) };
    };
    promise("inventory",
        { { .accelerators = 32, .adjacency = Adjacency::Rack, .count = 2 },
            { .accelerators = 8, .adjacency = Adjacency::Worker, .count = 2 } });
    promise("matching", { { .accelerators = 32, .adjacency = Adjacency::Rack, .count = 2 } });
    promise("repricing",
        { { .accelerators = 32, .adjacency = Adjacency::Rack },
            { .accelerators = 8, .adjacency = Adjacency::Worker, .count = 4 } });
    promise("appraisal", { { .accelerators = 8, .adjacency = Adjacency::Worker, .count = 6 } });
    return configuration;
}

} // namespace lentilsaddle::bench
