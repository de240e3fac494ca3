#pragma once

#include "marjoramfold/log/appendqueue.h"
#include "marjoramfold/log/logfollower.h"
#include "marjoramfold/routing/intenttable.h"

#include <memory>

namespace Marjoramfold
{
/// Callbacks of the intents controller.
struct IntentsControllerHooks {
    /// Records were read from the stream `intents`; the traffic threads apply them.
    std::function<void(const std::shared_ptr<const IntentPage> &page)> onPage_;
    std::function<RecordId()> newRecordId_;
};

/// Appends intents in batches and follows the stream `intents`. Control thread only.
class IntentsController
{
public:
    IntentsController(asio::io_context &context, LogClient &log, Clock clock, InstanceIncarnation self, IntentsControllerHooks hooks);

    auto start() -> void;

    /// Appends the intent to execute the request of a key. After LogUnavailable it is certainly not in the log; after any other
    /// error the outcome must be read back from the log.
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
