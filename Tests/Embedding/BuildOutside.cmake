set(prefix "${WORK}/prefix")
set(flags)
if(SANITIZE)
    set(flags "-DCMAKE_CXX_FLAGS=-fsanitize=${SANITIZE}")
endif()
execute_process(COMMAND ${CMAKE_COMMAND} --install ${BUILD} --prefix ${prefix}
    OUTPUT_QUIET COMMAND_ERROR_IS_FATAL ANY)
execute_process(COMMAND ${CMAKE_COMMAND} -S ${OUTSIDE} -B ${WORK}/outside -G ${GENERATOR}
    -DCMAKE_PREFIX_PATH=${prefix} ${flags} COMMAND_ERROR_IS_FATAL ANY)
execute_process(COMMAND ${CMAKE_COMMAND} --build ${WORK}/outside COMMAND_ERROR_IS_FATAL ANY)
execute_process(COMMAND ${WORK}/outside/outside COMMAND_ERROR_IS_FATAL ANY)
