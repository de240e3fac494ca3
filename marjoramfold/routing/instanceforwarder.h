#pragma once

#include "marjoramfold/http/httpclient.h"
#include "marjoramfold/routing/router.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Marjoramfold
{
/// Request interface (HOST:PORT) of an instance, when it is known.
using InstanceAddressHook = std::function<std::optional<std::string>(const InstanceId &instance)>;

/// Sends requests and queries on to the instance that owns their key, over its request interface. Fits the hooks of RouterHooks:
/// the calls may come from any thread, and everything else runs on the io_context.
class InstanceForwarder
{
public:
    /// The hook for addresses is called on the io_context.
    InstanceForwarder(asio::io_context &context, InstanceId self, InstanceAddressHook addressOf);
    ~InstanceForwarder();
    InstanceForwarder(const InstanceForwarder &) = delete;
    auto operator=(const InstanceForwarder &) -> InstanceForwarder & = delete;

    /// Passes a request on; MaybeRan when the owner is not reached, since it may have run the request before.
    auto forwardRequest(InstanceIncarnation owner, RoutedRequest request, AnswerCallback done) -> void;

    /// Asks for the state of a key; Unknown when the owner is not reached.
    auto forwardQuery(InstanceIncarnation owner, std::string key, KeyStatusCallback done) -> void;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};
} // namespace Marjoramfold
