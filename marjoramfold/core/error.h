#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace Marjoramfold
{
/// All error kinds. A new kind needs a row in the table of error.cpp.
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

/// Whether the requested work ran, as far as the responding instance can determine.
enum class Ran {
    No,
    Maybe,
    Yes,
};

/// How an error kind is reported to callers.
struct ErrorAnswer {
    ErrorKind kind_;
    std::string_view name_;
    int httpStatus_;
    Ran ran_;
    bool retryable_;
};

/// An error. Its kind determines how it is reported to callers; its message is for people.
struct Error {
    ErrorKind kind_ = ErrorKind::Internal;
    std::string message_;
    /// Delay after which a retry may succeed, if known.
    std::optional<std::chrono::milliseconds> retryAfter_;
};

/// The table row of an error kind.
[[nodiscard]] auto errorAnswer(ErrorKind kind) -> const ErrorAnswer &;

/// The error kind with a given name, if there is one.
[[nodiscard]] auto errorKindFromName(std::string_view name) -> std::optional<ErrorKind>;

/// Name of a Ran value in responses: "no", "maybe" or "yes".
[[nodiscard]] auto toString(Ran ran) -> std::string_view;

/// Kind and message of an error in one line, for logs and terminals.
[[nodiscard]] auto toString(const Error &error) -> std::string;
} // namespace Marjoramfold
