#pragma once

#include "marjoramfold/log/appendqueue.h"
#include "marjoramfold/log/logfollower.h"
#include "marjoramfold/routing/intenttable.h"

#include <memory>

namespace Marjoramfold
{
/// What the intents controller needs from its instance.
struct IntentsControllerHooks {
    /// Records of the stream `intents` for the traffic threads.
    std::function<void(const std::shared_ptr<const IntentPage> &page)> onPage_;
    std::function<RecordId()> newRecordId_;
};

/// Appends intents, grouped into few records, and follows the stream `intents`. Control thread only.
class IntentsController
{
public:
    IntentsController(asio::io_context &context, LogClient &log, Clock clock, InstanceIncarnation self, IntentsControllerHooks hooks);

    auto start() -> void;

    /// Appends the intent to run the request of a key. LogUnavailable means that it surely is not in the log; after any other
    /// error the record must be read back.
    auto append(const std::string &key, std::function<void(Result<Success>)> done) -> void;

private:
    struct PendingIntent {
        Intent intent_;
        std::function<void(Result<Success>)> done_;
    };

    auto flush() -> void;

    asio::io_context &context_;
    InstanceIncarnation self_;
    IntentsControllerHooks hooks_;
    AppendQueue appends_;
    LogFollower follower_;
    std::vector<PendingIntent> pending_;
};
} // namespace Marjoramfold
