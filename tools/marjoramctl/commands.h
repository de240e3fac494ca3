#pragma once

#include "entryclient.h"
#include "terminal.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Marjoramfold::Ctl
{
/// Values of the flags of one invocation.
struct Options {
    std::vector<std::string> entries_;
    std::chrono::milliseconds timeout_{0};
    /// Timeout of commands that wait for a result.
    std::chrono::milliseconds wait_{0};
    /// Id of a publish or job; generated when empty.
    std::string id_;
    std::string author_;
    std::optional<std::uint64_t> baseVersion_;
    /// Number of rows of each table in text output; 0 means all.
    std::size_t top_ = 0;
    /// File with the version to compare with; empty when there is none.
    std::string against_;
    /// Number of accelerators of the fleet.
    std::optional<std::int64_t> accelerators_;
};

/// Arguments, output and connection of a running command.
struct Invocation {
    const Options &options_;
    /// Arguments that follow the words of the command.
    std::vector<std::string> arguments_;
    Terminal &terminal_;
    EntryClient &entries_;
};

/// Description of a subcommand, and the function that runs it.
struct Command {
    /// Words that select the command, for example "rules", "check".
    std::vector<std::string> words_;
    /// Names of the positional arguments. The last one may be given several times when its name ends with "...".
    std::vector<std::string> arguments_;
    std::string summary_;
    /// Further help text; each line ends with a line break.
    std::string details_;
    /// Accepted flags in addition to the common ones.
    std::vector<std::string> flags_;
    bool needsEntry_ = true;
    std::function<ExitCode(Invocation &)> run_;
};

[[nodiscard]] auto rulesCommands() -> std::vector<Command>;
[[nodiscard]] auto jobCommands() -> std::vector<Command>;
[[nodiscard]] auto inspectCommands() -> std::vector<Command>;
[[nodiscard]] auto accountCommands() -> std::vector<Command>;
[[nodiscard]] auto configCommands() -> std::vector<Command>;

/// All subcommands, in the order in which the help lists them.
[[nodiscard]] auto allCommands() -> std::vector<Command>;

/// Writes an error of a request to an entry; returns the exit code.
auto reportError(Terminal &terminal, const EntryError &error) -> ExitCode;

/// Writes an error in the command line or in an input file; returns the exit code.
auto reportWrongUse(Terminal &terminal, const std::string &message) -> ExitCode;

/// Writes an answer as JSON, or calls writeText when --json is not set; returns the exit code.
auto report(Terminal &terminal, const nlohmann::json &answer, const std::function<void()> &writeText) -> ExitCode;

/// Reads a file; empty when it cannot be read.
[[nodiscard]] auto readFile(const std::string &path) -> std::optional<std::string>;

/// Generates a random id with a prefix. Choosing the id on the client side makes it safe to resend the command.
[[nodiscard]] auto generateId(const std::string &prefix) -> std::string;

/// A member of a JSON object as text, number or boolean; the fallback when it is absent or of another type.
[[nodiscard]] auto textOr(const nlohmann::json &object, const char *key, const std::string &fallback) -> std::string;
[[nodiscard]] auto numberOr(const nlohmann::json &object, const char *key, std::int64_t fallback) -> std::int64_t;
[[nodiscard]] auto flagOr(const nlohmann::json &object, const char *key, bool fallback) -> bool;

/// The array under a key of an answer, or the answer itself when it is an array; an empty array when there is none.
[[nodiscard]] auto listOf(const nlohmann::json &object, const char *key) -> nlohmann::json;
} // namespace Marjoramfold::Ctl
