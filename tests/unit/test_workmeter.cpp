#include "marjoramfold/observability/workmeter.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;
using namespace std::chrono_literals;

TEST_CASE("the work of a thread is counted by kind", "[observability]")
{
    auto now = BootTime(100s);
    BootClock::useSource([&now] {
        return now;
    });
    WorkMeter meter;
    const auto timeOf = [](const WorkSummary &summary, WorkKind kind) {
        return summary.times_.at(static_cast<std::size_t>(kind));
    };

    SECTION("time in a nested scope counts for the inner kind only")
    {
        {
            const WorkMeter::Scope outer(&meter, WorkKind::WorkerAnswers);
            now += 3ms;
            {
                const WorkMeter::Scope inner(&meter, WorkKind::Transport);
                now += 5ms;
            }
            now += 1ms;
        }
        now += 50ms;
        const auto summary = meter.takeSummary();
        CHECK(timeOf(summary, WorkKind::WorkerAnswers) == 4ms);
        CHECK(timeOf(summary, WorkKind::Transport) == 5ms);
        CHECK(summary.total() == 9ms);

        SECTION("and the longest piece of work is that of the outermost scope")
        {
            CHECK(summary.longest_ == 9ms);
            CHECK(summary.longestKind_ == WorkKind::WorkerAnswers);
        }
    }

    SECTION("a summary starts anew")
    {
        {
            const WorkMeter::Scope scope(&meter, WorkKind::Passes);
            now += 7ms;
        }
        CHECK(meter.takeSummary().total() == 7ms);
        CHECK(meter.takeSummary().total() == 0ms);
    }

    SECTION("a scope without a meter does nothing")
    {
        const WorkMeter::Scope scope(nullptr, WorkKind::Passes);
        now += 7ms;
        CHECK(meter.takeSummary().total() == 0ms);
    }
    BootClock::useSource({});
}
