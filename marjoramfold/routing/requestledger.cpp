#include "marjoramfold/routing/requestledger.h"

#include <algorithm>
#include <cassert>

namespace Marjoramfold
{
namespace
{
constexpr auto LaterFirst = [](const auto &left, const auto &right) -> bool {
    return left.time_ > right.time_;
};
} // namespace

RequestLedger::RequestLedger(RequestLedgerOptions options)
    : options_(options)
{
}

auto RequestLedger::find(const std::string &key) -> LedgerEntry *
{
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second;
}

auto RequestLedger::isFull() const -> bool
{
    return entries_.size() >= options_.maxEntries_;
}

auto RequestLedger::begin(const std::string &key, LedgerEntry entry) -> LedgerEntry &
{
    remove(key);
    entry.state_ = LedgerState::InProgress;
    entry.generation_ = nextGeneration_++;
    return entries_.emplace(key, std::move(entry)).first->second;
}

auto RequestLedger::setAnswered(const std::string &key, std::shared_ptr<const RoutedAnswer> answer, SteadyTime now) -> void
{
    auto *entry = find(key);
    if (entry == nullptr) {
        return;
    }
    dropAnswer(*entry);
    entry->state_ = LedgerState::Answered;
    entry->answer_ = std::move(answer);
    answerBytes_ += entry->answer_->body_.size();
    answers_.push_back({now + options_.keepAnswer_, key, entry->generation_});
    ended_.push_back({std::max(entry->rememberUntil_, now + options_.keepAnswer_), key, entry->generation_});
    std::push_heap(ended_.begin(), ended_.end(), LaterFirst);
    while (answerBytes_ > options_.maxAnswerBytes_ && !answers_.empty()) {
        dropOldestAnswer();
    }
}

auto RequestLedger::setUnknown(const std::string &key, SteadyTime now) -> void
{
    auto *entry = find(key);
    if (entry == nullptr || entry->state_ == LedgerState::Answered) {
        return;
    }
    entry->state_ = LedgerState::Unknown;
    ended_.push_back({std::max(entry->rememberUntil_, now + options_.keepAnswer_), key, entry->generation_});
    std::push_heap(ended_.begin(), ended_.end(), LaterFirst);
}

auto RequestLedger::remove(const std::string &key) -> void
{
    auto *entry = find(key);
    if (entry != nullptr) {
        dropAnswer(*entry);
        entries_.erase(key);
    }
}

auto RequestLedger::prune(SteadyTime now) -> void
{
    expireAnswers(now);
    expireKeys(now);
}

auto RequestLedger::size() const -> std::size_t
{
    return entries_.size();
}

auto RequestLedger::expireAnswers(SteadyTime now) -> void
{
    while (!answers_.empty() && answers_.front().time_ <= now) {
        dropOldestAnswer();
    }
}

auto RequestLedger::expireKeys(SteadyTime now) -> void
{
    while (!ended_.empty() && ended_.front().time_ <= now) {
        std::pop_heap(ended_.begin(), ended_.end(), LaterFirst);
        const auto expiry = std::move(ended_.back());
        ended_.pop_back();
        const auto *entry = findGeneration(expiry);
        // A late answer can extend the time of a key, which then has a later mark as well.
        const auto answerKept = entry != nullptr && entry->answer_ != nullptr;
        if (entry != nullptr && entry->state_ != LedgerState::InProgress && !answerKept) {
            remove(expiry.key_);
        }
    }
}

auto RequestLedger::dropOldestAnswer() -> void
{
    const auto expiry = std::move(answers_.front());
    answers_.pop_front();
    if (auto *entry = findGeneration(expiry)) {
        dropAnswer(*entry);
    }
}

auto RequestLedger::dropAnswer(LedgerEntry &entry) -> void
{
    if (entry.answer_) {
        assert(answerBytes_ >= entry.answer_->body_.size());
        answerBytes_ -= entry.answer_->body_.size();
        entry.answer_.reset();
        entry.state_ = LedgerState::Unknown;
    }
}

auto RequestLedger::findGeneration(const Expiry &expiry) -> LedgerEntry *
{
    auto *entry = find(expiry.key_);
    return entry != nullptr && entry->generation_ == expiry.generation_ ? entry : nullptr;
}
} // namespace Marjoramfold
