#pragma once

#include "marjoramfold/store/streamstore.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace Marjoramfold::Test
{
/// Runs scheduled functions in the order of their times, on a clock that the test advances.
class ManualSchedule
{
public:
    /// Schedule function to pass to the classes under test.
    [[nodiscard]] auto hook() -> std::function<void(std::chrono::milliseconds, std::function<void()>)>
    {
        return [this](std::chrono::milliseconds pause, std::function<void()> step) {
            steps_.emplace(now_ + pause, std::move(step));
        };
    }

    /// Advances the clock and runs the functions that become due.
    auto advance(std::chrono::milliseconds duration) -> void
    {
        const auto end = now_ + duration;
        while (!steps_.empty() && steps_.begin()->first <= end) {
            auto node = steps_.extract(steps_.begin());
            now_ = node.key();
            node.mapped()();
        }
        now_ = end;
    }

private:
    std::chrono::milliseconds now_{0};
    std::multimap<std::chrono::milliseconds, std::function<void()>> steps_;
};

/// Fault of an append.
enum class AppendFault {
    None,
    /// Nothing is stored, and the caller gets AppendRefused.
    Refused,
    /// The records are stored, but the answer is lost.
    AnswerLost,
    /// Nothing is stored, and the caller gets no answer.
    Lost,
};

/// In-memory store with the platform's guarantees for keyed topics, producers and epochs, and with fault injection.
class ScriptedStore
{
public:
    [[nodiscard]] auto store() -> StreamStore
    {
        return {[this](AppendRequest request, std::function<void(AppendResult)> callback) {
                    onAppend(std::move(request), callback);
                },
                [this](ReadRequest request, std::function<void(Result<ReadPage>)> callback) {
                    reads_.push_back({std::move(request), std::move(callback)});
                    if (schedule_ != nullptr && readTime_.count() > 0) {
                        schedule_->hook()(readTime_, [this] {
                            answerReads();
                        });
                    } else if (!readsUnanswered_) {
                        answerReads();
                    }
                },
                [this](NewestRequest request, std::function<void(Result<NewestPage>)> callback) {
                    onNewest(request, callback);
                }};
    }

    /// Applies these faults to the next appends, one each.
    auto failAppends(std::vector<AppendFault> faults) -> void
    {
        faults_.insert(faults_.end(), faults.begin(), faults.end());
    }

    /// All records of a topic in order.
    [[nodiscard]] auto log(const std::string &topic) const -> std::vector<StoredRecord>
    {
        const auto found = logs_.find(topic);
        return found == logs_.end() ? std::vector<StoredRecord>{} : found->second;
    }

    /// Appends a record to a topic as an external writer; returns its offset.
    auto put(const std::string &topic, KeyedRecord record) -> std::uint64_t
    {
        auto &log = logs_[topic];
        log.push_back({log.size(), std::move(record)});
        answerReads();
        return log.size() - 1;
    }

    /// Deletes the history of a topic; reads that start before its end fail with OffsetExpired.
    auto dropHistory(const std::string &topic) -> void
    {
        first_[topic] = logs_[topic].size();
        answerReads();
    }

    /// Reads, including those of the newest records, fail while this is set.
    bool down_ = false;
    /// Reads get no answer while this is set.
    bool readsUnanswered_ = false;
    /// Delay of answers to reads; needs `schedule_`.
    std::chrono::milliseconds readTime_{0};
    ManualSchedule *schedule_ = nullptr;
    /// Largest number of records in a page of newest records.
    std::size_t pageSize_ = 500;
    std::vector<AppendRequest> appends_;

private:
    struct PendingRead {
        ReadRequest request_;
        std::function<void(Result<ReadPage>)> callback_;
    };

    struct ProducerState {
        std::uint64_t epoch_ = 0;
        std::uint64_t next_ = 0;
        std::map<std::uint64_t, std::uint64_t> offsets_;
    };

    /// True when a record, or all records together, exceed the platform's limits.
    [[nodiscard]] static auto exceedsLimits(const std::vector<KeyedRecord> &records) -> bool
    {
        constexpr std::size_t RecordBytes = 262'144;
        constexpr std::size_t CallBytes = 2'097'152;
        constexpr std::size_t LengthBytes = 4;
        std::size_t total = 0;
        auto tooLarge = false;
        for (const auto &record : records) {
            const auto bytes = 1 + record.key_.size() + record.value_.value_or("").size();
            tooLarge = tooLarge || bytes > RecordBytes;
            total += bytes + LengthBytes;
        }
        return tooLarge || total > CallBytes;
    }

    auto onAppend(AppendRequest request, const std::function<void(AppendResult)> &callback) -> void
    {
        appends_.push_back(request);
        auto fault = AppendFault::None;
        if (!faults_.empty()) {
            fault = faults_.front();
            faults_.pop_front();
        }
        if (exceedsLimits(request.records_)) {
            callback(AppendRefused{"store answered with status 400"});
            return;
        }
        if (fault == AppendFault::Refused) {
            callback(AppendRefused{"busy"});
            return;
        }
        if (fault == AppendFault::Lost) {
            callback(AppendUnknown{"timeout"});
            return;
        }
        const auto result = execute(request);
        if (fault == AppendFault::AnswerLost) {
            callback(AppendUnknown{"timeout"});
        } else {
            callback(result);
        }
        answerReads();
    }

    auto execute(const AppendRequest &request) -> AppendResult
    {
        auto &producer = producers_[request.stream_.topic_ + "/" + request.stamp_.producer_];
        const auto &stamp = request.stamp_;
        if (stamp.epoch_ < producer.epoch_) {
            return AppendFenced{};
        }
        if (stamp.epoch_ > producer.epoch_) {
            producer = {stamp.epoch_, stamp.sequence_, {}};
        }
        if (request.records_.empty()) {
            return Appended{logs_[request.stream_.topic_].size()};
        }
        if (const auto earlier = producer.offsets_.find(stamp.sequence_); earlier != producer.offsets_.end()) {
            return Appended{earlier->second};
        }
        if (stamp.sequence_ != producer.next_) {
            return AppendOutOfSequence{producer.next_};
        }
        auto &log = logs_[request.stream_.topic_];
        const auto offset = log.size();
        for (const auto &record : request.records_) {
            log.push_back({log.size(), record});
        }
        producer.offsets_[stamp.sequence_] = offset;
        ++producer.next_;
        return Appended{offset};
    }

    auto onNewest(const NewestRequest &request, const std::function<void(Result<NewestPage>)> &callback) -> void
    {
        if (down_) {
            callback(Error{ErrorKind::LogUnavailable, "down", std::nullopt});
            return;
        }
        std::map<std::string, StoredRecord> newest;
        for (const auto &record : logs_[request.stream_.topic_]) {
            newest[record.record_.key_] = record;
        }
        NewestPage page;
        page.end_ = logs_[request.stream_.topic_].size();
        for (const auto &[key, record] : newest) {
            if (key <= request.afterKey_ || !record.record_.value_) {
                continue;
            }
            if (page.records_.size() == pageSize_) {
                page.more_ = true;
                break;
            }
            page.records_.push_back(record);
        }
        callback(page);
    }

    auto answerReads() -> void
    {
        auto pending = std::exchange(reads_, {});
        for (auto &read : pending) {
            const auto &topic = read.request_.stream_.topic_;
            auto &log = logs_[topic];
            if (readsUnanswered_) {
                reads_.push_back(std::move(read));
            } else if (down_) {
                read.callback_(Error{ErrorKind::LogUnavailable, "down", std::nullopt});
            } else if (read.request_.from_ < first_[topic]) {
                read.callback_(Error{ErrorKind::OffsetExpired, "dropped", std::nullopt});
            } else if (read.request_.from_ < log.size() || read.request_.wait_.count() == 0) {
                ReadPage page{log.size(), {log.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(read.request_.from_, log.size())), log.end()}};
                read.callback_(page);
            } else {
                reads_.push_back(std::move(read));
            }
        }
    }

    std::map<std::string, std::vector<StoredRecord>> logs_;
    std::map<std::string, std::uint64_t> first_;
    std::map<std::string, ProducerState> producers_;
    std::deque<AppendFault> faults_;
    std::vector<PendingRead> reads_;
};
} // namespace Marjoramfold::Test
