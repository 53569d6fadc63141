# The model router and placer: a library for each plane and concern, assembled by the thin binary lichenlugd. Each
# library is the folder of its name under src/; what it links is all that it may use.
find_package(Protobuf REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS program_options)
find_path(EVENT_INCLUDE event2/http.h REQUIRED)
find_library(EVENT_LIBRARY event REQUIRED)
find_library(EVENT_PTHREADS_LIBRARY event_pthreads REQUIRED)
find_library(EVHTP_LIBRARY evhtp REQUIRED)
find_library(LEVELDB_LIBRARY leveldb REQUIRED)
find_library(GLOG_LIBRARY glog REQUIRED)

function(system_library name)
  cmake_parse_arguments(ARG "" "" "USES;PRIVATE" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/${name}/*.cpp)
  if(NOT sources)
    add_library(system_${name} INTERFACE)
    target_include_directories(system_${name} INTERFACE ${CMAKE_CURRENT_SOURCE_DIR}/src)
    target_link_libraries(system_${name} INTERFACE ${ARG_USES})
    return()
  endif()
  static_library(system_${name} SOURCES ${sources} USES ${ARG_USES} PRIVATE ${ARG_PRIVATE})
endfunction()

# Committed generated code (scripts/generate-messages), compiled without the project's warning flags.
file(GLOB message_sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/messages/generated/*.pb.cc)
add_library(system_messages STATIC ${message_sources})
target_include_directories(system_messages SYSTEM PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/src/messages/generated)
target_include_directories(system_messages PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/src)
target_link_libraries(system_messages PUBLIC protobuf::libprotobuf)

system_library(delta USES system_messages)
system_library(consensus USES lichenlug_base system_messages system_delta)
system_library(storage PRIVATE ${LEVELDB_LIBRARY} ${GLOG_LIBRARY} USES Threads::Threads)
system_library(configuration USES lichenlug_base system_messages system_delta PRIVATE nlohmann_json::nlohmann_json)
system_library(membership USES lichenlug_base system_messages)
system_library(transport USES lichenlug_base system_messages ${EVENT_LIBRARY})
system_library(registry USES lichenlug_base system_messages PRIVATE nlohmann_json::nlohmann_json)
system_library(duties USES lichenlug_base system_messages system_consensus PRIVATE nlohmann_json::nlohmann_json)
system_library(placement USES system_duties PRIVATE nlohmann_json::nlohmann_json)
system_library(routing USES lichenlug_base rookgw system_messages)
system_library(dataplane USES lichenlug_net system_routing PRIVATE ${GLOG_LIBRARY})
# Without I/O: no socket, clock, file or thread.
system_library(node
               USES system_consensus system_configuration system_membership system_registry system_duties
                    system_placement system_routing
               PRIVATE nlohmann_json::nlohmann_json ${GLOG_LIBRARY})
target_include_directories(system_node SYSTEM PRIVATE ${XXHASH_INCLUDE})
system_library(host
               USES system_node system_storage system_transport system_dataplane lichenlug_net
               PRIVATE ${EVHTP_LIBRARY} ${EVENT_LIBRARY} ${EVENT_PTHREADS_LIBRARY})

function(system_program name folder)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/${folder}/*.cpp)
  if(sources)
    add_executable(${name} ${sources})
    target_compile_options(${name} PRIVATE ${rookgw_warnings})
    target_compile_definitions(${name} PRIVATE LICHENLUG_VERSION="${PROJECT_VERSION}")
    target_link_libraries(${name} PRIVATE ${ARGN} Boost::program_options ${GLOG_LIBRARY})
  endif()
endfunction()
system_program(lichenlugd daemon system_host)
system_program(lichenlugctl ctl system_configuration system_storage system_consensus system_registry)

if(ROOKGW_BUILD_TESTS OR ROOKGW_BUILD_LAB)
  add_subdirectory(lab/system)
endif()
