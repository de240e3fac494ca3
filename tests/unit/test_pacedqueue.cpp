#include "marjoramfold/dispatch/pacedqueue.h"
#include "tests/support/scriptedstore.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

TEST_CASE("commands to all workers are sent in turns of limited size", "[dispatch]")
{
    ManualSchedule schedule;
    std::vector<std::chrono::milliseconds> turns;
    PacedQueue queue(
        [&](std::chrono::milliseconds pause, std::function<void()> step) {
            turns.push_back(pause);
            schedule.hook()(pause, std::move(step));
        },
        3);
    std::vector<std::string> sent;
    const auto add = [&queue, &sent](CommandLane lane, const std::string &name) {
        queue.add(lane, [&sent, name] {
            sent.push_back(name);
        });
    };

    SECTION("never within the call that adds them")
    {
        add(CommandLane::Leases, "lease");
        CHECK(sent.empty());
        CHECK(queue.size() == 1);
        schedule.advance(0ms);
        CHECK(sent == std::vector<std::string>{"lease"});
    }

    SECTION("leases before runs, and runs before first contacts")
    {
        add(CommandLane::Contacts, "contact 1");
        add(CommandLane::Contacts, "contact 2");
        add(CommandLane::Runs, "run 1");
        add(CommandLane::Runs, "run 2");
        add(CommandLane::Leases, "lease 1");
        add(CommandLane::Leases, "lease 2");
        schedule.advance(0ms);
        CHECK(sent == std::vector<std::string>{"lease 1", "lease 2", "run 1", "run 2", "contact 1", "contact 2"});
        CHECK(turns == std::vector<std::chrono::milliseconds>{0ms, 0ms});
    }

    SECTION("a command that adds others does not prolong its turn")
    {
        std::size_t inFirstTurn = 0;
        std::function<void()> addAnother = [&] {
            sent.emplace_back("again");
            if (sent.size() < 7) {
                queue.add(CommandLane::Runs, addAnother);
            }
            if (turns.size() == 1) {
                ++inFirstTurn;
            }
        };
        queue.add(CommandLane::Runs, addAnother);
        schedule.advance(0ms);
        CHECK(sent.size() == 7);
        CHECK(inFirstTurn <= 3);
    }

    SECTION("and none after the queue was stopped, also by a command")
    {
        add(CommandLane::Leases, "lease");
        queue.add(CommandLane::Leases, [&queue] {
            queue.stop();
        });
        add(CommandLane::Runs, "run");
        schedule.advance(0ms);
        CHECK(sent == std::vector<std::string>{"lease"});
        add(CommandLane::Runs, "late run");
        schedule.advance(1s);
        CHECK(sent == std::vector<std::string>{"lease"});
        CHECK(queue.size() == 0);
    }
}
