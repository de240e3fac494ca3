#include "marjoramfold/core/error.h"

#include <array>
#include <cassert>

namespace Marjoramfold
{
namespace
{
// Rows are in the order of ErrorKind, so that a kind is the index of its row.
constexpr std::array ErrorAnswers{
    ErrorAnswer{ErrorKind::InvalidRequest, "invalid_request", 400, Ran::No, false},
    ErrorAnswer{ErrorKind::InvalidRules, "invalid_rules", 422, Ran::No, false},
    ErrorAnswer{ErrorKind::InvalidSettings, "invalid_settings", 422, Ran::No, false},
    ErrorAnswer{ErrorKind::StaleVersion, "stale_version", 409, Ran::No, false},
    ErrorAnswer{ErrorKind::Unauthorized, "unauthorized", 401, Ran::No, false},
    ErrorAnswer{ErrorKind::NotFound, "not_found", 404, Ran::No, false},
    ErrorAnswer{ErrorKind::JobUnknown, "job_unknown", 410, Ran::No, false},
    ErrorAnswer{ErrorKind::QuotaExceeded, "quota_exceeded", 403, Ran::No, false},
    ErrorAnswer{ErrorKind::JobCanNeverRun, "job_can_never_run", 422, Ran::No, false},
    ErrorAnswer{ErrorKind::KeyExpired, "key_expired", 400, Ran::No, false},
    ErrorAnswer{ErrorKind::QueueFull, "queue_full", 503, Ran::No, true},
    ErrorAnswer{ErrorKind::DeadlineUnreachable, "deadline_unreachable", 503, Ran::No, false},
    ErrorAnswer{ErrorKind::Draining, "draining", 503, Ran::No, true},
    ErrorAnswer{ErrorKind::NoTarget, "no_target", 503, Ran::No, true},
    ErrorAnswer{ErrorKind::RulesNotLoaded, "rules_not_loaded", 503, Ran::No, true},
    ErrorAnswer{ErrorKind::LogUnavailable, "log_unavailable", 503, Ran::No, true},
    ErrorAnswer{ErrorKind::OffsetExpired, "offset_expired", 410, Ran::No, false},
    ErrorAnswer{ErrorKind::NotOwner, "not_owner", 503, Ran::No, true},
    ErrorAnswer{ErrorKind::StaleEpoch, "stale_epoch", 409, Ran::No, false},
    ErrorAnswer{ErrorKind::NotRun, "not_run", 503, Ran::No, true},
    ErrorAnswer{ErrorKind::DuplicateInProgress, "duplicate_in_progress", 409, Ran::Maybe, true},
    ErrorAnswer{ErrorKind::MaybeRan, "maybe_ran", 502, Ran::Maybe, false},
    ErrorAnswer{ErrorKind::TargetTimeout, "target_timeout", 504, Ran::Maybe, false},
    ErrorAnswer{ErrorKind::TargetFailed, "target_failed", 502, Ran::Maybe, false},
    ErrorAnswer{ErrorKind::AnswerMismatch, "answer_mismatch", 502, Ran::Maybe, false},
    ErrorAnswer{ErrorKind::ConnectFailed, "connect_failed", 503, Ran::No, true},
    ErrorAnswer{ErrorKind::TransportFailed, "transport_failed", 502, Ran::Maybe, false},
    ErrorAnswer{ErrorKind::Timeout, "timeout", 504, Ran::Maybe, false},
    ErrorAnswer{ErrorKind::Malformed, "malformed", 502, Ran::Maybe, false},
    ErrorAnswer{ErrorKind::Internal, "internal", 500, Ran::Maybe, false},
};
static_assert(ErrorAnswers.size() == static_cast<std::size_t>(ErrorKind::Internal) + 1);

constexpr auto rowsAreInKindOrder() -> bool
{
    for (std::size_t i = 0; i < ErrorAnswers.size(); ++i) {
        if (static_cast<std::size_t>(ErrorAnswers[i].kind_) != i) {
            return false;
        }
    }
    return true;
}
static_assert(rowsAreInKindOrder());
} // namespace

auto errorAnswer(ErrorKind kind) -> const ErrorAnswer &
{
    const auto index = static_cast<std::size_t>(kind);
    assert(index < ErrorAnswers.size());
    return ErrorAnswers[index];
}

auto errorKindFromName(std::string_view name) -> std::optional<ErrorKind>
{
    for (const auto &answer : ErrorAnswers) {
        if (answer.name_ == name) {
            return answer.kind_;
        }
    }
    return std::nullopt;
}

auto toString(Ran ran) -> std::string_view
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Maybe:
        return "maybe";
    case Ran::Yes:
        return "yes";
    }
    return "maybe";
}

auto toString(const Error &error) -> std::string
{
    return std::string(errorAnswer(error.kind_).name_) + ": " + error.message_;
}
} // namespace Marjoramfold
