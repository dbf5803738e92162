# Compiler settings and the libraries that every target shares.
set(ALMONDSCALE_SANITIZE "" CACHE STRING "Sanitizers to build with, as in -fsanitize=")

add_library(AlmondscaleFlags INTERFACE)
target_compile_options(AlmondscaleFlags INTERFACE -Wall -Wextra -Wpedantic -Werror)
if(ALMONDSCALE_SANITIZE)
    target_compile_options(AlmondscaleFlags INTERFACE
        -fsanitize=${ALMONDSCALE_SANITIZE} -fno-omit-frame-pointer -fno-sanitize-recover=all)
    target_link_options(AlmondscaleFlags INTERFACE -fsanitize=${ALMONDSCALE_SANITIZE})
    # With sanitizers GCC 12 warns falsely inside Boost's headers; the release build has both warnings.
    if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
        target_compile_options(AlmondscaleFlags INTERFACE -Wno-maybe-uninitialized -Wno-mismatched-new-delete)
    endif()
endif()

find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED COMPONENTS Crypto)
find_package(Boost 1.81 REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED)
find_library(CXXTOOLS_LIBRARY cxxtools REQUIRED)
find_library(CXXTOOLS_HTTP_LIBRARY cxxtools-http REQUIRED)
find_library(CXXTOOLS_BIN_LIBRARY cxxtools-bin REQUIRED)
find_library(FLATBUFFERS_LIBRARY flatbuffers REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
    set(CMAKE_CXX_COMPILER_LAUNCHER "${CCACHE_PROGRAM}")
endif()
