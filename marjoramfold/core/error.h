#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace Marjoramfold
{
/// The closed list of error kinds. A new kind needs a row in the table of error.cpp.
enum class ErrorKind {
    InvalidRequest,
    InvalidRules,
    InvalidSettings,
    StaleVersion,
    Unauthorized,
    NotFound,
    JobUnknown,
    QuotaExceeded,
    JobCanNeverRun,
    KeyExpired,
    QueueFull,
    DeadlineUnreachable,
    Draining,
    NoTarget,
    RulesNotLoaded,
    LogUnavailable,
    OffsetExpired,
    NotOwner,
    StaleEpoch,
    NotRun,
    DuplicateInProgress,
    MaybeRan,
    TargetTimeout,
    TargetFailed,
    AnswerMismatch,
    ConnectFailed,
    TransportFailed,
    Timeout,
    Malformed,
    Internal,
};

/// Whether the requested work ran, as far as the answering instance can know.
enum class Ran {
    No,
    Maybe,
    Yes,
};

/// How an error kind is answered to a caller.
struct ErrorAnswer {
    ErrorKind kind_;
    std::string_view name_;
    int httpStatus_;
    Ran ran_;
    bool retryable_;
};

/// An error with the kind that decides its answer and a message for people.
struct Error {
    ErrorKind kind_ = ErrorKind::Internal;
    std::string message_;
    /// When a repeat may succeed, if known.
    std::optional<std::chrono::milliseconds> retryAfter_;
};

/// The answer of an error kind.
[[nodiscard]] auto errorAnswer(ErrorKind kind) -> const ErrorAnswer &;

/// The error kind with a given name, if there is one.
[[nodiscard]] auto errorKindFromName(std::string_view name) -> std::optional<ErrorKind>;

/// Name of a Ran value in answers: "no", "maybe" or "yes".
[[nodiscard]] auto toString(Ran ran) -> std::string_view;

/// Name and message of an error in one line, for logs and terminals.
[[nodiscard]] auto toString(const Error &error) -> std::string;
} // namespace Marjoramfold
