include(CMakePackageConfigHelpers)
include(GNUInstallDirs)

# Installs the coordination libraries as the package almondscale, so that other
# programs can use them with find_package(almondscale).
function(almondscale_package)
    set(libraries ${ARGN})
    list(TRANSFORM libraries PREPEND Almondscale OUTPUT_VARIABLE targets)
    install(TARGETS ${targets} AlmondscaleEasyLogging
        EXPORT almondscaleTargets
        ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
    foreach(library IN LISTS libraries)
        install(DIRECTORY "${PROJECT_SOURCE_DIR}/Source/${library}"
            DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/almondscale
            FILES_MATCHING PATTERN "*.h")
    endforeach()
    set(package_dir ${CMAKE_INSTALL_LIBDIR}/cmake/almondscale)
    install(EXPORT almondscaleTargets NAMESPACE almondscale:: DESTINATION ${package_dir})
    write_basic_package_version_file("${PROJECT_BINARY_DIR}/almondscaleConfigVersion.cmake"
        COMPATIBILITY SameMinorVersion)
    install(FILES
        "${PROJECT_SOURCE_DIR}/CMake/almondscaleConfig.cmake"
        "${PROJECT_BINARY_DIR}/almondscaleConfigVersion.cmake"
        DESTINATION ${package_dir})
endfunction()
