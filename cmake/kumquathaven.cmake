# Functions that declare the project's libraries, programs and tests in one way.

find_package(Boost 1.81 REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Threads REQUIRED)

find_program(CCACHE ccache)
if(CCACHE)
  # Paths relative to the tree let checkouts in different folders share what was compiled.
  set(CMAKE_CXX_COMPILER_LAUNCHER
    ${CMAKE_COMMAND} -E env CCACHE_BASEDIR=${CMAKE_SOURCE_DIR} CCACHE_NOHASHDIR=true ${CCACHE})
endif()

add_compile_options(-Wall -Wextra -Wpedantic -Wshadow -Werror)
if(CMAKE_CXX_COMPILER_ID MATCHES Clang)
  # The macros of Boost.LEAF use this extension, which g++ accepts without a word.
  add_compile_options(-Wno-gnu-statement-expression)
endif()
if(KUMQUATHAVEN_SANITIZE)
  add_compile_options(-fsanitize=${KUMQUATHAVEN_SANITIZE} -fno-omit-frame-pointer -O1)
  add_link_options(-fsanitize=${KUMQUATHAVEN_SANITIZE})
  if(KUMQUATHAVEN_SANITIZE MATCHES thread)
    # The thread sanitizer does not model fences, and g++ refuses them with it. Boost.Asio orders its
    # handlers by the mutexes of its scheduler as well, which the sanitizer does see.
    add_compile_definitions(BOOST_ASIO_DISABLE_FENCED_BLOCK)
  endif()
endif()

# kumquathaven_library(NAME SOURCES... DEPS...): the library lib/NAME with headers in include/.
function(kumquathaven_library name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPS" ${ARGN})
  add_library(kumquathaven_${name} STATIC ${arg_SOURCES})
  target_include_directories(kumquathaven_${name} PUBLIC ${CMAKE_SOURCE_DIR}/include)
  target_link_libraries(kumquathaven_${name} PUBLIC ${arg_DEPS} Boost::headers Threads::Threads)
endfunction()

# kumquathaven_unittest(NAME SOURCES... DEPS... [HISTORIES FILES...]): the one test program of library NAME. The cases of
# the first of FILES run as unit.NAME_histories, those of each further one, Xtest.cpp, as unit.NAME_X, and all others as
# unit.NAME, each on up to eight threads, so that none comes near the time limit under the thread sanitizer.
function(kumquathaven_unittest name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPS;HISTORIES" ${ARGN})
  add_executable(${name}_tests ${arg_SOURCES})
  target_include_directories(${name}_tests PRIVATE ${CMAKE_SOURCE_DIR}/unittests)
  target_link_libraries(${name}_tests PRIVATE kumquathaven_${name} ${arg_DEPS})
  if(NOT arg_HISTORIES)
    add_test(NAME unit.${name} COMMAND ${name}_tests)
    set_tests_properties(unit.${name} PROPERTIES LABELS unit TIMEOUT 120)
    return()
  endif()
  list(TRANSFORM arg_HISTORIES PREPEND "*/" OUTPUT_VARIABLE apart)
  list(JOIN apart "," apart)
  add_test(NAME unit.${name} COMMAND ${name}_tests --source-file-exclude=${apart})
  set(tests unit.${name})
  set(suffix histories)
  foreach(file IN LISTS arg_HISTORIES)
    if(NOT suffix)
      string(REPLACE "test.cpp" "" suffix ${file})
    endif()
    add_test(NAME unit.${name}_${suffix} COMMAND ${name}_tests --source-file=*/${file})
    list(APPEND tests unit.${name}_${suffix})
    set(suffix "")
  endforeach()
  set_tests_properties(${tests} PROPERTIES LABELS unit TIMEOUT 120 PROCESSORS 8)
endfunction()

# kumquathaven_program(NAME SOURCES... DEPS...): a program in the build's bin folder.
function(kumquathaven_program name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_link_libraries(${name} PRIVATE ${arg_DEPS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# kumquathaven_fuzzer(NAME SOURCE DEPS...): a fuzz target run over test/fuzz/corpus/NAME.
function(kumquathaven_fuzzer name source)
  if(NOT KUMQUATHAVEN_FUZZ)
    return()
  endif()
  add_executable(fuzz_${name} ${source})
  target_compile_options(fuzz_${name} PRIVATE -fsanitize=fuzzer)
  target_link_options(fuzz_${name} PRIVATE -fsanitize=fuzzer)
  target_link_libraries(fuzz_${name} PRIVATE ${ARGN})
  # The fuzzer writes what it finds into the first folder, which starts empty so that runs are alike.
  set(found ${CMAKE_BINARY_DIR}/fuzz/${name})
  add_test(NAME fuzz.${name}
    COMMAND sh -c "rm -rf ${found} && mkdir -p ${found} && $<TARGET_FILE:fuzz_${name}> -runs=20000 \
-seed=1 -max_len=4096 ${found} ${CMAKE_SOURCE_DIR}/test/fuzz/corpus/${name}")
  set_tests_properties(fuzz.${name} PROPERTIES LABELS fuzz TIMEOUT 120)
endfunction()
