# Build helpers shared by every package of the workspace.

add_library(hyssoploft_options INTERFACE)
target_compile_options(hyssoploft_options INTERFACE
    -Wall -Wextra -Wpedantic -Werror -Wshadow -Wnon-virtual-dtor
    # g++ 12 reports false positives of these inside Boost and the standard
    # library at -O2; clang does not know most of them.
    "$<$<CXX_COMPILER_ID:GNU>:-Wno-maybe-uninitialized;-Wno-restrict>"
    "$<$<CXX_COMPILER_ID:GNU>:-Wno-stringop-overflow;-Wno-stringop-overread>"
    "$<$<CXX_COMPILER_ID:GNU>:-Wno-array-bounds;-Wno-dangling-pointer>"
    "$<$<CXX_COMPILER_ID:GNU>:-Wno-tsan;-Wno-mismatched-new-delete>")
target_compile_definitions(hyssoploft_options INTERFACE
    BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_DISABLE_IO_URING)
if(HYSSOPLOFT_SANITIZE STREQUAL "address")
    target_compile_options(hyssoploft_options INTERFACE
        -fsanitize=address,undefined,float-cast-overflow
        -fno-sanitize-recover=all -fno-omit-frame-pointer)
    target_link_options(hyssoploft_options INTERFACE
        -fsanitize=address,undefined)
elseif(HYSSOPLOFT_SANITIZE STREQUAL "thread")
    target_compile_options(hyssoploft_options INTERFACE -fsanitize=thread)
    target_link_options(hyssoploft_options INTERFACE -fsanitize=thread)
endif()

# Adds a package that may not have landed yet.
function(hyssoploft_add_if_present DIRECTORY)
    if(EXISTS ${CMAKE_CURRENT_SOURCE_DIR}/${DIRECTORY}/CMakeLists.txt)
        add_subdirectory(${DIRECTORY})
    endif()
endfunction()

# hyssoploft_library(LibX SOURCES a.cpp ... DEPENDS LibCore ...)
function(hyssoploft_library NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(${NAME} STATIC ${ARG_SOURCES})
    target_include_directories(${NAME} PUBLIC ${CMAKE_SOURCE_DIR}/Libraries)
    target_link_libraries(${NAME} PUBLIC ${ARG_DEPENDS}
        PRIVATE hyssoploft_options)
endfunction()

# hyssoploft_test(test_libx SOURCES a.cpp ... DEPENDS LibX ... LABELS threads)
# The test program runs with its directory of the build tree as the working
# directory; files that it writes go there.
function(hyssoploft_test NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;LABELS" ${ARGN})
    add_executable(${NAME} ${ARG_SOURCES} ${CMAKE_SOURCE_DIR}/Tests/main.cpp)
    target_include_directories(${NAME} PRIVATE
        ${CMAKE_SOURCE_DIR}/Tests /usr/include/doctest)
    target_link_libraries(${NAME} PRIVATE ${ARG_DEPENDS} hyssoploft_options)
    add_test(NAME ${NAME} COMMAND ${NAME})
    set_tests_properties(${NAME} PROPERTIES TIMEOUT 120)
    if(ARG_LABELS)
        set_tests_properties(${NAME} PROPERTIES LABELS "${ARG_LABELS}")
    endif()
endfunction()

# hyssoploft_benchmark(bench_x SOURCES a.cpp DEPENDS LibX): built by default,
# run by hand.
function(hyssoploft_benchmark NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${NAME} ${ARG_SOURCES})
    target_include_directories(${NAME} PRIVATE ${CMAKE_SOURCE_DIR}/Tests)
    target_link_libraries(${NAME} PRIVATE ${ARG_DEPENDS} hyssoploft_options)
endfunction()
