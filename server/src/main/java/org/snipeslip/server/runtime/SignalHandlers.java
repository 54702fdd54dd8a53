package org.snipeslip.server.runtime;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a task on SIGTERM and SIGINT, or on SIGHUP. A shutdown hook is not sufficient, because the
 * JVM ignores a second signal once the hooks run. The only signal API of the JDK is unsupported and
 * causes a compiler warning that cannot be suppressed, so it is called by reflection.
 */
public final class SignalHandlers {
    private static final Logger LOG = LoggerFactory.getLogger(SignalHandlers.class);

    private SignalHandlers() {}

    /**
     * Runs a task on each SIGTERM and SIGINT, in place of the JVM's shutdown.
     *
     * @param task runs on a new thread for each signal
     */
    public static void onTerminate(Runnable task) {
        installHandler(task, "TERM", "INT");
    }

    /**
     * Runs a task on each SIGHUP, which would otherwise end the process.
     *
     * @param task runs on a new thread for each signal
     */
    public static void onHangUp(Runnable task) {
        installHandler(task, "HUP");
    }

    private static void installHandler(Runnable task, String... signalNames) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            InvocationHandler invocationHandler =
                    (proxy, method, args) -> {
                        if (method.getName().equals("handle")) {
                            task.run();
                        }
                        return null;
                    };
            Object handler =
                    Proxy.newProxyInstance(
                            SignalHandlers.class.getClassLoader(),
                            new Class<?>[] {handlerType},
                            invocationHandler);
            for (String name : signalNames) {
                Object signal = signalType.getConstructor(String.class).newInstance(name);
                signalType
                        .getMethod("handle", signalType, handlerType)
                        .invoke(null, signal, handler);
            }
        } catch (ReflectiveOperationException e) {
            LOG.warn(
                    "cannot install handlers for the signals {}; they end the process at once",
                    String.join(", ", signalNames),
                    e);
        }
    }
}
