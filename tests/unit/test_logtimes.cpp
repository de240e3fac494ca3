#include "marjoramfold/core/clock.h"
#include "marjoramfold/log/instancelist.h"
#include "marjoramfold/log/jsonfields.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;

SCENARIO("times of day of this century are accepted in the platform's responses", "[log]")
{
    // An upper limit of a few months after 1970 once rejected every time of day that a real platform sends.
    const auto now = GENERATE(std::int64_t(0), std::int64_t(1'796'368'110'879), std::int64_t(4'102'444'800'000));
    const auto list = decodeInstanceList(R"({"as_of_ms":)" + std::to_string(now) + R"(,"instances":[]})");
    REQUIRE(isOk(list));
    CHECK(toUnixMilliseconds(valueOf(list).asOf_).count() == now);
}

SCENARIO("times that the clocks cannot represent are rejected", "[log]")
{
    const auto list = decodeInstanceList(R"({"as_of_ms":9223372036854775807,"instances":[]})");
    REQUIRE_FALSE(isOk(list));
    CHECK(errorOf(list).kind_ == ErrorKind::Malformed);
}
