#include "tools/marjoramctl/commandline.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace Marjoramfold;
using Marjoramfold::Ctl::ExitCode;

namespace
{
/// A file that is removed at the end of a test.
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &content)
        : path_(std::filesystem::temp_directory_path() / ("marjoramctl-test-" + std::to_string(reinterpret_cast<std::uintptr_t>(this))))
    {
        std::ofstream(path_, std::ios::binary) << content;
    }

    ~TemporaryFile()
    {
        std::filesystem::remove(path_);
    }

    TemporaryFile(const TemporaryFile &) = delete;
    auto operator=(const TemporaryFile &) -> TemporaryFile & = delete;

    [[nodiscard]] auto path() const -> std::string
    {
        return path_.string();
    }

private:
    std::filesystem::path path_;
};

struct Outcome {
    ExitCode code_ = ExitCode::Done;
    std::string out_;
    std::string err_;
};

auto runCommand(const std::vector<std::string> &arguments) -> Outcome
{
    std::ostringstream out;
    std::ostringstream err;
    const auto code = Ctl::runCommandLine(arguments, out, err);
    return {code, out.str(), err.str()};
}

constexpr const char *PlacedLine = "1.0 i1 2026-03-27T21:53:00.000+00:00 I step_placed job_id=a occurrence=0 step=0 queue=bulk milli_cores=2000 accelerators=1 "
                                   "tasks=2 first_worker=w1 waited_ms=0 lateness=0\n";
constexpr const char *EndedLine = "2.0 i1 2026-03-27T21:53:01.000+00:00 W run_ended job_id=a task=a/0/0/1 run=1 worker=w2 how=failed ran_ms=1500\n";
constexpr const char *DroppedLine = "3.0 i1 2026-03-27T21:53:02.000+00:00 W lines_dropped event=run_ended lines=20\n";
} // namespace

TEST_CASE("marjoramctl account reads logs and prints sums", "[accounting][ctl]")
{
    // The lines of one instance are in two files, in the wrong order, and with a line of another program.
    const TemporaryFile first(std::string(EndedLine) + "some text\n" + DroppedLine);
    const TemporaryFile second(PlacedLine);
    SECTION("as text, with what the sums leave out")
    {
        const auto result = runCommand({"account", first.path(), second.path()});
        CHECK(result.code_ == ExitCode::Done);
        CHECK(result.out_.find("4 lines, 1 of them cannot be read") != std::string::npos);
        CHECK(result.out_.find("dropped lines of run_ended: 20; the sums are lower bounds") != std::string::npos);
        CHECK(result.out_.find("failed on w2 15.0 core-s") != std::string::npos);
    }
    SECTION("as JSON")
    {
        const auto result = runCommand({"account", "--json", first.path(), second.path()});
        const auto json = nlohmann::json::parse(result.out_);
        CHECK(json["by_cause"][0]["cause"] == "failed");
        CHECK(json["by_queue"][0]["lost_core_s"] == Approx(15.0));
        CHECK(json["missed_jobs"][0]["id"] == "a");
        CHECK(json["sums_are_lower_bounds"] == true);
    }
    SECTION("tables are cut off at the number of rows that was asked for, and say so")
    {
        const TemporaryFile third(
            "4.0 i1 2026-03-27T21:53:04.000+00:00 I step_placed job_id=b occurrence=0 step=0 queue=r milli_cores=1 accelerators=0 waited_ms=70\n");
        const auto result = runCommand({"account", "--top=1", first.path(), second.path(), third.path()});
        CHECK(result.out_.find("by cause, the first 1 of 2") != std::string::npos);
        CHECK(runCommand({"account", "--top=-1", first.path()}).code_ == ExitCode::WrongUse);
    }
}

TEST_CASE("marjoramctl account reports input that it cannot use", "[accounting][ctl]")
{
    SECTION("a missing file, a directory and no file")
    {
        CHECK(runCommand({"account", "/nonexistent/log"}).err_.find("/nonexistent/log: cannot read the file") != std::string::npos);
        CHECK(runCommand({"account", std::filesystem::temp_directory_path().string()}).code_ == ExitCode::WrongUse);
        CHECK(runCommand({"account"}).code_ == ExitCode::WrongUse);
    }
    SECTION("a file without any log line, also one of a single long line of arbitrary bytes")
    {
        const TemporaryFile file(std::string(300'000, '\xff') + '\0' + "{[");
        const auto result = runCommand({"account", file.path()});
        CHECK(result.code_ == ExitCode::WrongUse);
        CHECK(result.err_.find("none of the 1 lines is a log line") != std::string::npos);
    }
    SECTION("an empty file has an empty account")
    {
        const TemporaryFile file("");
        CHECK(runCommand({"account", file.path()}).code_ == ExitCode::Done);
    }
    SECTION("names in the log are neither invalid JSON nor control characters for the terminal")
    {
        const TemporaryFile file("1 i 2026-03-27T21:53:00.000+00:00 I job_phase job_id=\"\\x1b[2J\xff\" queue=\"\\x1b\xff\" phase=3 age_ms=5\n");
        CHECK(runCommand({"account", file.path()}).out_.find('\x1b') == std::string::npos);
        CHECK(nlohmann::json::accept(runCommand({"account", "--json", file.path()}).out_));
    }
}
