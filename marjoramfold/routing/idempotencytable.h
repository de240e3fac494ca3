#pragma once

#include "marjoramfold/routing/request.h"

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Marjoramfold
{
/// State of the request of a key.
enum class IdempotencyState {
    InProgress,
    Answered,
    /// The request may have run, but no answer is stored.
    Unknown,
};

/// State of one idempotency key.
struct IdempotencyEntry {
    IdempotencyState state_ = IdempotencyState::InProgress;
    /// The request in progress.
    RequestNumber number_ = 0;
    /// Hash of team and body, to detect a caller that uses one key for two requests.
    std::uint64_t fingerprint_ = 0;
    bool idempotent_ = true;
    /// Duplicates that wait for the same answer.
    std::vector<RequestNumber> waiting_;
    std::shared_ptr<const RoutedAnswer> answer_;
    SteadyTime retainUntil_;
    /// Distinguishes successive uses of a key in the expiry queues.
    std::uint64_t generation_ = 0;
};

/// Limits of an idempotency table.
struct IdempotencyTableOptions {
    std::chrono::milliseconds answerRetention_{std::chrono::minutes(5)};
    /// When the table is full, new keys are refused, because evicting a key could execute its request twice.
    std::size_t maxEntries_ = 500'000;
    /// Limit on the stored answers; beyond it the oldest answers are dropped, but their keys are kept.
    std::size_t maxAnswerBytes_ = 64U << 20U;
};

/// Requests by idempotency key. The key of a non-idempotent request is kept until no instance accepts it any more.
class IdempotencyTable
{
public:
    explicit IdempotencyTable(IdempotencyTableOptions options);

    /// The entry of a key; null when there is none. It stays valid until the entry is removed.
    [[nodiscard]] auto find(const std::string &key) -> IdempotencyEntry *;

    /// True when no new key can be added.
    [[nodiscard]] auto isFull() const -> bool;

    /// Adds the entry as in progress, replacing any earlier one. Its key is kept until retainUntil_ and at least answerRetention_.
    auto startRequest(const std::string &key, IdempotencyEntry entry) -> IdempotencyEntry &;

    /// Stores the answer of a key.
    auto setAnswered(const std::string &key, std::shared_ptr<const RoutedAnswer> answer, SteadyTime now) -> void;

    /// Records that the request of a key may have run.
    auto setUnknown(const std::string &key, SteadyTime now) -> void;

    /// Removes a key whose request did not run.
    auto remove(const std::string &key) -> void;

    /// Removes expired answers and keys.
    auto prune(SteadyTime now) -> void;

    /// Number of keys in the table.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct Expiry {
        SteadyTime time_;
        std::string key_;
        std::uint64_t generation_ = 0;
    };

    auto dropAnswer(IdempotencyEntry &entry) -> void;
    auto dropOldestAnswer() -> void;
    auto expireAnswers(SteadyTime now) -> void;
    auto expireKeys(SteadyTime now) -> void;
    [[nodiscard]] auto findGeneration(const Expiry &expiry) -> IdempotencyEntry *;

    IdempotencyTableOptions options_;
    std::unordered_map<std::string, IdempotencyEntry> entries_;
    /// Stored answers, oldest first.
    std::deque<Expiry> answerExpiries_;
    /// Keys of ended requests; a min-heap by the time at which they may be removed.
    std::vector<Expiry> keyExpiries_;
    std::size_t answerBytes_ = 0;
    std::uint64_t nextGeneration_ = 1;
};
} // namespace Marjoramfold
