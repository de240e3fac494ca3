#include "marjoramfold/entry/instancelistpoller.h"

#include <glog/logging.h>

#include <utility>

namespace Marjoramfold
{
namespace
{
// A leaving target must receive no new requests after 3 s, and the list itself lags.
constexpr std::chrono::milliseconds PollInterval{1'000};
constexpr int FailuresPerLogLine = 60;
} // namespace

InstanceListPoller::InstanceListPoller(asio::io_context &context,
                                       HttpClient &http,
                                       const std::string &address,
                                       std::function<void(const InstanceList &list)> onList)
    : client_(http, address)
    , timer_(context)
    , onList_(std::move(onList))
{
}

auto InstanceListPoller::start() -> void
{
    fetch();
}

auto InstanceListPoller::fetch() -> void
{
    client_.fetch([this](const Result<InstanceList> &list) {
        if (isOk(list)) {
            onList_(valueOf(list));
        } else {
            LOG_EVERY_N(WARNING, FailuresPerLogLine) << "instance_list_failed error=\"" << toString(errorOf(list)) << "\"";
        }
        timer_.expires_after(PollInterval);
        timer_.async_wait([this](const std::error_code &error) {
            if (!error) {
                fetch();
            }
        });
    });
}
} // namespace Marjoramfold
