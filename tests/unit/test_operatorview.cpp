#include "marjoramfold/node/operatorview.h"
#include "marjoramfold/observability/logline.h"
#include "platform/operatorrecords.h"
#include "tests/support/feedfollower.h"

#include <catch2/catch.hpp>

#include <map>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;

TEST_CASE("an instance logs what is wrong with a configuration, and uses it", "[config][node]")
{
    // Guards against a faulty configuration that goes unnoticed, one that fills the log, and one that is rejected with its keys.
    ScriptedStore store;
    ManualSchedule schedule;
    PlatformBinding binding;
    binding.store_ = store.store();
    binding.operatorStream_ = Wire::operatorStream();
    binding.decodeOperatorRecord_ = &Wire::decodeOperatorRecord;
    std::map<std::string, std::size_t> lines;
    setLogOutput([&lines](LogSeverity, const std::string &event, const std::string &) {
        ++lines[event];
    });
    std::string config = R"({"version":1,"services":[{"name":"s"}],"tenants":[{"name":"t","api_keys":["key"]}],"routes":[)";
    const auto *const route = R"({"name":"q","host":"h","path_prefix":"/q/","service":"s"})";
    SECTION("two findings: a name and a route that occur twice")
    {
        store.put("keyed.op", {"config", config + route + "," + route + "]}"});
        OperatorView view(binding, schedule.hook(), [] {});
        view.start();
        CHECK(lines["configuration_finding"] == 2);
        CHECK(lines["configuration_findings_omitted"] == 0);
        CHECK(view.config().teamOfKey("key") != nullptr);
    }
    SECTION("more findings than are logged one by one")
    {
        for (int i = 0; i < 30; ++i) {
            config += std::string(route) + ",";
        }
        store.put("keyed.op", {"config", config + route + "]}"});
        OperatorView view(binding, schedule.hook(), [] {});
        view.start();
        CHECK(lines["configuration_finding"] == 20);
        CHECK(lines["configuration_findings_omitted"] == 1);
        CHECK(view.config().version() == 1);
    }
    setLogOutput({});
}
