package org.snipeslip.server.runtime;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a task on SIGTERM and SIGINT, or on SIGHUP. A shutdown hook would not do: the JVM ignores a
 * second signal once hooks run. The JDK's only signal interface is unsupported and gives a compiler
 * warning that cannot be suppressed, so it is called by reflection.
 */
public final class StopSignals {
    private static final Logger LOG = LoggerFactory.getLogger(StopSignals.class);

    private StopSignals() {}

    /**
     * Runs a task on each SIGTERM and SIGINT, on a thread of its own.
     *
     * @param task the task
     */
    public static void onTerminate(Runnable task) {
        on(task, "TERM", "INT");
    }

    /**
     * Runs a task on each SIGHUP, on a thread of its own. Without it the signal ends the process.
     *
     * @param task the task
     */
    public static void onHangUp(Runnable task) {
        on(task, "HUP");
    }

    private static void on(Runnable task, String... names) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            InvocationHandler invocations =
                    (proxy, method, args) -> {
                        if (method.getName().equals("handle")) {
                            task.run();
                        }
                        return null;
                    };
            Object handler =
                    Proxy.newProxyInstance(
                            StopSignals.class.getClassLoader(),
                            new Class<?>[] {handlerType},
                            invocations);
            for (String name : names) {
                Object signal = signalType.getConstructor(String.class).newInstance(name);
                signalType
                        .getMethod("handle", signalType, handlerType)
                        .invoke(null, signal, handler);
            }
        } catch (ReflectiveOperationException e) {
            LOG.warn("this JVM offers no signal handlers; signals end the process at once", e);
        }
    }
}
