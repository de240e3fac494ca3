#pragma once

#include "marjoramfold/entry/controlplane.h"
#include "marjoramfold/entry/entrysettings.h"
#include "marjoramfold/entry/trafficplane.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <memory>

namespace Marjoramfold
{
/// One entry instance: its control thread, its traffic threads, and how they start and stop together.
class EntryInstance
{
public:
    /// The io_context is the control thread's; exactly one thread must run it.
    EntryInstance(asio::io_context &context, const EntrySettings &settings);
    ~EntryInstance();
    EntryInstance(const EntryInstance &) = delete;
    auto operator=(const EntryInstance &) -> EntryInstance & = delete;

    /// Binds all ports and starts. Throws std::exception when a port is taken.
    auto start() -> void;

    /// Refuses new work, finishes what is in progress, gives up ownership, and then stops the io_context.
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
