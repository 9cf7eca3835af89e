# The main function that all CppUnit test programs share.
add_library(lycheebay_test_main STATIC ${CMAKE_CURRENT_LIST_DIR}/testmain.cpp)
target_link_libraries(lycheebay_test_main PUBLIC PkgConfig::CPPUNIT)

# Adds one CppUnit test program, linked with the library.
# usage: lycheebay_add_test(NAME SOURCES... [LIBS ...])
function(lycheebay_add_test name)
  cmake_parse_arguments(arg "" "" "LIBS" ${ARGN})
  add_executable(${name} ${arg_UNPARSED_ARGUMENTS})
  target_link_libraries(${name} PRIVATE lycheebay lycheebay_test_main ${arg_LIBS})
  add_test(NAME ${name} COMMAND ${name} ${PROJECT_SOURCE_DIR}/KNOWN-RED.txt)
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
