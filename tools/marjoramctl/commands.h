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
/// Values of the flags.
struct Options {
    std::vector<std::string> entries_;
    std::chrono::milliseconds timeout_{0};
    /// How long commands that wait do so.
    std::chrono::milliseconds wait_{0};
    /// Id of a publish or job; made here when empty.
    std::string id_;
    std::string author_;
    std::optional<std::uint64_t> baseVersion_;
};

/// What a command works with.
struct Invocation {
    const Options &options_;
    /// Arguments after the words of the command.
    std::vector<std::string> arguments_;
    Terminal &terminal_;
    EntryClient &entries_;
};

/// One subcommand.
struct Command {
    /// Words that select it, for example "rules check".
    std::vector<std::string> words_;
    /// Names of its arguments.
    std::vector<std::string> arguments_;
    std::string summary_;
    /// More help, in whole lines.
    std::string details_;
    /// Flags that matter to it besides the common ones.
    std::vector<std::string> flags_;
    bool needsEntry_ = true;
    std::function<ExitCode(Invocation &)> run_;
};

/// Subcommands by group.
[[nodiscard]] auto rulesCommands() -> std::vector<Command>;
[[nodiscard]] auto jobCommands() -> std::vector<Command>;
[[nodiscard]] auto inspectCommands() -> std::vector<Command>;

/// All subcommands, in the order of the help.
[[nodiscard]] auto allCommands() -> std::vector<Command>;

/// Writes an error of the system; the exit code for it.
auto reportError(Terminal &terminal, const EntryError &error) -> ExitCode;

/// Writes a wrong use or a wrong file; the exit code for it.
auto reportWrongUse(Terminal &terminal, const std::string &message) -> ExitCode;

/// Writes an answer as JSON, or for people by a function.
auto report(Terminal &terminal, const nlohmann::json &answer, const std::function<void()> &writeText) -> ExitCode;

/// A file's content; empty when it cannot be read.
[[nodiscard]] auto readFile(const std::string &path) -> std::optional<std::string>;

/// A random id with a prefix, made here so that a command can be repeated safely.
[[nodiscard]] auto makeId(const std::string &prefix) -> std::string;

/// A member of a JSON object as text, number or truth value; the fallback when it is absent or of another type.
[[nodiscard]] auto textOr(const nlohmann::json &object, const char *key, const std::string &fallback) -> std::string;
[[nodiscard]] auto numberOr(const nlohmann::json &object, const char *key, std::int64_t fallback) -> std::int64_t;
[[nodiscard]] auto flagOr(const nlohmann::json &object, const char *key, bool fallback) -> bool;

/// The list under a key of an answer; an empty list when it is absent.
[[nodiscard]] auto listOf(const nlohmann::json &object, const char *key) -> nlohmann::json;
} // namespace Marjoramfold::Ctl
