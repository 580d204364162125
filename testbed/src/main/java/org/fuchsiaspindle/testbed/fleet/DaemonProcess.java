package org.fuchsiaspindle.testbed.fleet;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.fuchsiaspindle.platform.settings.SettingsFile;

/** A daemon that runs in a separate JVM and is killed when this JVM exits. Thread-safe. */
public final class DaemonProcess implements AutoCloseable {

    /**
     * The same heap options as in {@code bin/fuchsiaspindled}, so that measurements apply to it.
     */
    private static final List<String> ENTRY_HEAP = List.of("-Xms64m", "-Xmx512m");

    private static final List<String> AGENT_HEAP = List.of("-Xms16m", "-Xmx96m");
    private static final String DAEMON_MAIN = "org.fuchsiaspindle.daemon.Main";
    private static final String GATEWAY_MAIN = "org.fuchsiaspindle.gateway.GatewayMain";
    private static final int MAX_LOG_LINES = 50_000;
    private static final Duration KILL_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(10);
    private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(() -> STARTED.forEach(Process::destroyForcibly), "end-daemons"));
    }

    private final String name;
    private final Process process;
    private final Deque<String> log = new ConcurrentLinkedDeque<>();
    private final AtomicInteger logLines = new AtomicInteger();

    private DaemonProcess(String name, Process process) {
        this.name = name;
        this.process = process;
    }

    static DaemonProcess start(
            String name, ImmutableList<String> arguments, Map<String, String> environment) {
        List<String> heap = arguments.getFirst().equals("agent") ? AGENT_HEAP : ENTRY_HEAP;
        return launch(name, heap, DAEMON_MAIN, arguments, environment);
    }

    /**
     * Starts a gateway of the platform.
     *
     * @param name the name of the process, for messages
     * @param settings the settings file that it reads
     */
    public static DaemonProcess startGateway(String name, Path settings) {
        return launch(
                name,
                ENTRY_HEAP,
                GATEWAY_MAIN,
                ImmutableList.of(),
                Map.of(SettingsFile.ENVIRONMENT_VARIABLE, settings.toString()));
    }

    /**
     * Starts a gateway with a command of its own.
     *
     * @param name the name of the process, for messages
     * @param directory where the command runs
     * @param command the program and its arguments
     * @param settings the settings file that the gateway reads
     */
    public static DaemonProcess startGateway(
            String name, Path directory, List<String> command, Path settings) {
        return launch(
                name,
                new ProcessBuilder(command).directory(directory.toFile()),
                Map.of(SettingsFile.ENVIRONMENT_VARIABLE, settings.toString()));
    }

    private static DaemonProcess launch(
            String name,
            List<String> heap,
            String mainClass,
            List<String> arguments,
            Map<String, String> environment) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(heap);
        command.addAll(
                List.of(
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-XX:+UseCompactObjectHeaders",
                        "-Xss512k",
                        "-XX:MaxMetaspaceSize=64m",
                        "-XX:ReservedCodeCacheSize=32m",
                        "--enable-native-access=ALL-UNNAMED",
                        "--sun-misc-unsafe-memory-access=allow",
                        "-cp",
                        classPath(),
                        mainClass));
        command.addAll(arguments);
        return launch(name, new ProcessBuilder(command), environment);
    }

    private static DaemonProcess launch(
            String name, ProcessBuilder builder, Map<String, String> environment) {
        builder.redirectErrorStream(true);
        builder.environment().put("MALLOC_ARENA_MAX", "1");
        builder.environment().putAll(environment);
        try {
            Process process = builder.start();
            STARTED.add(process);
            DaemonProcess daemon = new DaemonProcess(name, process);
            Thread.ofVirtual().name("log-" + name).start(daemon::readLog);
            return daemon;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the process id. */
    public long pid() {
        return process.pid();
    }

    /** Returns whether the process is running. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the log lines so far, at most the last 50,000. */
    public ImmutableList<String> log() {
        return ImmutableList.copyOf(log);
    }

    /**
     * Waits for a log line that contains a match of a regular expression.
     *
     * @throws IllegalStateException if no line matches within the timeout
     */
    public String awaitLog(String regex, Duration timeout) {
        Pattern pattern = Pattern.compile(regex);
        long deadline = System.nanoTime() + timeout.toNanos();
        while (System.nanoTime() - deadline < 0) {
            for (String line : log) {
                if (pattern.matcher(line).find()) {
                    return line;
                }
            }
            pause();
        }
        throw new IllegalStateException(
                name + " logged no line within the timeout that matches " + regex);
    }

    /** Suspends the process with SIGSTOP and waits until all its threads have stopped. */
    public void suspend() {
        signal("STOP");
        // The kernel stops the threads one by one after it has accepted the signal.
        long deadline = System.nanoTime() + KILL_TIMEOUT.toNanos();
        while (!areAllThreadsStopped()) {
            checkState(System.nanoTime() - deadline < 0, "%s did not stop after SIGSTOP", name);
            pause();
        }
    }

    /** Resumes a suspended process. */
    public void resume() {
        signal("CONT");
    }

    /** Kills the process with SIGKILL and waits until it has exited. */
    public void kill() {
        process.destroyForcibly();
        checkState(awaitExit(KILL_TIMEOUT), "%s did not exit after it was killed", name);
        STARTED.remove(process);
    }

    /** Requests a graceful stop of the process with SIGTERM; does not wait for it. */
    public void terminate() {
        // Unlike the method of the process, this one leaves its output open.
        process.toHandle().destroy();
    }

    /**
     * Waits until the process has exited; returns false if it is still running after the timeout.
     */
    public boolean awaitExit(Duration timeout) {
        try {
            return process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    /** Returns the exit code; the process must have exited. */
    public int exitCode() {
        return process.exitValue();
    }

    /** Kills the process if it is running or suspended. */
    @Override
    public void close() {
        kill();
    }

    private boolean areAllThreadsStopped() {
        try (Stream<Path> threads = Files.list(Path.of("/proc/" + pid() + "/task"))) {
            return threads.allMatch(DaemonProcess::isStopped);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static boolean isStopped(Path thread) {
        try {
            String stat = Files.readString(thread.resolve("stat"));
            // The state follows the name, which is in parentheses and may contain any character.
            return stat.charAt(stat.lastIndexOf(')') + 2) == 'T';
        } catch (IOException e) {
            // The thread has exited.
            return true;
        }
    }

    private void signal(String signal) {
        checkState(process.isAlive(), "%s has exited", name);
        try {
            Process killCommand =
                    new ProcessBuilder("kill", "-" + signal, Long.toString(pid()))
                            .inheritIO()
                            .start();
            checkState(killCommand.waitFor() == 0, "signal %s to %s failed", signal, name);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    private void readLog() {
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                log.add(line);
                if (logLines.incrementAndGet() > MAX_LOG_LINES) {
                    log.poll();
                }
            }
        } catch (IOException e) {
            log.add("reading the log failed: " + e.getMessage());
        }
    }

    /**
     * Returns the class path of this JVM. Surefire may start it with a jar whose manifest contains
     * the class path; it then sets a property with the actual class path.
     */
    private static String classPath() {
        return System.getProperty(
                "surefire.test.class.path", System.getProperty("java.class.path"));
    }

    private static void pause() {
        try {
            Thread.sleep(POLL_INTERVAL);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
