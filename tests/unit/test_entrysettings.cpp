#include "marjoramfold/entry/entrysettings.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;

namespace
{
const std::string ValidSettings = R"(
[instance]
id = "entry-1"
availability_zone = "cluj-a"
[listen]
address = "127.0.0.1"
http_port = 8080
peer_port = 7000
[platform]
log = "127.0.0.1:9000"
instance_list = "127.0.0.1:9000"
[peers]
signing_key = 1
[[peer]]
id = "entry-2"
availability_zone = "cluj-a"
address = "127.0.0.2:7000"
[[key]]
id = 1
secret = "00112233445566778899aabbccddeeff"
)";

auto settingsWith(const std::string &from, const std::string &to) -> std::string
{
    auto text = ValidSettings;
    text.replace(text.find(from), from.size(), to);
    return text;
}

/// An edit that makes the settings invalid, and text that the error message must contain.
struct InvalidSetting {
    const char *from_;
    const char *to_;
    const char *message_;
};

constexpr InvalidSetting InvalidSettings[] = {
    {"id = \"entry-1\"", "", "instance.id is missing"},
    {"id = \"entry-1\"", "id = 5", "instance.id must be a string"},
    {"id = \"entry-1\"", "id = \"\"", "instance.id must not be empty"},
    {"127.0.0.1\"\nhttp", "localhost\"\nhttp", "listen.address must be an IPv4 address, not 'localhost'"},
    {"8080", "0", "listen.http_port must be from 1 to 65535"},
    {"8080", "99999999999999999999", "s.toml:7:"},
    {"7000\n[platform]", "8080\n[platform]", "listen.peer_port must differ from http_port"},
    {"log = \"127.0.0.1:9000\"", "log = \"127.0.0.1\"", "platform.log must be IPv4:PORT, not '127.0.0.1'"},
    {"log = \"127.0.0.1:9000\"", "log = \"127.0.0.1:70000\"", "platform.log must be IPv4:PORT"},
    {"[peers]\nsigning_key = 1", "[peers]\nsigning_key = 2", "peers.signing_key is not the id of any [[key]] entry"},
    {"00112233445566778899aabbccddeeff", "0011", "key[0].secret must be at least 32 lower-case hexadecimal digits"},
    {"[platform]", "[platform]\nspeed = 1", "platform.speed is not a known key"},
    {"[instance]", "[other]\n[instance]", "other is not a known key"},
    {"[instance]", "[instance", "s.toml:2:"},
};
} // namespace

SCENARIO("entry settings are validated and every problem is reported", "[settings]")
{
    GIVEN("valid settings")
    {
        const auto settings = parseEntrySettings(ValidSettings, "s.toml");
        THEN("they are parsed")
        {
            REQUIRE(isOk(settings));
            CHECK(valueOf(settings).peers_.size() == 1);
            CHECK(valueOf(settings).keys_[0].secret_.size() == 16);
        }
    }
    for (const auto &row : InvalidSettings) {
        DYNAMIC_SECTION("rejected with file, key and reason: " << row.message_)
        {
            const auto settings = parseEntrySettings(settingsWith(row.from_, row.to_), "s.toml");
            REQUIRE_FALSE(isOk(settings));
            CHECK_THAT(errorOf(settings).message_, Catch::Contains(row.message_) && Catch::Contains("s.toml"));
        }
    }
    GIVEN("settings with several problems")
    {
        const auto settings = parseEntrySettings("[instance]\n[listen]\n[platform]\n[peers]\n", "s.toml");
        THEN("all are reported at once, so that an operator can fix the file in one pass")
        {
            REQUIRE_FALSE(isOk(settings));
            CHECK_THAT(errorOf(settings).message_, Catch::Contains("instance.id") && Catch::Contains("listen.http_port"));
        }
    }
}
