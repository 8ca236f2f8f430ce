# bronzepass_add_library(<name> <source>...): a static library of one folder.
# Includes are written by full path from Source/.
function(bronzepass_add_library Name)
  add_library(${Name} STATIC ${ARGN})
  target_include_directories(${Name} PUBLIC ${CMAKE_SOURCE_DIR}/Source)
endfunction()

# bronzepass_add_tests(<name> <library> <source>...): a doctest program that
# ctest runs; TestMain.cpp carries the runner.
function(bronzepass_add_tests Name Library)
  add_executable(${Name} ${CMAKE_SOURCE_DIR}/Source/UnitTests/TestMain.cpp
                         ${ARGN})
  target_include_directories(${Name} PRIVATE ${CMAKE_SOURCE_DIR}/Source)
  target_link_libraries(${Name} PRIVATE ${Library} doctest::doctest rapidcheck)
  add_test(NAME ${Name} COMMAND ${Name} --no-intro
           WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
endfunction()

# bronzepass_add_benchmark(<name> <library> <source>...): a google-benchmark
# program; not part of the tests, since its figures depend on the machine.
function(bronzepass_add_benchmark Name Library)
  add_executable(${Name} ${ARGN})
  target_include_directories(${Name} PRIVATE ${CMAKE_SOURCE_DIR}/Source)
  target_link_libraries(${Name} PRIVATE ${Library} benchmark::benchmark
                                        benchmark::benchmark_main)
endfunction()
