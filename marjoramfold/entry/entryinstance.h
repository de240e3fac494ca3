#pragma once

#include "marjoramfold/entry/controlplane.h"
#include "marjoramfold/entry/entrysettings.h"
#include "marjoramfold/entry/trafficplane.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <memory>

namespace Marjoramfold
{
/// One entry instance: starts and stops its control plane and its traffic threads.
class EntryInstance
{
public:
    /// The control plane runs on the io_context; exactly one thread must run it.
    EntryInstance(asio::io_context &context, const EntrySettings &settings);
    ~EntryInstance();
    EntryInstance(const EntryInstance &) = delete;
    auto operator=(const EntryInstance &) -> EntryInstance & = delete;

    /// Binds all ports and starts. Throws std::exception when a port is in use.
    auto start() -> void;

    /// Refuses new requests, completes those in progress, releases its availability zones, then stops the io_context.
    auto drain() -> void;

private:
    auto finishDrain(bool complete) -> void;
    [[nodiscard]] auto makeRouterOptions() const -> RouterGroupOptions;
    [[nodiscard]] auto makeControlHooks() -> ControlPlaneHooks;

    asio::io_context &context_;
    EntrySettings settings_;
    Incarnation incarnation_;
    MetricsRegistry metrics_;
    Tracer tracer_;
    ControlPlane control_;
    TrafficPlane traffic_;
    asio::steady_timer drainTimer_;
    bool draining_ = false;
    bool trafficDrained_ = false;
    bool controlDrained_ = false;
};
} // namespace Marjoramfold
