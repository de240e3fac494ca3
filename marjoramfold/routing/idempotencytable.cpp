#include "marjoramfold/routing/idempotencytable.h"

#include <algorithm>
#include <cassert>

namespace Marjoramfold
{
namespace
{
constexpr auto ExpiresLater = [](const auto &left, const auto &right) -> bool {
    return left.time_ > right.time_;
};
} // namespace

IdempotencyTable::IdempotencyTable(IdempotencyTableOptions options)
    : options_(options)
{
}

auto IdempotencyTable::find(const std::string &key) -> IdempotencyEntry *
{
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second;
}

auto IdempotencyTable::isFull() const -> bool
{
    return entries_.size() >= options_.maxEntries_;
}

auto IdempotencyTable::startRequest(const std::string &key, IdempotencyEntry entry) -> IdempotencyEntry &
{
    remove(key);
    entry.state_ = IdempotencyState::InProgress;
    entry.generation_ = nextGeneration_++;
    return entries_.emplace(key, std::move(entry)).first->second;
}

auto IdempotencyTable::setAnswered(const std::string &key, std::shared_ptr<const RoutedAnswer> answer, SteadyTime now) -> void
{
    auto *entry = find(key);
    if (entry == nullptr) {
        return;
    }
    dropAnswer(*entry);
    entry->state_ = IdempotencyState::Answered;
    entry->answer_ = std::move(answer);
    answerBytes_ += entry->answer_->body_.size();
    answerExpiries_.push_back({now + options_.answerRetention_, key, entry->generation_});
    keyExpiries_.push_back({std::max(entry->retainUntil_, now + options_.answerRetention_), key, entry->generation_});
    std::push_heap(keyExpiries_.begin(), keyExpiries_.end(), ExpiresLater);
    while (answerBytes_ > options_.maxAnswerBytes_ && !answerExpiries_.empty()) {
        dropOldestAnswer();
    }
}

auto IdempotencyTable::setUnknown(const std::string &key, SteadyTime now) -> void
{
    auto *entry = find(key);
    if (entry == nullptr || entry->state_ == IdempotencyState::Answered) {
        return;
    }
    entry->state_ = IdempotencyState::Unknown;
    keyExpiries_.push_back({std::max(entry->retainUntil_, now + options_.answerRetention_), key, entry->generation_});
    std::push_heap(keyExpiries_.begin(), keyExpiries_.end(), ExpiresLater);
}

auto IdempotencyTable::remove(const std::string &key) -> void
{
    auto *entry = find(key);
    if (entry != nullptr) {
        dropAnswer(*entry);
        entries_.erase(key);
    }
}

auto IdempotencyTable::prune(SteadyTime now) -> void
{
    expireAnswers(now);
    expireKeys(now);
}

auto IdempotencyTable::size() const -> std::size_t
{
    return entries_.size();
}

auto IdempotencyTable::expireAnswers(SteadyTime now) -> void
{
    while (!answerExpiries_.empty() && answerExpiries_.front().time_ <= now) {
        dropOldestAnswer();
    }
}

auto IdempotencyTable::expireKeys(SteadyTime now) -> void
{
    while (!keyExpiries_.empty() && keyExpiries_.front().time_ <= now) {
        std::pop_heap(keyExpiries_.begin(), keyExpiries_.end(), ExpiresLater);
        const auto expiry = std::move(keyExpiries_.back());
        keyExpiries_.pop_back();
        const auto *entry = findGeneration(expiry);
        // A late answer can extend the retention of a key, which then has a later expiry in the heap as well.
        const auto answerKept = entry != nullptr && entry->answer_ != nullptr;
        if (entry != nullptr && entry->state_ != IdempotencyState::InProgress && !answerKept) {
            remove(expiry.key_);
        }
    }
}

auto IdempotencyTable::dropOldestAnswer() -> void
{
    const auto expiry = std::move(answerExpiries_.front());
    answerExpiries_.pop_front();
    if (auto *entry = findGeneration(expiry)) {
        dropAnswer(*entry);
    }
}

auto IdempotencyTable::dropAnswer(IdempotencyEntry &entry) -> void
{
    if (entry.answer_) {
        assert(answerBytes_ >= entry.answer_->body_.size());
        answerBytes_ -= entry.answer_->body_.size();
        entry.answer_.reset();
        entry.state_ = IdempotencyState::Unknown;
    }
}

auto IdempotencyTable::findGeneration(const Expiry &expiry) -> IdempotencyEntry *
{
    auto *entry = find(expiry.key_);
    return entry != nullptr && entry->generation_ == expiry.generation_ ? entry : nullptr;
}
} // namespace Marjoramfold
