# Adds the static library almondscale::NAME from SOURCES. It may include only
# the headers of the libraries listed in DEPENDS, so that the dependency arrows
# between the folders of Source/ are checked by the build.
function(almondscale_library name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS;PRIVATE_DEPENDS" ${ARGN})
    set(scope PUBLIC)
    if(arg_SOURCES)
        add_library(Almondscale${name} STATIC ${arg_SOURCES})
        target_link_libraries(Almondscale${name}
            PRIVATE ${arg_PRIVATE_DEPENDS} $<BUILD_INTERFACE:AlmondscaleFlags>)
    else()
        add_library(Almondscale${name} INTERFACE)
        set(scope INTERFACE)
    endif()
    add_library(almondscale::${name} ALIAS Almondscale${name})
    set_target_properties(Almondscale${name} PROPERTIES EXPORT_NAME ${name})
    target_compile_features(Almondscale${name} ${scope} cxx_std_17)
    target_link_libraries(Almondscale${name} ${scope} ${arg_DEPENDS})
    target_include_directories(Almondscale${name} ${scope}
        $<BUILD_INTERFACE:${PROJECT_BINARY_DIR}/include/${name}>
        $<INSTALL_INTERFACE:include/almondscale>)
    # The include root of a library holds its own folder only.
    file(MAKE_DIRECTORY "${PROJECT_BINARY_DIR}/include/${name}")
    file(CREATE_LINK "${CMAKE_CURRENT_SOURCE_DIR}"
        "${PROJECT_BINARY_DIR}/include/${name}/${name}" SYMBOLIC)
endfunction()

# Adds the static library AlmondscaleNAME with the parts of one program.
function(almondscale_part name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(Almondscale${name} STATIC ${arg_SOURCES})
    target_include_directories(Almondscale${name} PUBLIC "${CMAKE_CURRENT_SOURCE_DIR}")
    target_link_libraries(Almondscale${name} PUBLIC ${arg_DEPENDS} PRIVATE AlmondscaleFlags)
endfunction()

# Adds the program NAME from SOURCES.
function(almondscale_program name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${arg_SOURCES})
    target_link_libraries(${name} PRIVATE ${arg_DEPENDS} AlmondscaleFlags)
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${PROJECT_BINARY_DIR}/bin")
endfunction()

# Adds a Catch2 program for the tests of one folder and registers each test case.
function(almondscale_test name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name}Test ${arg_SOURCES})
    target_link_libraries(${name}Test PRIVATE ${arg_DEPENDS} AlmondscaleTestMain AlmondscaleFlags)
    catch_discover_tests(${name}Test DISCOVERY_MODE PRE_TEST TEST_PREFIX "${name}: "
        PROPERTIES TIMEOUT 300)
endfunction()
