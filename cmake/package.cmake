# Compiler and linker flags shared by all targets.
add_library(kumquatvalve_flags INTERFACE)
# Warnings are errors only in the builds of this repository's own checks: other
# compilers and build types may report other warnings.
option(KUMQUATVALVE_WERROR "Treat warnings as errors" OFF)
target_compile_options(kumquatvalve_flags INTERFACE -Wall -Wextra
                                                    -Wno-missing-field-initializers)
if(KUMQUATVALVE_WERROR)
  target_compile_options(kumquatvalve_flags INTERFACE -Werror)
endif()
if(KUMQUATVALVE_SANITIZE)
  target_compile_options(kumquatvalve_flags INTERFACE
    -fsanitize=${KUMQUATVALVE_SANITIZE} -fno-sanitize-recover=all
    -fno-omit-frame-pointer)
  target_link_options(kumquatvalve_flags INTERFACE
    -fsanitize=${KUMQUATVALVE_SANITIZE})
endif()

# kumquatvalve_package(NAME DEPENDS targets... [TEST_DEPENDS targets...])
# Defines the library kumquatvalve_NAME from src/*.cc and, when test/*.cc exist,
# its test program kumquatvalve_NAME_test.
function(kumquatvalve_package name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;TEST_DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cc)
  set(library kumquatvalve_${name})
  add_library(${library} STATIC ${sources})
  target_include_directories(${library} PUBLIC include)
  target_link_libraries(${library} PUBLIC ${ARG_DEPENDS}
                        PRIVATE kumquatvalve_flags)
  file(GLOB tests CONFIGURE_DEPENDS test/*.cc)
  if(tests AND KUMQUATVALVE_TESTS)
    add_executable(${library}_test ${tests})
    target_link_libraries(${library}_test PRIVATE ${library} Catch2::Catch2
                          kumquatvalve_flags ${ARG_TEST_DEPENDS})
    # Tests tagged [threads] open fixed ports, so they are registered once, as a
    # separate test.
    add_test(NAME ${name} COMMAND ${library}_test "~[threads]")
    set_tests_properties(${name} PROPERTIES ENVIRONMENT RC_PARAMS=seed=1)
  endif()
endfunction()
