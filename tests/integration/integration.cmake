# Scenarios against a fleet of real processes; each starts its own fleet.
file(GLOB integration_SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_LIST_DIR}/*.cpp)
add_executable(integration_tests ${integration_SOURCES})
target_link_libraries(integration_tests PRIVATE catch_main)
target_compile_definitions(integration_tests PRIVATE MARJORAMFOLD_SOURCE_DIR="${CMAKE_SOURCE_DIR}")

foreach(scenario replace-all owner-killed owner-paused log-outage zone-out-while-cut publish-race rules-from-peers failing-worker leaving-target)
    add_test(NAME "integration: ${scenario}" COMMAND ${CMAKE_SOURCE_DIR}/scripts/run-integration.sh [${scenario}])
    set_tests_properties("integration: ${scenario}" PROPERTIES
        LABELS integration TIMEOUT 240 PROCESSORS 3 ENVIRONMENT "MARJORAMFOLD_BIN=${CMAKE_BINARY_DIR}/bin")
endforeach()
