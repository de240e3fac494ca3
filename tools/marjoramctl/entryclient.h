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
/// Whether a request may be sent again when a previous attempt may have run.
enum class Retry {
    /// Queries, and commands with an id that the client generated: the system ignores duplicates.
    Safe,
    Never,
};

/// An error reported by an entry, or a failure to reach one.
struct EntryError {
    /// Name of the error kind, as sent by the entry or derived from ErrorKind.
    std::string kind_;
    std::string message_;
    /// Whether the work ran: "no", "maybe" or "yes"; empty when nothing was requested to run.
    std::string ran_;
    std::chrono::milliseconds retryAfter_{0};
    /// The complete error object that the entry sent, if any.
    nlohmann::json details_;
};

using EntryAnswer = std::variant<nlohmann::json, EntryError>;

/// A request to an entry instance.
struct EntryRequest {
    std::string method_ = "GET";
    std::string target_;
    nlohmann::json body_;
    Retry retry_ = Retry::Safe;
};

/// Client of the HTTP interface of entry instances, with failover between them.
///
/// Tries the next entry when no connection was established, and when an entry returned a retryable error and reports that the
/// work did not run. When the work may have run, only requests with Retry::Safe are sent to the next entry.
class EntryClient
{
public:
    EntryClient(std::vector<std::string> entries, std::chrono::milliseconds timeout);

    /// Sends a request to the entries, one after the other, until one answers or the failure must not be retried.
    [[nodiscard]] auto send(const EntryRequest &request) -> EntryAnswer;

    /// Sends a query to every entry; returns the answer or error of each.
    [[nodiscard]] auto sendToAll(const std::string &target) -> std::vector<EntryAnswer>;

private:
    /// The answer of one entry, and whether the request may be sent to the next one.
    struct Attempt {
        EntryAnswer answer_;
        bool tryNext_ = false;
    };

    [[nodiscard]] auto attempt(const std::string &entry, const EntryRequest &request) const -> Attempt;

    std::vector<std::string> entries_;
    std::chrono::milliseconds timeout_;
    /// Index of the entry that answered last; it is tried first.
    std::size_t preferred_ = 0;
};

/// Formats an error as JSON, or as one line of text.
[[nodiscard]] auto toJson(const EntryError &error) -> nlohmann::json;
[[nodiscard]] auto toText(const EntryError &error) -> std::string;
} // namespace Marjoramfold::Ctl
