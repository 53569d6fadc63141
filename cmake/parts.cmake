# Membership, checkpoint intervals and quarantine: pure parts that the dispatcher does not host yet, their tests and
# their side-by-side plays (lichenlug-parts). They move to the lists of CMakeLists.txt, lab/ and tests/ when hosted.
include(GoogleTest)
find_package(GTest REQUIRED)
find_path(RAPIDCHECK_INCLUDE rapidcheck.h REQUIRED)
find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
find_path(PCG_INCLUDE pcg_random.hpp REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)

static_library(lichenlug_membership
               SOURCES src/peers/membership.cpp src/peers/membership_facts.cpp src/peers/membership_suspicion.cpp
                       src/peers/membership_probe.cpp src/peers/membership_table.cpp src/peers/membership_codec.cpp
               USES lichenlug_base)
target_include_directories(lichenlug_membership SYSTEM PRIVATE ${XXHASH_INCLUDE})
static_library(lichenlug_checkpoints
               SOURCES src/checkpoints/exact.cpp src/checkpoints/facts.cpp src/checkpoints/rates.cpp src/checkpoints/choice.cpp
                       src/checkpoints/deal.cpp src/checkpoints/lending.cpp src/checkpoints/checkpoints.cpp
               USES lichenlug_base)
target_include_directories(lichenlug_checkpoints SYSTEM PRIVATE ${XXHASH_INCLUDE})
# No contraction: the same facts give the same interval on every machine.
target_compile_options(lichenlug_checkpoints PRIVATE -ffp-contract=off)
static_library(lichenlug_quarantine
               SOURCES src/quarantine/fingerprint.cpp src/quarantine/evidence.cpp src/quarantine/background.cpp
                       src/quarantine/decisions.cpp src/quarantine/ticket.cpp src/quarantine/codec.cpp
                       src/quarantine/table.cpp src/quarantine/homes.cpp src/quarantine/gossip.cpp
                       src/quarantine/gossip_hear.cpp src/quarantine/quarantine.cpp src/quarantine/quarantine_shared.cpp
                       src/quarantine/snapshot.cpp src/quarantine/pages.cpp
               USES lichenlug_base PRIVATE nlohmann_json::nlohmann_json)
target_include_directories(lichenlug_quarantine SYSTEM PUBLIC ${PCG_INCLUDE} PRIVATE ${XXHASH_INCLUDE})
static_library(lichenlug_quarantine_store SOURCES src/quarantine/store.cpp)

# As lab_library of lab/CMakeLists.txt.
function(parts_lab_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;USES" ${ARGN})
  list(TRANSFORM ARG_SOURCES PREPEND lab/)
  add_library(${name} STATIC ${ARG_SOURCES})
  target_compile_options(${name} PRIVATE ${rookgw_warnings} -ffp-contract=off)
  target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR} ${PROJECT_SOURCE_DIR}/src)
  target_include_directories(${name} SYSTEM PUBLIC ${PCG_INCLUDE} ${XXHASH_INCLUDE})
  target_link_libraries(${name} PUBLIC lab_report ${ARG_USES} ${XXHASH_LIBRARY})
endfunction()
parts_lab_library(lab_membership SOURCES membership/net.cpp membership/judge.cpp membership/days.cpp membership/rumours.cpp
                          membership/heartbeat.cpp membership/swim.cpp membership/phi.cpp membership/detectors.cpp
                          membership/table.cpp
                  USES lichenlug_membership lichenlug_peers)
parts_lab_library(lab_checkpoints SOURCES checkpoints/day.cpp checkpoints/policies.cpp checkpoints/play.cpp
                  USES lichenlug_checkpoints)
parts_lab_library(lab_quarantine SOURCES quarantine/holding.cpp quarantine/day.cpp USES lichenlug_quarantine)
add_executable(lichenlug-parts lab/parts_main.cpp lab/commands/members.cpp lab/commands/checkpoints.cpp
                               lab/commands/quarantine.cpp)
target_compile_options(lichenlug-parts PRIVATE ${rookgw_warnings})
target_link_libraries(lichenlug-parts PRIVATE lab_membership lab_checkpoints lab_quarantine CLI11::CLI11)

function(parts_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;USES" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} SYSTEM PRIVATE ${RAPIDCHECK_INCLUDE})
  target_link_libraries(${name} PRIVATE ${ARG_USES} ${RAPIDCHECK_LIBRARY} GTest::gtest_main)
  target_compile_options(${name} PRIVATE ${rookgw_warnings})
  gtest_discover_tests(${name} DISCOVERY_TIMEOUT 60
                       PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=1 max_success=2000")
endfunction()
parts_test(membership_tests SOURCES tests/membership_test.cpp USES lichenlug_membership lichenlug_peers)
parts_test(checkpoints_tests SOURCES tests/checkpoints_test.cpp USES lichenlug_checkpoints)
parts_test(quarantine_tests SOURCES tests/quarantine_test.cpp tests/quarantine_tier_test.cpp
           USES lichenlug_quarantine lichenlug_quarantine_store nlohmann_json::nlohmann_json)
parts_test(lab_membership_tests SOURCES lab/tests/membership_lab_test.cpp USES lab_membership)
