#pragma once

#include "marjoramfold/log/instancelist.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace Marjoramfold
{
/// Polls the platform's instance list. Control thread only.
class InstanceListPoller
{
public:
    /// `onList` is called with every list fetched.
    InstanceListPoller(asio::io_context &context, HttpClient &http, const std::string &address, std::function<void(const InstanceList &list)> onList);

    auto start() -> void;

private:
    auto fetch() -> void;

    InstanceListClient client_;
    asio::steady_timer timer_;
    std::function<void(const InstanceList &list)> onList_;
};
} // namespace Marjoramfold
