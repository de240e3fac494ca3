#include "marjoramfold/store/streamfollower.h"
#include "tests/support/scriptedstore.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

namespace
{
/// A store that sends one page after the other. An answer that comes after the timeout of its request is lost, but was sent.
class BusyStore
{
public:
    explicit BusyStore(ManualSchedule &schedule)
        : schedule_(schedule)
    {
    }

    [[nodiscard]] auto store() -> StreamStore
    {
        return {[](const AppendRequest & /*request*/, const std::function<void(AppendResult)> & /*callback*/) {},
                [](const ReadRequest & /*request*/, const std::function<void(Result<ReadPage>)> & /*callback*/) {},
                [this](const NewestRequest &request, const std::function<void(Result<NewestPage>)> &callback) {
                    answer(request, callback);
                }};
    }

    std::size_t requests_ = 0;

private:
    static constexpr std::chrono::milliseconds PageTime{12};
    static constexpr int Pages = 3;

    auto answer(const NewestRequest &request, const std::function<void(Result<NewestPage>)> &callback) -> void
    {
        ++requests_;
        const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now().time_since_epoch());
        busyUntil_ = std::max(busyUntil_, now) + PageTime;
        const auto delay = busyUntil_ - now;
        if (delay > request.timeout_) {
            schedule_.hook()(request.timeout_, [callback] {
                callback(Error{ErrorKind::Timeout, "no answer", std::nullopt});
            });
            return;
        }
        const auto page = request.afterKey_.empty() ? 1 : std::stoi(request.afterKey_) + 1;
        schedule_.hook()(delay, [callback, page] {
            NewestPage newest;
            newest.records_.push_back({0, {std::to_string(page), "value"}});
            newest.more_ = page < Pages;
            newest.end_ = 1;
            callback(newest);
        });
    }

    ManualSchedule &schedule_;
    std::chrono::milliseconds busyUntil_{0};
};
} // namespace

TEST_CASE("all instances of a site load the feed at once after a loss of power", "[store]")
{
    // Guards against loads that are given up and started again, by which a store that is busy with them never finishes one.
    auto now = BootTime(100s);
    BootClock::useSource([&now] {
        return now;
    });
    ManualSchedule schedule;
    BusyStore store(schedule);
    constexpr int Instances = 147;
    std::vector<std::shared_ptr<StreamFollower>> followers;
    std::vector<std::vector<std::string>> keys(Instances);
    for (int i = 0; i < Instances; ++i) {
        FollowerOptions options;
        options.stream_ = {"keyed.test", 0};
        followers.push_back(std::make_shared<StreamFollower>(
            store.store(),
            schedule.hook(),
            options,
            [&keys, i](const std::vector<StoredRecord> &records, bool /*loaded*/) {
                for (const auto &record : records) {
                    keys[i].push_back(record.record_.key_);
                }
            },
            [] {}));
        followers.back()->start();
    }
    // Callers are served again within 15 s.
    constexpr auto RecoveryBound = 15s;
    for (auto waited = 0ms; waited < RecoveryBound; waited += 10ms) {
        now += 10ms;
        schedule.advance(10ms);
    }
    CHECK(std::all_of(followers.begin(), followers.end(), [](const auto &follower) {
        return follower->isLoaded();
    }));
    CHECK(std::all_of(keys.begin(), keys.end(), [](const auto &loaded) {
        return loaded == std::vector<std::string>{"1", "2", "3"};
    }));
    BootClock::useSource({});
}
