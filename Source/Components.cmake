# Functions that declare the library, programs and unit tests of a component.

# Headers are included relative to Source/Core and Source.
function(magnolia_compile_options Target)
  # GCC 12 reports -Wrestrict falsely on std::string (GCC bug 105651).
  target_compile_options(${Target} PRIVATE -Wall -Wextra -Wpedantic
                                           -Wconversion -Werror
                                           $<$<CXX_COMPILER_ID:GNU>:-Wno-restrict>)
  target_include_directories(${Target} PUBLIC ${CMAKE_SOURCE_DIR}/Source/Core
                                              ${CMAKE_SOURCE_DIR}/Source)
endfunction()

# magnolia_component(Quota SOURCES a.cpp DEPENDS magnolia_common absl::status)
function(magnolia_component Component)
  cmake_parse_arguments(Arg "" "" "SOURCES;DEPENDS" ${ARGN})
  string(TOLOWER ${Component} Lower)
  add_library(magnolia_${Lower} STATIC ${Arg_SOURCES})
  magnolia_compile_options(magnolia_${Lower})
  target_compile_definitions(magnolia_${Lower}
                             PRIVATE MAGNOLIA_VERSION="${PROJECT_VERSION}")
  target_link_libraries(magnolia_${Lower} PUBLIC ${Arg_DEPENDS})
endfunction()

# magnolia_program(magnoliad SOURCES Main.cpp DEPENDS magnolia_net)
function(magnolia_program Program)
  cmake_parse_arguments(Arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${Program} ${Arg_SOURCES})
  magnolia_compile_options(${Program})
  target_compile_definitions(${Program}
                             PRIVATE MAGNOLIA_VERSION="${PROJECT_VERSION}")
  target_link_libraries(${Program} PRIVATE ${Arg_DEPENDS})
endfunction()

# magnolia_unit_test(Quota SOURCES BucketTest.cpp DEPENDS magnolia_quota)
function(magnolia_unit_test Component)
  cmake_parse_arguments(Arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${Component}Tests ${Arg_SOURCES})
  magnolia_compile_options(${Component}Tests)
  target_link_libraries(${Component}Tests PRIVATE ${Arg_DEPENDS} magnolia_testmain)
  doctest_discover_tests(${Component}Tests TEST_PREFIX "${Component}: ")
endfunction()

# Adds each directory below the current one that holds a CMakeLists.txt.
function(magnolia_add_subdirectories)
  file(GLOB Lists CONFIGURE_DEPENDS RELATIVE ${CMAKE_CURRENT_SOURCE_DIR}
       ${CMAKE_CURRENT_SOURCE_DIR}/*/CMakeLists.txt)
  foreach(List IN LISTS Lists)
    get_filename_component(Directory ${List} DIRECTORY)
    add_subdirectory(${Directory})
  endforeach()
endfunction()
