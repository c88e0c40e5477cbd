# Sets the warning and sanitizer options of a target. CI treats warnings as errors; generated code is built
# without these options. -Wrestrict is off because GCC 12 reports it falsely for std::string concatenation
# at -O3 (GCC bug 105651).
function(papayaspindle_compile_options target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wno-missing-field-initializers -Wno-restrict)
  if(PAPAYASPINDLE_WERROR)
    target_compile_options(${target} PRIVATE -Werror)
  endif()
  if(PAPAYASPINDLE_SANITIZE)
    # Without optimisation, the explorations take several times as long. Assertions stay enabled.
    target_compile_options(${target} PUBLIC -O1 -fsanitize=address,undefined -fno-omit-frame-pointer
      -fno-sanitize-recover=all)
    target_link_options(${target} PUBLIC -fsanitize=address,undefined)
  endif()
endfunction()

# Adds a static library:
# papayaspindle_add_library(NAME SOURCES a.cpp ... LIBRARIES lib ...)
function(papayaspindle_add_library name)
  cmake_parse_arguments(arg "" "" "SOURCES;LIBRARIES" ${ARGN})
  add_library(${name} STATIC ${arg_SOURCES})
  target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/src/libs)
  target_link_libraries(${name} PUBLIC ${arg_LIBRARIES} fmt::fmt Threads::Threads)
  papayaspindle_compile_options(${name})
endfunction()

# Adds a program that is built in the top build directory:
# papayaspindle_add_executable(NAME SOURCES a.cpp ... LIBRARIES lib ...)
function(papayaspindle_add_executable name)
  cmake_parse_arguments(arg "" "" "SOURCES;LIBRARIES" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_link_libraries(${name} PRIVATE ${arg_LIBRARIES} fmt::fmt Threads::Threads)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR})
  papayaspindle_compile_options(${name})
endfunction()

# Adds one Catch2 program:
# papayaspindle_add_test(NAME [PARALLEL_CASES] SOURCES tst_a.cpp ... LIBRARIES lib ...)
# The program is one ctest entry; with PARALLEL_CASES, each of its test cases is one, so that ctest runs the
# cases of a long test in parallel.
# The timeout only ends a test that hangs. It is far longer than a test needs on a loaded machine.
function(papayaspindle_add_test name)
  cmake_parse_arguments(arg "PARALLEL_CASES" "" "SOURCES;LIBRARIES" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_link_libraries(${name} PRIVATE ${arg_LIBRARIES} Catch2::Catch2WithMain fmt::fmt Threads::Threads)
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests/auto)
  papayaspindle_compile_options(${name})
  if(arg_PARALLEL_CASES)
    # ctest starts the tests of the highest cost first.
    catch_discover_tests(${name} TEST_PREFIX "${name}: " PROPERTIES TIMEOUT 1200 COST 10)
  else()
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 1200)
  endif()
endfunction()
