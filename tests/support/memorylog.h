#pragma once

#include "marjoramfold/log/logclient.h"
#include "standins/platform/logstore.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <random>
#include <utility>

namespace Marjoramfold
{
/// LogClient on a log in memory, without a network, that injects the faults of the platform's log.
class MemoryLog : public LogClient
{
public:
    explicit MemoryLog(asio::io_context &context, std::uint32_t seed = 1)
        : context_(context)
        , random_(seed)
    {
    }

    auto append(LogStream stream, std::vector<nlohmann::json> bodies, std::function<void(Result<Offset>)> done) -> void override
    {
        ++appends_;
        if (outage_) {
            postResult(std::move(done), Result<Offset>(Error{ErrorKind::LogUnavailable, "outage", std::nullopt}));
            return;
        }
        for (const auto &body : bodies) {
            if (!rejectedId_.empty() && body.value("id", "") == rejectedId_) {
                postResult(std::move(done), Result<Offset>(Error{ErrorKind::InvalidRequest, "the record was rejected", std::nullopt}));
                return;
            }
        }
        if (chance(lossPercent_)) {
            // The request is lost, or takes effect only after the writer has searched for it, or only its response is lost.
            const auto fault = std::uniform_int_distribution<int>(0, 2)(random_);
            if (fault == 1) {
                delayedAppends_.emplace_back(stream, std::move(bodies));
            } else if (fault == 2) {
                store(stream, bodies);
            }
            postResult(std::move(done), Result<Offset>(Error{ErrorKind::Timeout, "the response was lost", std::nullopt}));
            return;
        }
        applyDelayedAppends();
        postResult(std::move(done), Result<Offset>(store(stream, bodies)));
    }

    auto read(LogReadRequest request, std::function<void(Result<LogPage>)> done) -> void override
    {
        ++reads_;
        if (outage_ || chance(lossPercent_)) {
            postResult(std::move(done), Result<LogPage>(Error{ErrorKind::LogUnavailable, "outage", std::nullopt}));
            return;
        }
        const auto page = log_.read(toString(request.stream_), request.from_, static_cast<std::size_t>(request.maxRecords_), WallTime());
        if (!isOk(page)) {
            postResult(std::move(done), Result<LogPage>(errorOf(page)));
            return;
        }
        LogPage result{valueOf(page).first_, valueOf(page).end_, {}};
        for (const auto *record : valueOf(page).records_) {
            result.records_.push_back({record->offset_, record->time_, nlohmann::json::parse(record->body_)});
        }
        postResult(std::move(done), Result<LogPage>(std::move(result)));
    }

    /// Lets the delayed appends take effect.
    auto applyDelayedAppends() -> void
    {
        for (const auto &[stream, bodies] : std::exchange(delayedAppends_, {})) {
            store(stream, bodies);
        }
    }

    bool outage_ = false;
    int lossPercent_ = 0;
    /// An append with this record id is rejected as invalid.
    std::string rejectedId_;
    int appends_ = 0;
    int reads_ = 0;
    Standin::LogStore log_{{}};

private:
    auto chance(int percent) -> bool
    {
        return percent > 0 && std::uniform_int_distribution<int>(0, 99)(random_) < percent;
    }

    auto store(LogStream stream, const std::vector<nlohmann::json> &bodies) -> Offset
    {
        std::vector<std::string> texts;
        for (const auto &body : bodies) {
            texts.push_back(body.dump());
        }
        return log_.append(toString(stream), std::move(texts), WallTime());
    }

    template<typename Value>
    auto postResult(std::function<void(Result<Value>)> done, Result<Value> result) -> void
    {
        asio::post(context_, [done = std::move(done), result = std::move(result)]() mutable {
            done(std::move(result));
        });
    }

    asio::io_context &context_;
    std::mt19937 random_;
    std::vector<std::pair<LogStream, std::vector<nlohmann::json>>> delayedAppends_;
};
} // namespace Marjoramfold
