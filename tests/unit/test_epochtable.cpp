#include "marjoramfold/scheduling/epochtable.h"

#include <catch2/catch.hpp>

#include <random>

using namespace Marjoramfold;

namespace
{
const AvailabilityZoneId Zone("cluj-a");

auto claimOf(const std::string &instance, Offset supersedes) -> Record
{
    return ClaimRecord{RecordId(instance + std::to_string(supersedes)), Zone, InstanceId(instance), supersedes, {InstanceId(instance + "-deputy")}};
}

auto renewalOf(const std::string &instance, Offset epoch) -> Record
{
    return RenewalRecord{RecordId(instance), Zone, InstanceId(instance), epoch, {InstanceId(instance + "-deputy")}};
}

/// Reads a log from an offset on.
auto readFrom(const std::vector<Record> &log, Offset first) -> ZoneEpoch
{
    EpochTable table;
    table.startReading(first);
    for (auto offset = first; offset <= log.size(); ++offset) {
        const auto &record = log[offset - 1];
        if (const auto *claim = std::get_if<ClaimRecord>(&record)) {
            table.apply(offset, *claim);
        } else if (const auto *renewal = std::get_if<RenewalRecord>(&record)) {
            table.apply(*renewal);
        } else if (const auto *release = std::get_if<ReleaseRecord>(&record)) {
            table.apply(*release);
        }
    }
    return table.find(Zone);
}
} // namespace

SCENARIO("a claim is valid only when it supersedes the epoch in force", "[ownership][epochtable]")
{
    std::vector<Record> log{claimOf("a", 0), claimOf("b", 0)};
    CHECK(readFrom(log, 1).owner_ == InstanceId("a"));
    log.push_back(claimOf("c", 2));
    CHECK(readFrom(log, 1).epoch_ == 1);
    log.push_back(claimOf("c", 1));
    CHECK(readFrom(log, 1).epoch_ == 4);
    CHECK(readFrom(log, 1).deputies_ == std::vector{InstanceId("c-deputy")});
    log.emplace_back(ReleaseRecord{RecordId("r"), Zone, InstanceId("c"), 4});
    log.push_back(renewalOf("c", 4));
    THEN("a late renewal does not undo a release")
    {
        CHECK(readFrom(log, 1).isReleased_);
        CHECK(readFrom(log, 1).owner_.isEmpty());
        CHECK(readFrom(log, 1).epoch_ == 4);
    }
}

SCENARIO("a reader of a truncated log ignores a claim that lost its race", "[ownership][epochtable]")
{
    // Epoch 2 is in force. Offset 3 is a late renewal of the old owner, offset 4 a claim that lost to offset 2.
    const std::vector<Record> log{claimOf("a", 0), claimOf("b", 1), renewalOf("a", 1), claimOf("c", 1), renewalOf("b", 2)};
    REQUIRE(readFrom(log, 1).epoch_ == 2);
    for (Offset first = 2; first <= log.size(); ++first) {
        CAPTURE(first);
        CHECK(readFrom(log, first).epoch_ == 2);
        CHECK(readFrom(log, first).owner_ == InstanceId("b"));
    }
}

SCENARIO("readers from any offset agree after the owner's next renewal", "[ownership][epochtable]")
{
    const auto seed = GENERATE(range(1U, 201U));
    CAPTURE(seed);
    std::mt19937 random(seed);
    const auto below = [&](int limit) {
        return std::uniform_int_distribution<int>(0, limit - 1)(random);
    };
    std::vector<Record> log{claimOf("0", 0)};
    std::vector<std::pair<std::string, Offset>> epochs{{"0", 1}};
    for (auto step = 0; step < 60; ++step) {
        const auto name = std::to_string(step + 1);
        // The writer lags by a few epochs.
        const auto lag = static_cast<std::size_t>(below(static_cast<int>(std::min<std::size_t>(3, epochs.size()))));
        const auto [lateName, lateEpoch] = epochs[epochs.size() - 1 - lag];
        switch (below(4)) {
        case 0:
            log.push_back(claimOf(name, epochs.back().second));
            epochs.emplace_back(name, log.size());
            break;
        case 1:
            // A claim that lost its race: it supersedes an epoch that is no longer in force.
            if (lag > 0) {
                log.push_back(claimOf(name, lateEpoch));
            }
            break;
        case 2:
            log.push_back(renewalOf(lateName, lateEpoch));
            break;
        default:
            log.push_back(renewalOf(epochs.back().first, epochs.back().second));
        }
    }
    log.push_back(renewalOf(epochs.back().first, epochs.back().second));
    for (Offset first = 1; first <= log.size(); ++first) {
        CAPTURE(first);
        const auto inForce = readFrom(log, first);
        REQUIRE(inForce.epoch_ == epochs.back().second);
        REQUIRE(inForce.owner_.value() == epochs.back().first);
        REQUIRE(inForce.deputies_ == std::vector{InstanceId(epochs.back().first + "-deputy")});
    }
}
