# Real instances on loopback with injected faults. The seed in CI is fixed; scripts/soak.sh runs other seeds.
file(GLOB soak_SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_LIST_DIR}/*.cpp)
add_executable(soak_tests ${soak_SOURCES})
target_link_libraries(soak_tests PRIVATE catch_main)
target_compile_definitions(soak_tests PRIVATE MARJORAMFOLD_INSTANCE="${CMAKE_BINARY_DIR}/bin/marjoramfold-instance")
add_dependencies(soak_tests marjoramfold-instance)
catch_discover_tests(soak_tests TEST_PREFIX "soak: " PROPERTIES LABELS soak TIMEOUT 180 PROCESSORS 2)
