package org.fuchsiaspindle.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;

/**
 * Handles signals of the operating system.
 *
 * <p>The JDK offers this only through {@code sun.misc}, which the compiler flags, so the classes
 * are looked up at run time.
 */
final class ProcessSignals {

    private ProcessSignals() {}

    /**
     * Runs an action at each arrival of a signal, instead of what the JVM would do.
     *
     * @param name the name of the signal without its prefix, for example {@code TERM}
     * @param action runs on a thread of the JVM, not null
     * @throws FuchsiaspindleException with {@code INTERNAL} if the JVM does not allow it
     */
    static void handle(String name, Runnable action) {
        checkNotNull(action, "action");
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy =
                    Proxy.newProxyInstance(
                            ProcessSignals.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (self, method, arguments) -> {
                                if (method.getName().equals("handle")) {
                                    action.run();
                                }
                                return null;
                            });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
        } catch (ClassNotFoundException
                | NoSuchMethodException
                | InstantiationException
                | IllegalAccessException
                | InvocationTargetException failure) {
            throw new FuchsiaspindleException(
                    ResultCode.INTERNAL, "no handler for signal " + name, failure);
        }
    }
}
