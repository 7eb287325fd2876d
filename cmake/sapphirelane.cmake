if(SAPPHIRELANE_TESTS)
  include(Catch)
endif()

# Modules whose plug-ins register themselves are linked whole.
set(SAPPHIRELANE_PLUGIN_MODULES
  "WHOLE_ARCHIVE,sapphirelane_routing,sapphirelane_admission,sapphirelane_store,sapphirelane_adapter")

# Declares one module: a static library, and a test program made of every
# *_test.cpp that stands beside its sources.
#   sapphirelane_module(name DEPENDS lib...)
function(sapphirelane_module name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cpp)
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
  add_library(sapphirelane_${name} STATIC ${sources})
  target_include_directories(sapphirelane_${name} PUBLIC
    ${PROJECT_SOURCE_DIR}/include ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(sapphirelane_${name} PUBLIC ${ARG_DEPENDS})
  if(tests AND SAPPHIRELANE_TESTS)
    add_executable(sapphirelane_${name}_test ${tests}
      ${PROJECT_SOURCE_DIR}/tests/test_main.cpp)
    target_link_libraries(sapphirelane_${name}_test PRIVATE
      sapphirelane_${name} Catch2::Catch2 rapidcheck)
    set_property(TARGET sapphirelane_${name}_test PROPERTY
      LINK_LIBRARY_OVERRIDE ${SAPPHIRELANE_PLUGIN_MODULES})
    add_test(NAME ${name} COMMAND sapphirelane_${name}_test ~[schedules]~[large]~[body])
    set_tests_properties(${name} PROPERTIES ENVIRONMENT
      "RC_PARAMS=seed=20261204;GOLDEN_DIR=${PROJECT_SOURCE_DIR}/tests/golden")
  endif()
endfunction()

# Declares one program of one source file.
#   sapphirelane_program(name source DEPENDS lib...)
function(sapphirelane_program name source)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  add_executable(${name} ${source})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  target_compile_definitions(${name} PRIVATE
    SAPPHIRELANE_VERSION="${PROJECT_VERSION}")
  set_target_properties(${name} PROPERTIES
    LINK_LIBRARY_OVERRIDE "${SAPPHIRELANE_PLUGIN_MODULES}"
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# Adds the tests of large fleets as one test each, so that they run side by side.
#   sapphirelane_large_fleets("test name"...)
function(sapphirelane_large_fleets)
  foreach(number RANGE 1 ${ARGC})
    math(EXPR index "${number} - 1")
    list(GET ARGV ${index} filter)
    add_test(NAME large_fleet_${number} COMMAND sapphirelane_relay_test ${filter})
  endforeach()
endfunction()

# Adds the generated schedules as several tests, so that they run side by side.
#   sapphirelane_schedules(PARTS n EACH schedules)
function(sapphirelane_schedules)
  cmake_parse_arguments(ARG "" "PARTS;EACH" "" ${ARGN})
  foreach(part RANGE 1 ${ARG_PARTS})
    math(EXPR seed "(${part} - 1) * ${ARG_EACH} + 1")
    add_test(NAME schedules_${part}
      COMMAND sapphirelane_membership_test [schedules])
    set_tests_properties(schedules_${part} PROPERTIES ENVIRONMENT
      "SCHEDULES=${ARG_EACH};SCHEDULE_SEED=${seed}")
  endforeach()
endfunction()
