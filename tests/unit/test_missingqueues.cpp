#include "tests/support/leadersite.h"
#include "tests/support/simulatedfleet.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

// Jobs whose queue is missing from the configuration, over a change of leader.

namespace
{
auto queueOfSite() -> QueueConfig
{
    QueueConfig batch;
    batch.name_ = "batch";
    batch.pool_ = "pool";
    batch.priority_ = 2;
    batch.maxAttempts_ = 2;
    batch.stretch_ = 3;
    return batch;
}

auto configWith(std::uint64_t version, std::vector<QueueConfig> queues) -> OperatorConfig
{
    return OperatorConfig(version, std::move(queues), {{"pool", false, false}}, {{TeamId("team"), {"key"}, 8}});
}

auto loadedSettings(const std::vector<KeyedRecord> &records) -> LastQueueSettings
{
    LastQueueSettings settings;
    for (const auto &record : records) {
        settings.applyRecord(record.key_, record.value_);
    }
    return settings;
}

/// A fleet whose store has the settings of both queues; `batch` is removed from the configuration and added again.
class RemovedQueue
{
public:
    RemovedQueue()
    {
        for (const auto *name : {"urgent", "batch"}) {
            fleet_.lastQueues_[name] = *fleet_.config_.queueNamed(name);
        }
        addTwoRacks(fleet_);
    }

    auto remove() -> void
    {
        publish({fleet_.lastQueues_["urgent"]});
    }

    auto restore() -> void
    {
        publish({fleet_.lastQueues_["urgent"], fleet_.lastQueues_["batch"]});
    }

    SimulatedFleet fleet_;

private:
    auto publish(std::vector<QueueConfig> queues) -> void
    {
        fleet_.config_ = OperatorConfig(fleet_.config_.version() + 1, std::move(queues), {{"pool", false, false}}, {{TeamId("team"), {"key"}, 48}});
        fleet_.scheduler_->onConfigChanged();
    }
};
} // namespace

TEST_CASE("an accepted job starts by the last settings of a queue that was removed", "[leader][inherit]")
{
    // Guards against accepted jobs that stand still for as long as their queue is missing (review/10).
    Site site;
    site.config_ = configWith(1, {queueOfSite()});
    Leader first(site, "first", 1);
    first.follow();
    site.store_.put(feedStream().topic_, JobFeed::submissionRecord(makeSubmission(FirstJob.value(), "batch", 1, SmallTask)));
    first.lead();
    site.advance(500ms);
    site.config_ = configWith(2, {});

    SECTION("under the leader that saw the queue")
    {
        site.list("one");
        site.advance(1s);
        CHECK(site.isRunningOn("one"));
    }

    SECTION("under a leader that never saw it")
    {
        first.stop();
        Leader second(site, "second", 2);
        second.follow();
        second.lead();
        site.list("one");
        site.advance(1s);
        CHECK(site.isRunningOn("one"));

        SECTION("and its settings are deleted only after its last job")
        {
            const auto isStored = [&site] {
                auto stored = false;
                for (const auto &record : site.store_.log(feedStream().topic_)) {
                    stored = record.record_.key_ == "q/batch" ? record.record_.value_.has_value() : stored;
                }
                return stored;
            };
            site.advance(90s);
            CHECK(isStored());
            for (const auto &record : JobFeed::jobTombstones(FirstJob)) {
                site.store_.put(feedStream().topic_, record);
            }
            site.advance(30s);
            CHECK(!isStored());
        }
    }

    SECTION("but not on workers of a service to which no configuration sent it")
    {
        auto other = queueOfSite();
        other.pool_ = "other-pool";
        site.config_ = configWith(3, {other});
        site.advance(500ms);
        site.config_ = configWith(4, {});
        site.list("one");
        site.advance(1s);
        CHECK(!site.isRunningOn("one"));
    }
    CHECK(site.mostRuns_ <= 1);
}

TEST_CASE("runs of a queue that is missing when the leader changes keep their priority", "[dispatch][inherit]")
{
    // Guards against a gang that counts as urgent from a change of leader on and cannot be preempted by guaranteed work (review/9).
    RemovedQueue site;
    auto &fleet = site.fleet_;
    fleet.work_ = [](const TaskRef &) {
        return 60'000ms;
    };
    fleet.submit(asGang(makeSubmission(FirstJob.value(), "batch", 6, WholeWorkerTask)));
    fleet.advance(5s);
    REQUIRE(fleet.runningTasks() == 6);
    const auto settingsKnown = GENERATE(true, false);
    CAPTURE(settingsKnown);
    const auto kept = fleet.lastQueues_;
    if (!settingsKnown) {
        // Jobs of a version that stored no settings.
        fleet.lastQueues_.clear();
        fleet.config_ = OperatorConfig(2, {kept.at("urgent")}, {{"pool", false, false}}, {{TeamId("team"), {"key"}, 48}});
    } else {
        site.remove();
    }
    fleet.startLeader();
    fleet.advance(2s);
    fleet.lastQueues_ = kept;
    site.restore();
    const JobId urgent("00000000000000b1");
    fleet.submit(makeSubmission(urgent.value(), "urgent", 1, SmallTask));
    fleet.advance(3s);
    CHECK(fleet.starts_[urgent].size() == 1);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("attempts count while the queue is missing", "[dispatch][inherit]")
{
    // Guards against a run beyond max_attempts when the last permitted one fails while the queue is missing (review, attempts).
    RemovedQueue site;
    auto &fleet = site.fleet_;
    fleet.fails_ = [](const TaskRef &) {
        return true;
    };
    const auto settingsKnown = GENERATE(true, false);
    CAPTURE(settingsKnown);
    fleet.submit(makeSubmission(FirstJob.value(), "batch", 1, SmallTask));
    while (fleet.starts_[FirstJob].size() < 3) {
        fleet.advance(100ms);
    }
    const auto kept = fleet.lastQueues_;
    if (!settingsKnown) {
        fleet.lastQueues_.erase("batch");
        fleet.config_ = OperatorConfig(2, {kept.at("urgent")}, {{"pool", false, false}}, {{TeamId("team"), {"key"}, 48}});
    } else {
        site.remove();
    }
    fleet.advance(5s);
    fleet.lastQueues_ = kept;
    site.restore();
    fleet.advance(5s);
    CHECK(fleet.starts_[FirstJob].size() == 3);
    CHECK(fleet.phaseOf(FirstJob) == JobPhase::Failed);
}

TEST_CASE("the last settings of a queue are those of its newest configuration", "[feed][inherit]")
{
    auto queue = queueOfSite();
    LastQueueSettings settings;
    const auto first = settings.missingRecord(queue, 1);
    REQUIRE(first.has_value());
    settings.applyRecord(first->key_, first->value_);
    CHECK(!settings.missingRecord(queue, 2).has_value());
    auto changed = queue;
    changed.pool_ = "other-pool";
    changed.maxAttempts_ = 7;

    SECTION("when the leader sees it change")
    {
        settings.observe(configWith(2, {changed}));
        const auto records = settings.changedRecords();
        REQUIRE(records.size() == 1);
        CHECK(loadedSettings(records).find("batch")->maxAttempts_ == 7);
        settings.observe(configWith(3, {}));
        CHECK(settings.find("batch")->pool_ == "other-pool");
        settings.applyRecord(records[0].key_, records[0].value_);
        CHECK(settings.changedRecords().empty());
    }

    SECTION("when an instance with an older configuration stores it later")
    {
        settings.observe(configWith(2, {changed}));
        const auto newer = settings.changedRecords();
        settings.applyRecord(newer[0].key_, newer[0].value_);
        settings.applyRecord(first->key_, first->value_);
        CHECK(settings.find("batch")->pool_ == "other-pool");
        // The store has the older settings now, so the newer ones are stored again.
        CHECK(settings.changedRecords().size() == 1);
    }

    SECTION("when the feed is loaded anew")
    {
        settings.observe(configWith(2, {changed}));
        settings.beginReload();
        CHECK(settings.find("batch") != nullptr);
        settings.applyRecord(first->key_, first->value_);
        settings.endReload();
        CHECK(settings.find("batch")->pool_ == "other-pool");
        settings.beginReload();
        settings.endReload();
        CHECK(settings.find("batch") == nullptr);
        CHECK(settings.missingRecord(queue, 3).has_value());
    }

    SECTION("and stays when a record cannot be read")
    {
        settings.applyRecord(first->key_, std::string("\xff\x01"));
        CHECK(settings.find("batch")->pool_ == "pool");
    }

    SECTION("also with a name that is longer than a key of the store")
    {
        queue.name_ = std::string(5000, 'n');
        const auto record = settings.missingRecord(queue, 1);
        REQUIRE(record.has_value());
        CHECK(record->key_.size() < 256);
        settings.applyRecord(record->key_, record->value_);
        CHECK(settings.find(queue.name_) != nullptr);
        settings.applyRecord(record->key_, std::nullopt);
        CHECK(settings.find(queue.name_) == nullptr);
    }
}
