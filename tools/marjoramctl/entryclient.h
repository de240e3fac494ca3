#pragma once

#include "marjoramfold/core/result.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace Marjoramfold::Ctl
{
/// Whether a command may be sent again when it may have run.
enum class Repeat {
    /// Queries, and commands with an id made here: the system ignores a repeat.
    Safe,
    Never,
};

/// An error of the system, or of reaching it.
struct EntryError {
    /// Name of the kind, as the entry sent it or by ErrorKind.
    std::string kind_;
    std::string message_;
    /// Whether the work ran: "no", "maybe" or "yes"; empty when nothing was asked to run.
    std::string ran_;
    std::chrono::milliseconds retryAfter_{0};
    /// The whole error object of the entry, when it sent one.
    nlohmann::json details_;
};

using EntryAnswer = std::variant<nlohmann::json, EntryError>;

/// A request to an entry instance.
struct EntryRequest {
    std::string method_ = "GET";
    std::string target_;
    nlohmann::json body_;
    Repeat repeat_ = Repeat::Safe;
};

/// Talks to the HTTP interface of entry instances, tried in turn.
///
/// The next entry is tried when no connection was made, and when an entry refused with a retryable error and says that the
/// work did not run. When the work may have run, only requests that are safe to repeat go on to the next entry.
class EntryClient
{
public:
    EntryClient(std::vector<std::string> entries, std::chrono::milliseconds timeout);

    /// Sends a request to the first entry that answers.
    [[nodiscard]] auto send(const EntryRequest &request) -> EntryAnswer;

    /// Sends a query to every entry; the answers of those that gave one.
    [[nodiscard]] auto sendToAll(const std::string &target) -> std::vector<EntryAnswer>;

private:
    /// What one entry answered, and whether another one may be asked.
    struct Attempt {
        EntryAnswer answer_;
        bool tryNext_ = false;
    };

    [[nodiscard]] auto attempt(const std::string &entry, const EntryRequest &request) const -> Attempt;

    std::vector<std::string> entries_;
    std::chrono::milliseconds timeout_;
    /// Entry that answered last; it is tried first.
    std::size_t preferred_ = 0;
};

/// Writes an error in one line, or as JSON.
[[nodiscard]] auto toJson(const EntryError &error) -> nlohmann::json;
[[nodiscard]] auto toText(const EntryError &error) -> std::string;
} // namespace Marjoramfold::Ctl
