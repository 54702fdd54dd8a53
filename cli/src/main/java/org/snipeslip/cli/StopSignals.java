package org.snipeslip.cli;

import java.lang.reflect.Proxy;

/**
 * Handles the signals that ask a process to stop. A shutdown hook cannot do this: during shutdown
 * the JVM no longer tells a second signal from the first. {@code sun.misc.Signal} is reached by
 * reflection because the compiler warns of it and warnings are errors here.
 */
final class StopSignals {
    private static final String[] NAMES = {"TERM", "INT"};

    private StopSignals() {}

    /** Runs the action at each signal, on a thread of the JVM. */
    static void onSignal(Runnable action) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object handler =
                    Proxy.newProxyInstance(
                            StopSignals.class.getClassLoader(),
                            new Class<?>[] {handlerType},
                            (proxy, method, args) -> {
                                action.run();
                                return null;
                            });
            for (String name : NAMES) {
                Object signal = signalType.getConstructor(String.class).newInstance(name);
                signalType
                        .getMethod("handle", signalType, handlerType)
                        .invoke(null, signal, handler);
            }
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this JVM has no signal handlers", e);
        }
    }
}
