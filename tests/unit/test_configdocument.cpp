#include "marjoramfold/observability/logline.h"
#include "platform/configdocument.h"
#include "platform/operatorrecords.h"
#include "tools/marjoramctl/commandline.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

using namespace Marjoramfold;
using Marjoramfold::Ctl::ExitCode;

namespace
{
constexpr const char *CleanText = R"({"version": 7,
  "routes": [
    {"name": "r", "host": "h.example", "path_prefix": "/a/", "service": "s", "priority": 0, "max_attempts": 3, "stretch": 1.5}
  ],
  "services": [{"name": "s"}],
  "tenants": [{"name": "t", "api_keys": ["k1"], "guaranteed": {"gpu": 8}}]
})";

/// Findings as "LINE:COLUMN KIND PATH: MESSAGE", without a position where there is none.
auto findingsOf(const std::string &text) -> std::vector<std::string>
{
    const auto checked = Wire::checkConfigText(text);
    REQUIRE(isOk(checked));
    std::vector<std::string> findings;
    for (const auto &finding : valueOf(checked).findings_) {
        const auto position = finding.position_ ? std::to_string(finding.position_->line_) + ":" + std::to_string(finding.position_->column_) + " " : "";
        findings.push_back(position + std::string(nameOf(finding.kind_)) + " " + finding.path_ + ": " + finding.message_);
    }
    return findings;
}

auto replaced(std::string text, const std::string &part, const std::string &by) -> std::string
{
    return text.replace(text.find(part), part.size(), by);
}

auto errorIn(const std::string &text) -> std::string
{
    const auto checked = Wire::checkConfigText(text);
    return isOk(checked) ? "" : errorOf(checked).message_;
}

/// A file that is removed at the end of a test.
class ConfigFile
{
public:
    explicit ConfigFile(const std::string &content)
        : path_(std::filesystem::temp_directory_path() / ("config-test-" + std::to_string(reinterpret_cast<std::uintptr_t>(this))))
    {
        std::ofstream(path_, std::ios::binary) << content;
    }

    ~ConfigFile()
    {
        std::filesystem::remove(path_);
    }

    ConfigFile(const ConfigFile &) = delete;
    auto operator=(const ConfigFile &) -> ConfigFile & = delete;

    [[nodiscard]] auto path() const -> std::string
    {
        return path_.string();
    }

private:
    std::filesystem::path path_;
};

struct CheckOutcome {
    ExitCode code_ = ExitCode::Done;
    std::string out_;
    std::string err_;
};

auto runCheck(std::vector<std::string> arguments) -> CheckOutcome
{
    arguments.insert(arguments.begin(), {"config", "check"});
    std::ostringstream out;
    std::ostringstream err;
    const auto code = Ctl::runCommandLine(arguments, out, err);
    return {code, out.str(), err.str()};
}
} // namespace

TEST_CASE("a configuration document is checked with positions", "[config][platform]")
{
    SECTION("a clean one")
    {
        CHECK(findingsOf(CleanText).empty());
    }
    SECTION("values of another type or out of range, all of an entry")
    {
        const auto findings = findingsOf(replaced(CleanText, R"("priority": 0, "max_attempts": 3)", R"("priority": "high", "max_attempts": 1e300)"));
        REQUIRE(findings.size() == 2);
        CHECK(findings[0].starts_with("3:78 error routes[0].priority: must be an integer from 0 to"));
        CHECK(findings[1].starts_with("3:98 error routes[0].max_attempts: must be an integer"));
    }
    SECTION("a nested value")
    {
        const auto findings = findingsOf(replaced(CleanText, R"("gpu": 8)", R"("gpu": -8)"));
        REQUIRE(findings.size() == 1);
        CHECK(findings[0].starts_with("6:64 error tenants[0].guaranteed.gpu: must be an integer"));
    }
    SECTION("list elements that are no objects do not shift the others")
    {
        const auto findings = findingsOf(replaced(replaced(CleanText, R"("routes": [)", R"("routes": [7,)"), R"("service": "s")", R"("service": "x")"));
        REQUIRE(findings.size() == 2);
        CHECK(findings[0] == "2:3 error routes[0]: is a value of type number, not an object, and is ignored");
        CHECK(findings[1] == "3:5 error routes[1]: queue 'r': its pool 'x' is not in the configuration");
    }
    SECTION("a member that occurs twice, of which a parser keeps the last one")
    {
        const auto findings = findingsOf(replaced(CleanText, R"("stretch": 1.5)", R"("stretch": 1.5, "str\u0065tch": 2)"));
        REQUIRE(findings.size() == 1);
        CHECK(findings[0] == "3:128 error routes[0].stretch: the name occurs again in the same object; only the last value is in force");
    }
    SECTION("a zero byte, at which the parser ends")
    {
        const auto findings = findingsOf("{\"version\": 7}\n" + std::string(1, '\0') + "{");
        REQUIRE(findings.size() == 1);
        CHECK(findings[0] == "2:1 error : has a zero byte; what follows is ignored");
    }
    SECTION("no attempt, and a text that is larger than a record of the store")
    {
        CHECK(findingsOf(replaced(CleanText, R"("max_attempts": 3)", R"("max_attempts": 0)")).front().find("allows no attempt") != std::string::npos);
        CHECK(findingsOf(CleanText + std::string(300'000, ' ')).front().find("a record of the store has at most 262144") != std::string::npos);
    }
}

TEST_CASE("text that is no configuration gives an error with its position", "[config][platform]")
{
    CHECK(errorIn("").find("line 1, column 1") != std::string::npos);
    CHECK(errorIn("{\"version\": 7,\n  \"routes\": [").find("line 2, column 13") != std::string::npos);
    CHECK(errorIn("{\"version\": 7,\n \"routes\": [}").find("line 2, column 13") != std::string::npos);
    CHECK(errorIn("{\"version\": 7, \"x\": \"\xff\"}").find("UTF-8") != std::string::npos);
    CHECK(errorIn("{\"version\": 7, \"x\": \"\\ud800\"}").find("surrogate") != std::string::npos);
    CHECK(errorIn("{\"version\": 1e999}").find("column") != std::string::npos);
    CHECK(errorIn("{} {}").find("column 4") != std::string::npos);
    CHECK(errorIn("[]") == "not a JSON object");
    CHECK(errorIn("{}") == "configuration: 'version' is missing");
    CHECK(errorIn("{\"version\": 0}").find("'version' must be an integer from 1") != std::string::npos);
    // A parser or destructor that recurses would overflow the stack.
    CHECK(errorIn("{\"version\": 7, \"x\": " + std::string(500'000, '[')).find("nested more than 64 levels deep") != std::string::npos);
    CHECK(errorIn(std::string(Wire::MaxConfigFileBytes + 1, ' ')).find("larger than 1048576 bytes") != std::string::npos);
}

TEST_CASE("random changes of a configuration are read or refused", "[config][platform]")
{
    // Guards against a crash, and against a text that the check reads and an instance does not, or the other way round.
    std::mt19937_64 random(11);
    for (int round = 0; round < 2'000; ++round) {
        std::string text = CleanText;
        for (auto changes = 1 + random() % 3; changes > 0 && !text.empty(); --changes) {
            const auto at = random() % text.size();
            if (random() % 4 == 0) {
                text.insert(at, text.substr(random() % text.size(), random() % 40));
            } else if (random() % 4 == 0) {
                text.resize(at);
            } else {
                text[at] = static_cast<char>(random());
            }
        }
        INFO(text);
        setLogOutput([](LogSeverity, const std::string &, const std::string &) {});
        const auto decoded = Wire::decodeOperatorRecord({"config", text});
        setLogOutput({});
        CHECK(isOk(Wire::checkConfigText(text)) == isOk(decoded));
    }
}

TEST_CASE("hostile documents of the largest size are checked in bounded memory", "[config][platform]")
{
    std::string longNames = "{\"version\": 7, \"" + std::string(400'000, 'n') + "\": {";
    while (longNames.size() < Wire::MaxConfigFileBytes - 20) {
        longNames += "\"\":{},";
    }
    CHECK_FALSE(findingsOf(longNames + "\"\":{}}}").empty());
}

TEST_CASE("marjoramctl config check reports findings and differences", "[config][ctl]")
{
    const ConfigFile clean(CleanText);
    SECTION("a clean file")
    {
        const auto result = runCheck({clean.path()});
        CHECK(result.code_ == ExitCode::Done);
        CHECK(result.out_ == clean.path() + ": no findings\n");
    }
    SECTION("a finding with its position, and 1 as exit code")
    {
        const ConfigFile file(replaced(CleanText, R"("service": "s")", R"("service": "\u001b")"));
        const auto result = runCheck({file.path()});
        CHECK(result.code_ == ExitCode::Refused);
        CHECK(result.err_.find(":3:5: error: routes[0]: queue 'r': its pool") != std::string::npos);
        CHECK(result.err_.find('\x1b') == std::string::npos);
        const auto json = nlohmann::json::parse(runCheck({"--json", file.path()}).out_);
        CHECK(json["clean"] == false);
        CHECK(json["findings"][0]["line"] == 3);
    }
    SECTION("guarantees against the capacity that is given")
    {
        CHECK(runCheck({"--accelerators=8", clean.path()}).code_ == ExitCode::Done);
        CHECK(runCheck({"--accelerators=7", clean.path()}).err_.find("there are 7") != std::string::npos);
    }
    SECTION("differences are no findings, but a version that is not higher is one")
    {
        const ConfigFile next(replaced(replaced(CleanText, "\"version\": 7", "\"version\": 8"), "\"gpu\": 8", "\"gpu\": 9"));
        const auto result = runCheck({next.path(), "--against", clean.path()});
        CHECK(result.code_ == ExitCode::Done);
        CHECK(result.out_.find("team 't': guaranteed accelerators changes from 8 to 9") != std::string::npos);
        CHECK(runCheck({clean.path(), "--against", next.path()}).err_.find("must be above 8") != std::string::npos);
        CHECK(runCheck({clean.path(), "--against", clean.path()}).code_ == ExitCode::Done);
    }
    SECTION("files that cannot be read have 2 as exit code")
    {
        const ConfigFile broken("{");
        CHECK(runCheck({broken.path()}).code_ == ExitCode::WrongUse);
        CHECK(runCheck({clean.path(), "--against", broken.path()}).code_ == ExitCode::WrongUse);
        CHECK(runCheck({"/nonexistent/config"}).err_.find("cannot read the file") != std::string::npos);
        CHECK(runCheck({std::filesystem::temp_directory_path().string()}).code_ == ExitCode::WrongUse);
        CHECK(runCheck({"/dev/zero"}).err_.find("larger than") != std::string::npos);
    }
}
