#include "marjoramfold/log/logfollower.h"

#include <glog/logging.h>

#include <utility>

namespace Marjoramfold
{
/// The cursor, the timer of the next read and the callbacks.
class LogFollower::Impl : public std::enable_shared_from_this<LogFollower::Impl>
{
public:
    Impl(asio::io_context &context, LogClient &log, Clock clock, const LogFollowerOptions &options, LogFollowerHooks hooks)
        : log_(log)
        , clock_(std::move(clock))
        , options_(options)
        , hooks_(std::move(hooks))
        , cursor_(options)
        , timer_(context)
    {
    }

    auto scheduleRead() -> void
    {
        const auto now = clock_.steadyNow_();
        timer_.expires_after(std::max(cursor_.nextReadAt() - now, SteadyTime::duration::zero()));
        timer_.async_wait([weak = weak_from_this()](const std::error_code &error) {
            const auto self = weak.lock();
            if (self && !error) {
                self->read();
            }
        });
    }

    auto stop() -> void
    {
        stopped_ = true;
        timer_.cancel();
    }

    [[nodiscard]] auto cursor() const -> const LogCursor &
    {
        return cursor_;
    }

    [[nodiscard]] auto malformedRecords() const -> std::uint64_t
    {
        return malformedRecords_;
    }

private:
    auto read() -> void
    {
        const auto startedAt = clock_.steadyNow_();
        log_.read(cursor_.nextRead(), [weak = weak_from_this(), startedAt](Result<LogPage> result) {
            const auto self = weak.lock();
            if (self && !self->stopped_) {
                self->handleResult(std::move(result), startedAt);
            }
        });
    }

    auto handleResult(Result<LogPage> result, SteadyTime startedAt) -> void
    {
        const auto now = clock_.steadyNow_();
        if (isOk(result)) {
            handlePage(std::get<LogPage>(std::move(result)), startedAt, now);
        } else {
            handleError(errorOf(result), startedAt, now);
        }
        // A callback may have destroyed the follower.
        if (!stopped_ && hooks_.onProgress_) {
            hooks_.onProgress_();
        }
        if (!stopped_) {
            scheduleRead();
        }
    }

    auto handlePage(LogPage page, SteadyTime startedAt, SteadyTime now) -> void
    {
        auto offsetExpired = false;
        const auto first = page.first_;
        const auto records = decode(cursor_.handlePage(std::move(page), startedAt, now, offsetExpired));
        if (mustBegin_ || offsetExpired) {
            mustBegin_ = false;
            hooks_.onBegin_(first);
        }
        if (!stopped_ && !records.empty()) {
            hooks_.onRecords_(records);
        }
    }

    auto handleError(const Error &error, SteadyTime startedAt, SteadyTime now) -> void
    {
        const auto wasReachable = !cursor_.unreachableSince();
        if (cursor_.handleError(error, startedAt, now)) {
            LOG(WARNING) << "log_offset_expired stream=" << toString(options_.stream_);
            mustBegin_ = true;
        } else if (wasReachable) {
            LOG(WARNING) << "log_unreachable stream=" << toString(options_.stream_) << " error=\"" << toString(error) << '"';
        }
    }

    auto decode(std::vector<LogRecord> records) -> std::vector<FollowedRecord>
    {
        std::vector<FollowedRecord> decoded;
        decoded.reserve(records.size());
        for (auto &record : records) {
            auto decodedRecord = decodeRecord(record.body_);
            if (isOk(decodedRecord)) {
                decoded.push_back({record.offset_, record.time_, std::get<Record>(std::move(decodedRecord))});
            } else {
                ++malformedRecords_;
                LOG(WARNING) << "log_record_malformed stream=" << toString(options_.stream_) << " offset=" << record.offset_ << " error=\""
                             << toString(errorOf(decodedRecord)) << '"';
            }
        }
        return decoded;
    }

    LogClient &log_;
    Clock clock_;
    LogFollowerOptions options_;
    LogFollowerHooks hooks_;
    LogCursor cursor_;
    asio::steady_timer timer_;
    bool mustBegin_ = true;
    bool stopped_ = false;
    std::uint64_t malformedRecords_ = 0;
};

LogFollower::LogFollower(asio::io_context &context, LogClient &log, Clock clock, LogFollowerOptions options, LogFollowerHooks hooks)
    : impl_(std::make_shared<Impl>(context, log, std::move(clock), options, std::move(hooks)))
{
}

LogFollower::~LogFollower()
{
    impl_->stop();
}

auto LogFollower::start() -> void
{
    impl_->scheduleRead();
}

auto LogFollower::position() const -> Offset
{
    return impl_->cursor().position();
}

auto LogFollower::confirmedAt() const -> std::optional<SteadyTime>
{
    return impl_->cursor().confirmedAt();
}

auto LogFollower::unreachableSince() const -> std::optional<SteadyTime>
{
    return impl_->cursor().unreachableSince();
}

auto LogFollower::malformedRecords() const -> std::uint64_t
{
    return impl_->malformedRecords();
}
} // namespace Marjoramfold
