#include "coordination/decisions/GuaranteeCells.h"

#include "tests/coordination/decisions/PlacementFixture.h"

#include <gtest/gtest.h>

namespace lentilsaddle::coordination {

namespace {

    using state::Adjacency;

    void run(PlacementFixture& fixture, const std::string& account, int worker, std::vector<int> accelerators)
    {
        fixture.placement.allocate(state::JobId(account + std::to_string(worker)), state::AccountId(account),
            { { .worker = PlacementFixture::workerId(worker), .accelerators = std::move(accelerators) } },
            { .withinGuarantee = account != "borrower" });
    }

} // namespace

// Guards against a job's smallest cell being taken for good, although only another choice leaves all cells a place.
TEST(GuaranteeCellsTest, JobsAreMovedToOtherCellsIfThatKeepsAllPlaces)
{
    PlacementFixture fixture(2, 2, 4);
    fixture.guarantee("a",
        { { .accelerators = 8, .adjacency = Adjacency::Rack }, { .accelerators = 4, .adjacency = Adjacency::Worker } });
    fixture.guarantee("b", { { .accelerators = 4, .adjacency = Adjacency::Worker } });
    run(fixture, "a", 0, { 0, 1, 2, 3 });
    run(fixture, "b", 2, { 0, 1, 2, 3 });
    run(fixture, "a", 3, { 0, 1 });
    EXPECT_TRUE(guaranteesFeasible(fixture.placement));
}

// Guards against counting scattered accelerators as a shape: each rack has eight free ones, but no two whole workers.
TEST(GuaranteeCellsTest, ScatteredAcceleratorsAreNoShape)
{
    PlacementFixture fixture(2, 3, 4);
    fixture.guarantee("a", { { .accelerators = 8, .adjacency = Adjacency::Rack } });
    fixture.guarantee("b", { { .accelerators = 2, .adjacency = Adjacency::Worker, .count = 4 } });
    for (int worker : { 0, 1, 3 })
        run(fixture, "b", worker, { 0, 1 });
    EXPECT_TRUE(guaranteesFeasible(fixture.placement));
    run(fixture, "b", 4, { 0, 1 });
    EXPECT_FALSE(guaranteesFeasible(fixture.placement));
}

// Guards against counting borrowers as an obstacle, or a lost worker's accelerators as available.
TEST(GuaranteeCellsTest, BorrowersAreNoObstacleButLostWorkersAre)
{
    PlacementFixture fixture(1, 2, 4);
    fixture.guarantee("a", { { .accelerators = 8, .adjacency = Adjacency::Rack } });
    run(fixture, "borrower", 0, { 0, 1, 2, 3 });
    EXPECT_TRUE(guaranteesFeasible(fixture.placement));
    fixture.placement.setAvailable(PlacementFixture::workerId(1), false);
    EXPECT_FALSE(guaranteesFeasible(fixture.placement));
}

} // namespace lentilsaddle::coordination
