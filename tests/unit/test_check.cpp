#include "marjoramfold/observability/check.h"

#include <catch2/catch.hpp>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <string>

using namespace Marjoramfold;

// What the on-call team learns of a process that an error of the program ends.

namespace
{
/// How a child process ended, and what it wrote to standard error.
struct ChildEnd {
    int signal_ = 0;
    std::string errors_;
};

/// Runs a function in a child process.
auto runInChild(const std::function<void()> &work) -> ChildEnd
{
    std::array<int, 2> pipe{};
    REQUIRE(::pipe(pipe.data()) == 0);
    const auto child = ::fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        std::signal(SIGABRT, SIG_DFL);
        ::dup2(pipe[1], STDERR_FILENO);
        work();
        ::_exit(0);
    }
    ::close(pipe[1]);
    ChildEnd end;
    std::array<char, 512> bytes{};
    for (auto size = ::read(pipe[0], bytes.data(), bytes.size()); size > 0; size = ::read(pipe[0], bytes.data(), bytes.size())) {
        end.errors_.append(bytes.data(), static_cast<std::size_t>(size));
    }
    ::close(pipe[0]);
    auto status = 0;
    REQUIRE(::waitpid(child, &status, 0) == child);
    end.signal_ = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    return end;
}
} // namespace

TEST_CASE("a failed check names the job that led to it", "[observability]")
{
    // Guards against a stored job that ends each leader and that nothing in the logs names.
    const JobId job("00000000000000a1");

    SECTION("in a line of its own, before the process ends")
    {
        const auto end = runInChild([&job] {
            const JobScope scope(job);
            check(false, "the counts agree", "marjoramfold/dispatch/idlereserve.cpp", 25);
        });
        CHECK(end.signal_ == SIGABRT);
        CHECK(end.errors_ == "check_failed job_id=00000000000000a1 condition=\"the counts agree\" file=idlereserve.cpp line=25\n");
    }

    SECTION("and none when the work for it is over")
    {
        const auto end = runInChild([&job] {
            {
                const JobScope scope(job);
            }
            check(false, "the counts agree", "file.cpp", 1);
        });
        CHECK(end.signal_ == SIGABRT);
        CHECK(end.errors_ == "check_failed condition=\"the counts agree\" file=file.cpp line=1\n");
    }

    SECTION("of two jobs the inner one, and the outer one after it")
    {
        const auto end = runInChild([&job] {
            const JobScope scope(job);
            {
                const JobId other("00000000000000a2");
                const JobScope inner(other);
            }
            check(false, "the counts agree", "file.cpp", 1);
        });
        CHECK(end.errors_.starts_with("check_failed job_id=00000000000000a1 "));
    }

    SECTION("while one that holds does nothing")
    {
        const auto end = runInChild([] {
            check(true, "the counts agree");
        });
        CHECK(end.signal_ == 0);
        CHECK(end.errors_.empty());
    }
}
