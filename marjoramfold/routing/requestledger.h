#pragma once

#include "marjoramfold/routing/request.h"

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Marjoramfold
{
/// What is known of the request of a key.
enum class LedgerState {
    InProgress,
    Answered,
    /// The work may have run and no answer is kept.
    Unknown,
};

/// The request of one key.
struct LedgerEntry {
    LedgerState state_ = LedgerState::InProgress;
    /// The request that runs for the key.
    RequestNumber number_ = 0;
    /// Hash of team and body: the same key with another request is a mistake of the caller.
    std::uint64_t fingerprint_ = 0;
    bool idempotent_ = true;
    /// Repeats of the key that wait for the same answer.
    std::vector<RequestNumber> waiting_;
    std::shared_ptr<const RoutedAnswer> answer_;
    SteadyTime rememberUntil_;
    /// Distinguishes uses of a key for the expiry queue.
    std::uint64_t generation_ = 0;
};

/// Limits of a ledger.
struct RequestLedgerOptions {
    std::chrono::milliseconds keepAnswer_{std::chrono::minutes(5)};
    /// Entries at most; when it is full, new keys are refused, because forgetting one could run it twice.
    std::size_t maxEntries_ = 500'000;
    /// Bytes of kept answers; beyond it the oldest answers are dropped and their keys stay known.
    std::size_t maxAnswerBytes_ = 64U << 20U;
};

/// Requests by key: in progress, answered or unknown. A non-idempotent key stays known until no instance accepts it any more.
class RequestLedger
{
public:
    explicit RequestLedger(RequestLedgerOptions options);

    /// The entry of a key; null when there is none. It stays valid until the entry is removed.
    [[nodiscard]] auto find(const std::string &key) -> LedgerEntry *;

    /// True when no new key can be taken.
    [[nodiscard]] auto isFull() const -> bool;

    /// Starts the request of a key, which is remembered for at least a time after its end.
    auto begin(const std::string &key, LedgerEntry entry) -> LedgerEntry &;

    /// Keeps the answer of a key.
    auto setAnswered(const std::string &key, std::shared_ptr<const RoutedAnswer> answer, SteadyTime now) -> void;

    /// Records that the work of a key may have run.
    auto setUnknown(const std::string &key, SteadyTime now) -> void;

    /// Forgets a key whose work did not run.
    auto remove(const std::string &key) -> void;

    /// Drops answers and keys whose time is over.
    auto prune(SteadyTime now) -> void;

    /// Number of keys known.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct Expiry {
        SteadyTime time_;
        std::string key_;
        std::uint64_t generation_ = 0;
    };

    auto dropAnswer(LedgerEntry &entry) -> void;
    auto dropOldestAnswer() -> void;
    auto expireAnswers(SteadyTime now) -> void;
    auto expireKeys(SteadyTime now) -> void;
    [[nodiscard]] auto findGeneration(const Expiry &expiry) -> LedgerEntry *;

    RequestLedgerOptions options_;
    std::unordered_map<std::string, LedgerEntry> entries_;
    /// Kept answers, oldest first.
    std::deque<Expiry> answers_;
    /// Ended keys, by the time at which they may be forgotten; a heap with the earliest in front.
    std::vector<Expiry> ended_;
    std::size_t answerBytes_ = 0;
    std::uint64_t nextGeneration_ = 1;
};
} // namespace Marjoramfold
