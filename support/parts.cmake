# Builds one static library and one test program for each part.
#
# A part is a folder of that name under src/, include/cornelhead/ and test/.  Its files are globbed,
# so adding one needs no change here.

function(cornelhead_part name)
    cmake_parse_arguments(PART "" "" "DEPENDS;LIBRARIES" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/${name}/*.cc)
    list(TRANSFORM PART_DEPENDS PREPEND part-)
    if(sources)
        add_library(part-${name} STATIC ${sources})
        target_link_libraries(part-${name}
            PUBLIC cornelhead-options ${PART_DEPENDS} ${PART_LIBRARIES})
    else()
        add_library(part-${name} INTERFACE)
        target_link_libraries(part-${name}
            INTERFACE cornelhead-options ${PART_DEPENDS} ${PART_LIBRARIES})
    endif()
    cornelhead_part_tests(${name})
endfunction()

# Builds the tests below test/NAME as a program that is linked with the part of that name, or with
# the part given after it.
function(cornelhead_part_tests name)
    set(part ${name})
    if(ARGC GREATER 1)
        set(part ${ARGV1})
    endif()
    file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/test/${name}/*.cc)
    if(NOT tests)
        return()
    endif()
    add_executable(${name}-test ${tests} ${CMAKE_SOURCE_DIR}/test/support/test-main.cc)
    target_include_directories(${name}-test PRIVATE ${CMAKE_SOURCE_DIR}/test)
    target_compile_definitions(${name}-test PRIVATE
        BOOST_TEST_DYN_LINK CORNELHEAD_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    target_link_libraries(${name}-test PRIVATE
        part-${part} Boost::unit_test_framework rapidcheck)
    add_test(NAME ${name} COMMAND ${name}-test)
endfunction()

function(cornelhead_program name)
    if(NOT EXISTS ${CMAKE_SOURCE_DIR}/src/bin/${name}.cc)
        return()
    endif()
    add_executable(${name} ${CMAKE_SOURCE_DIR}/src/bin/${name}.cc)
    list(TRANSFORM ARGN PREPEND part-)
    target_link_libraries(${name} PRIVATE ${ARGN})
endfunction()

cornelhead_part(base LIBRARIES PkgConfig::XXHASH docopt Threads::Threads)
cornelhead_part(net DEPENDS base LIBRARIES PkgConfig::LIBEVENT)
cornelhead_part(config DEPENDS base LIBRARIES yaml-cpp nlohmann_json::nlohmann_json)
cornelhead_part(platform DEPENDS net LIBRARIES nlohmann_json::nlohmann_json)
cornelhead_part(protocol DEPENDS base LIBRARIES gRPC::grpc++ protobuf::libprotobuf)
cornelhead_part(membership DEPENDS config)
cornelhead_part(rollout DEPENDS config platform)
cornelhead_part(routing DEPENDS config membership rollout)
cornelhead_part(distribution DEPENDS net config platform protocol membership rollout)
cornelhead_part(proxy DEPENDS net routing LIBRARIES nlohmann_json::nlohmann_json)
cornelhead_part(node DEPENDS distribution proxy)
cornelhead_part(sidecar DEPENDS net platform membership rollout routing proxy LIBRARIES http_parser)
cornelhead_part(ctl DEPENDS net config platform rollout)
cornelhead_part(standin DEPENDS net platform)

# The distribution tests run a simulated fleet against the key-value store of the platform stand-in.
if(TARGET distribution-test)
    target_link_libraries(distribution-test PRIVATE part-standin)
endif()

# The adapter for the users' platform depends on the parts, never the reverse, so it is kept outside
# of src/.
file(GLOB adapter_sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/platform/*.cc)
add_library(part-adapter STATIC ${adapter_sources})
target_link_libraries(part-adapter PUBLIC part-sidecar)
add_executable(cornelhead-check-configuration
    ${CMAKE_SOURCE_DIR}/platform/bin/cornelhead-check-configuration.cc)
target_link_libraries(cornelhead-check-configuration PRIVATE part-adapter)
cornelhead_part_tests(adapter)
# The tests of whole sidecars take minutes, so they are two programs that run at the same time, on
# ports of their own.
cornelhead_part_tests(load adapter)
if(TARGET adapter-test)
    target_link_libraries(adapter-test PRIVATE part-standin)
    target_compile_definitions(adapter-test PRIVATE CORNELHEAD_FIRST_TEST_PORT=10000)
    target_link_libraries(load-test PRIVATE part-standin)
    target_compile_definitions(load-test PRIVATE CORNELHEAD_FIRST_TEST_PORT=14500)
endif()

cornelhead_program(cornelhead-node node)
cornelhead_program(cornelhead-sidecar adapter)
cornelhead_program(cornelheadctl ctl)
cornelhead_program(cornelhead-platform standin)
cornelhead_program(cornelhead-backend standin)
cornelhead_program(cornelhead-load standin)
cornelhead_program(cornelhead-measure-configuration config)
cornelhead_program(cornelhead-measure-moves rollout)
cornelhead_program(cornelhead-measure-convergence ctl)
cornelhead_program(cornelhead-measure-calls standin)

# Turns the project's warnings off for the generated protobuf code.
if(TARGET part-protocol)
    get_target_property(protocol_kind part-protocol TYPE)
    if(protocol_kind STREQUAL "STATIC_LIBRARY")
        target_compile_options(part-protocol PRIVATE -Wno-all -Wno-extra -Wno-pedantic)
    endif()
endif()

# End-to-end tests run the programs from the build folder.
file(GLOB e2e_scripts CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/test/e2e/*.sh)
foreach(script IN LISTS e2e_scripts)
    get_filename_component(name ${script} NAME_WE)
    add_test(NAME e2e-${name} COMMAND ${script})
    set_tests_properties(e2e-${name} PROPERTIES ENVIRONMENT "BUILD=${CMAKE_BINARY_DIR}")
endforeach()
