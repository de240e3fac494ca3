#pragma once

#include "marjoramfold/log/logclient.h"
#include "standins/platform/logstore.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <random>
#include <utility>

namespace Marjoramfold
{
/// A log in memory with the faults of the platform's: a LogClient without a network.
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
            answer(std::move(done), Result<Offset>(Error{ErrorKind::LogUnavailable, "outage", std::nullopt}));
            return;
        }
        for (const auto &body : bodies) {
            if (!refusedId_.empty() && body.value("id", "") == refusedId_) {
                answer(std::move(done), Result<Offset>(Error{ErrorKind::InvalidRequest, "refused", std::nullopt}));
                return;
            }
        }
        if (chance(losePercent_)) {
            // The request is lost before it takes effect, or takes effect later than the writer looks, or only its answer is lost.
            const auto fate = std::uniform_int_distribution<int>(0, 2)(random_);
            if (fate == 1) {
                late_.emplace_back(stream, std::move(bodies));
            } else if (fate == 2) {
                store(stream, bodies);
            }
            answer(std::move(done), Result<Offset>(Error{ErrorKind::Timeout, "answer lost", std::nullopt}));
            return;
        }
        landLate();
        answer(std::move(done), Result<Offset>(store(stream, bodies)));
    }

    auto read(LogReadRequest request, std::function<void(Result<LogPage>)> done) -> void override
    {
        ++reads_;
        if (outage_ || chance(losePercent_)) {
            answer(std::move(done), Result<LogPage>(Error{ErrorKind::LogUnavailable, "outage", std::nullopt}));
            return;
        }
        const auto page = log_.read(toString(request.stream_), request.from_, static_cast<std::size_t>(request.maxRecords_), WallTime());
        if (!isOk(page)) {
            answer(std::move(done), Result<LogPage>(errorOf(page)));
            return;
        }
        LogPage result{valueOf(page).first_, valueOf(page).end_, {}};
        for (const auto *record : valueOf(page).records_) {
            result.records_.push_back({record->offset_, record->time_, nlohmann::json::parse(record->body_)});
        }
        answer(std::move(done), Result<LogPage>(std::move(result)));
    }

    /// Appends that were delayed take effect.
    auto landLate() -> void
    {
        for (const auto &[stream, bodies] : std::exchange(late_, {})) {
            store(stream, bodies);
        }
    }

    bool outage_ = false;
    int losePercent_ = 0;
    /// An append with this record id is refused as wrong.
    std::string refusedId_;
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
    auto answer(std::function<void(Result<Value>)> done, Result<Value> result) -> void
    {
        asio::post(context_, [done = std::move(done), result = std::move(result)]() mutable {
            done(std::move(result));
        });
    }

    asio::io_context &context_;
    std::mt19937 random_;
    std::vector<std::pair<LogStream, std::vector<nlohmann::json>>> late_;
};
} // namespace Marjoramfold
