package org.fuchsiaspindle.testbed.demo;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.testbed.fleet.EmbeddedFleet;
import org.fuchsiaspindle.testbed.fleet.FleetCaller;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Command line of the demo. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description =
                "Runs a fleet in one JVM, sends one request of each kind and compares the results.")
public final class Demo implements Callable<Integer> {

    private static final int FAILED = 1;
    private static final int MAX_PORT = 65_535;
    private static final String LOG_LEVEL = "FUCHSIASPINDLE_LOG_LEVEL";

    @Spec private CommandSpec spec;

    @Option(names = "--serve", description = "Keeps the fleet running until interrupted.")
    private boolean serve;

    @Option(names = "--port", description = "HTTP port for callers (default: any free port).")
    private int port;

    private Demo() {}

    /** Runs the demo; exits with 0, or with 1 if a result is missing or incorrect. */
    public static void main(String[] args) {
        if (System.getenv(LOG_LEVEL) == null && System.getProperty(LOG_LEVEL) == null) {
            // Keeps the printed results readable: only warnings and errors are logged.
            System.setProperty(LOG_LEVEL, "WARN");
        }
        int code = FAILED;
        try {
            code = new CommandLine(new Demo()).execute(args);
        } catch (Error e) {
            e.printStackTrace();
        } finally {
            // Threads of a fleet that failed to start would keep the JVM alive.
            System.exit(code);
        }
    }

    @Override
    public Integer call() {
        if (port < 0 || port > MAX_PORT) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--port: not between 0 and 65535: " + port);
        }
        PrintWriter out = spec.commandLine().getOut();
        try {
            DemoFleet fleet = DemoFleet.start(port);
            if (serve) {
                serve(fleet, out);
                return 0;
            }
            try (fleet) {
                return runScenario(fleet, out);
            }
        } catch (IllegalStateException | FuchsiaspindleException e) {
            spec.commandLine().getErr().println("error: " + e.getMessage());
            return FAILED;
        }
    }

    private static int runScenario(DemoFleet fleet, PrintWriter out) {
        try (FleetCaller first = FleetCaller.create(fleet.url(0), DemoFleet.CUSTOMER_KEY);
                FleetCaller second = FleetCaller.create(fleet.url(1), DemoFleet.CUSTOMER_KEY)) {
            DemoScenario scenario =
                    new DemoScenario(first, second, fleet.fleet().standIns().serviceLedger(), out);
            int failures = scenario.run();
            out.println(
                    failures == 0
                            ? "all results are correct"
                            : failures + " results are missing or incorrect");
            out.flush();
            return failures == 0 ? 0 : FAILED;
        }
    }

    private static void serve(DemoFleet fleet, PrintWriter out) {
        Runtime.getRuntime().addShutdownHook(new Thread(fleet::close, "demo-stop"));
        out.println(
                "ready "
                        + fleet.url(0)
                        + " key="
                        + DemoFleet.CUSTOMER_KEY
                        + " operator-key="
                        + EmbeddedFleet.OPERATOR_KEY);
        out.flush();
        try {
            // Blocks until the JVM shuts down, when the shutdown hook closes the fleet.
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
