#include "marjoramfold/entry/instancewatcher.h"

#include <glog/logging.h>

#include <utility>

namespace Marjoramfold
{
namespace
{
// A leaving target must get no new work within 3 s, and the list itself lags.
constexpr std::chrono::milliseconds FetchInterval{1'000};
constexpr int LogEveryFailures = 60;
} // namespace

InstanceWatcher::InstanceWatcher(asio::io_context &context, HttpClient &http, const std::string &address, std::function<void(const InstanceList &list)> changed)
    : client_(http, address)
    , timer_(context)
    , changed_(std::move(changed))
{
}

auto InstanceWatcher::start() -> void
{
    fetch();
}

auto InstanceWatcher::fetch() -> void
{
    client_.fetch([this](const Result<InstanceList> &list) {
        if (isOk(list)) {
            changed_(valueOf(list));
        } else {
            LOG_EVERY_N(WARNING, LogEveryFailures) << "instance_list_failed error=\"" << toString(errorOf(list)) << "\"";
        }
        timer_.expires_after(FetchInterval);
        timer_.async_wait([this](const std::error_code &error) {
            if (!error) {
                fetch();
            }
        });
    });
}
} // namespace Marjoramfold
