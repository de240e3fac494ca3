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
/// Runs scheduled functions in the order of their times, on a clock that the test moves.
class ManualSchedule
{
public:
    /// The hook that classes under test take.
    [[nodiscard]] auto hook() -> std::function<void(std::chrono::milliseconds, std::function<void()>)>
    {
        return [this](std::chrono::milliseconds pause, std::function<void()> step) {
            steps_.emplace(now_ + pause, std::move(step));
        };
    }

    /// Runs everything that falls due within a time.
    auto advance(std::chrono::milliseconds time) -> void
    {
        const auto end = now_ + time;
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

/// What becomes of the next append.
enum class AppendFault {
    None,
    /// Nothing is done, and the caller is told so.
    Refused,
    /// The records are stored, and the answer is lost.
    AnswerLost,
    /// Nothing is done, and no answer comes.
    Lost,
};

/// A store in memory with the platform's promises for keyed topics, producers and epochs, and with faults that a test orders.
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

    /// The next appends meet these faults, one each.
    auto failAppends(std::vector<AppendFault> faults) -> void
    {
        faults_.insert(faults_.end(), faults.begin(), faults.end());
    }

    /// Records of a topic in their order.
    [[nodiscard]] auto log(const std::string &topic) const -> std::vector<StoredRecord>
    {
        const auto found = logs_.find(topic);
        return found == logs_.end() ? std::vector<StoredRecord>{} : found->second;
    }

    /// Puts a record into a topic, as another writer.
    auto put(const std::string &topic, KeyedRecord record) -> std::uint64_t
    {
        auto &log = logs_[topic];
        log.push_back({log.size(), std::move(record)});
        answerReads();
        return log.size() - 1;
    }

    /// Drops the history of a topic: reads from before its end find nothing.
    auto dropHistory(const std::string &topic) -> void
    {
        first_[topic] = logs_[topic].size();
        answerReads();
    }

    /// Reads and loads fail while this is set.
    bool down_ = false;
    /// Reads are never answered while this is set.
    bool readsUnanswered_ = false;
    /// Reads are answered this late, on the schedule given with it.
    std::chrono::milliseconds readTime_{0};
    ManualSchedule *schedule_ = nullptr;
    /// Pages of newest records hold this many.
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

    auto onAppend(AppendRequest request, const std::function<void(AppendResult)> &callback) -> void
    {
        appends_.push_back(request);
        auto fault = AppendFault::None;
        if (!faults_.empty()) {
            fault = faults_.front();
            faults_.pop_front();
        }
        if (fault == AppendFault::Refused) {
            callback(AppendRefused{"busy"});
            return;
        }
        if (fault == AppendFault::Lost) {
            callback(AppendUnknown{"timeout"});
            return;
        }
        const auto result = carryOut(request);
        if (fault == AppendFault::AnswerLost) {
            callback(AppendUnknown{"timeout"});
        } else {
            callback(result);
        }
        answerReads();
    }

    auto carryOut(const AppendRequest &request) -> AppendResult
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
