#include "marjoramfold/entry/controlmetrics.h"

namespace Marjoramfold
{
ControlMetrics::ControlMetrics(ControlPlane &control)
    : control_(control)
    , metrics_(control.metrics_)
{
}

auto ControlMetrics::update() -> void
{
    const auto rules = control_.rules_.inForce();
    metrics_.gauge({"marjoramfold_rules_version", "Version of the rules in force, an offset of the log.", {}})
        .at()
        .Set(static_cast<double>(rules ? rules->version_ : Offset(0)));
    metrics_.gauge({"marjoramfold_start_gate_open", "1 while tasks may start by the freshness of the rules.", {}}).at().Set(control_.gate_.open_ ? 1 : 0);
    metrics_.gauge({"marjoramfold_log_readable", "1 while reads of the platform's log are answered.", {}}).at().Set(control_.rules_.unreachableSince() ? 0 : 1);
    metrics_.gauge({"marjoramfold_live_peers", "Live entry instances besides this one.", {}})
        .at()
        .Set(static_cast<double>(control_.peers_.view().livePeers().size()));
    metrics_.gauge({"marjoramfold_pending_appends", "Records that wait for the answer of the platform's log.", {}})
        .at()
        .Set(static_cast<double>(control_.jobs_.pendingAppends()));
    metrics_.gauge({"marjoramfold_peer_sent_bytes", "Bytes of datagrams sent to other instances since the start.", {}})
        .at()
        .Set(static_cast<double>(control_.peers_.datagrams().sentBytes_));
    metrics_.gauge({"marjoramfold_peer_received_bytes", "Bytes of datagrams received from other instances since the start.", {}})
        .at()
        .Set(static_cast<double>(control_.peers_.datagrams().receivedBytes_));
    metrics_.gauge({"marjoramfold_control_http_sent_bytes", "Bytes of HTTP requests of the control thread to the platform and to workers since the start.", {}})
        .at()
        .Set(static_cast<double>(control_.http_.bytes().sent_));
    metrics_.gauge({"marjoramfold_control_http_received_bytes", "Bytes of HTTP answers to the control thread since the start.", {}})
        .at()
        .Set(static_cast<double>(control_.http_.bytes().received_));
    if (!rules) {
        return;
    }
    auto &owned = metrics_.gauge({"marjoramfold_availability_zone_owned", "1 while this instance schedules the availability zone.", {"availability_zone"}});
    auto &waiting =
        metrics_.gauge({"marjoramfold_waiting_jobs", "Jobs that wait in an availability zone that this instance schedules.", {"availability_zone"}});
    for (const auto &[id, rule] : rules->zones_) {
        const auto *runtime = control_.zones_.runtimeOf(id);
        owned.at({id.value()}).Set(runtime != nullptr && runtime->isScheduling() ? 1 : 0);
        waiting.at({id.value()}).Set(runtime != nullptr ? runtime->summarize().waitingJobs_ : 0);
    }
}
} // namespace Marjoramfold
