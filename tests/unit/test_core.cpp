#include "marjoramfold/core/error.h"
#include "marjoramfold/core/ids.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;

SCENARIO("task identifiers round-trip through their text form", "[core]")
{
    GIVEN("a task of a job whose identifier contains a slash")
    {
        const TaskId task{JobId("team/job"), 3, 12};
        THEN("parsing the text gives the same task")
        {
            TaskId parsed;
            REQUIRE(parseTaskId(toString(task), parsed));
            REQUIRE(parsed == task);
        }
    }
    GIVEN("malformed texts")
    {
        const auto *text = GENERATE("", "job", "job/1", "/1/2", "job//2", "job/1/", "job/x/2", "job/1/-2", "job/1/99999999999");
        THEN("they are rejected instead of parsed as another task")
        {
            TaskId parsed;
            REQUIRE_FALSE(parseTaskId(text, parsed));
        }
    }
}

SCENARIO("every error kind has a consistent name, status and outcome", "[core]")
{
    for (auto i = 0; i <= static_cast<int>(ErrorKind::Internal); ++i) {
        const auto kind = static_cast<ErrorKind>(i);
        const auto &answer = errorAnswer(kind);
        DYNAMIC_SECTION(answer.name_)
        {
            REQUIRE(errorKindFromName(answer.name_) == kind);
            // 503 states that the work did not run, so an error after which it may have run must not use it.
            REQUIRE((answer.ran_ != Ran::Maybe || answer.httpStatus_ != 503));
        }
    }
}
