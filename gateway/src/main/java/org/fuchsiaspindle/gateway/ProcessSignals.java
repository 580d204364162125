package org.fuchsiaspindle.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;

/**
 * Installs handlers for signals of the operating system.
 *
 * <p>The JDK offers this only in {@code sun.misc}, whose use the compiler warns about, so the
 * classes are accessed by reflection.
 */
final class ProcessSignals {

    private ProcessSignals() {}

    /**
     * Runs an action each time a signal arrives, in place of the JVM's default action.
     *
     * @param name the name of the signal without the prefix {@code SIG}, for example {@code TERM}
     * @param action the action, which runs on a thread of the JVM; not null
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
                    ResultCode.INTERNAL, "could not install a handler for signal " + name, failure);
        }
    }
}
