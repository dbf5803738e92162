include(CMakeFindDependencyMacro)
find_dependency(Threads)
find_dependency(OpenSSL COMPONENTS Crypto)
include("${CMAKE_CURRENT_LIST_DIR}/almondscaleTargets.cmake")
