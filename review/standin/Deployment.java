import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: the platform's store, gateways as processes of their own, and runners. Each gateway has a loopback
 * address of its own, since the port of its metrics is fixed.
 */
final class Deployment implements AutoCloseable {
    /** Code that runs on a thread of its own. */
    interface Task {
        void run() throws Exception;
    }

    static final String HOST = "ficu95.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final int PASSED = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    /** The bounds of the small sites. */
    static final Map<String, String> BOUNDS = Map.of(
        "bounds.drain-ms", "2000",
        "bounds.configuration-apply-ms", "2000",
        "bounds.stable-window-ms", "3000",
        "bounds.cold-burst-factor", "1.5",
        "bounds.cold-tolerance", "5",
        "bounds.retry-budget-ratio", "0.2",
        "bounds.budget-extra-retries", "217",
        "bounds.budget-window-s", "10",
        "bounds.grace-s", "8");
    private static final int IDLE_TIMEOUT_MILLIS = 15_000;
    private static final long READY_MILLIS = 30_000;
    private static final long LONGEST_MILLIS = 115_000;

    final Record record;
    final Store store;
    final List<Gateway> gateways = new ArrayList<>();
    /** The runners at which each request ran, by its id. */
    final Map<String, List<String>> runs = new LinkedHashMap<>();
    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder = Files.createTempDirectory("yuccaferry-review");
    private final String network;
    private boolean isEnded;

    Deployment(Path caseFolder) throws IOException {
        record = new Record(caseFolder);
        long pid = ProcessHandle.current().pid();
        network = "127." + (1 + pid % 250) + "." + (1 + pid / 250 % 250) + ".";
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
        daemon("limit", () -> {
            Thread.sleep(LONGEST_MILLIS);
            record.say("the case took too long");
            end();
            Runtime.getRuntime().halt(NOT_RUN);
        });
        store = new Store(InetAddress.getByName(network + "1"));
    }

    /** Whether the disruption is to take place. */
    static boolean isTroubled() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static void daemon(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (InterruptedException ended) {
                Thread.currentThread().interrupt();
            } catch (IOException ended) {
                // The other side closed the connection.
            } catch (Exception unexpected) {
                unexpected.printStackTrace();
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Starts a runner of a service. */
    Runner runner(String service, int slots, Runner.Behaviour behaviour) throws IOException {
        return new Runner(this, service, slots, InetAddress.getByName(network + "2"), behaviour);
    }

    /** Writes the operator's configuration; the arguments are JSON objects, separated by commas. */
    void configure(int version, String routes, String services) {
        configure(version, routes, services, IDLE_TIMEOUT_MILLIS);
    }

    /** Writes the operator's configuration with a limit on the time for which connections may stay idle. */
    void configure(int version, String routes, String services, int idleTimeoutMillis) {
        store.put("op/config", "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
            + "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":" + idleTimeoutMillis + "},"
            + "\"tenants\":[{\"name\":\"hule930\",\"api-keys\":[\"" + KEY + "\"],\"priority\":1}]}");
    }

    /** Returns a route's JSON. */
    static String route(String name, String prefix, String kind, String service, int timeoutMillis, int attempts, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path-prefix\":\"" + prefix + "\",\"kind\":\"" + kind + "\",\"timeout-ms\":"
            + timeoutMillis + ",\"target-latency-ms\":300,\"priority\":1,\"service\":\"" + service + "\",\"max-attempts\":" + attempts
            + ",\"public\":false,\"stream-resumption\":" + resumable + ",\"sticky-sessions\":" + kind.equals("streaming") + ",\"target-gap-ms\":1000}";
    }

    /** Returns the JSON of a plain service. */
    static String plainService(String name) {
        return "{\"name\":\"" + name + "\",\"health-check-path\":\"/health\",\"connection-limit\":208,\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0}";
    }

    /** Returns the JSON of a service of model runners with the figures of the small sites. */
    static String modelService(String name) {
        return "{\"name\":\"" + name + "\",\"health-check-path\":\"/health\",\"connection-limit\":919,\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":3.0,"
            + "\"cold-per-s\":36.0,\"engine\":{\"slots\":11,\"kv-cache-tokens\":405000,\"stride\":34,\"step_ms\":1.31,\"per_seq_ms\":0.00133,"
            + "\"context_per_k\":0.00213,\"read_per_s\":154000.0,\"pairs_per_m\":0.162,\"chunk\":2048,\"report_lag_ms\":200.0,\"hop-ms\":0.1}}";
    }

    /** Starts gateways and waits until all are ready and registered. */
    void startGateways(int count) throws Exception {
        for (int number = 1; number <= count; number++) {
            String host = network + (10 + number);
            gateways.add(new Gateway(root, folder, "front-" + number, host, freePorts(host), store.address()));
        }
        long end = System.nanoTime() + READY_MILLIS * 1_000_000;
        while (!gateways.stream().allMatch(Gateway::isReady) || store.count("yuccaferry/daemons/") < count) {
            if (System.nanoTime() > end) throw new IOException("the gateways did not become ready");
            Thread.sleep(50);
        }
        // Two rounds of the gateways' watches, after which each knows the others.
        Thread.sleep(3_000);
        record.line(count + " gateways are ready");
    }

    private static int[] freePorts(String host) throws IOException {
        InetAddress address = InetAddress.getByName(host);
        try (ServerSocket front = new ServerSocket(0, 1, address);
            ServerSocket ready = new ServerSocket(0, 1, address);
            DatagramSocket internal = new DatagramSocket(new InetSocketAddress(address, 0))) {
            return new int[] {front.getLocalPort(), ready.getLocalPort(), internal.getLocalPort()};
        }
    }

    synchronized void recordRun(String request, String runner, String startLine) {
        record.line("runner " + runner + " runs " + request + ": " + startLine);
        runs.computeIfAbsent(request, id -> new ArrayList<>()).add(runner);
    }

    synchronized List<String> runsOf(String request) {
        return List.copyOf(runs.getOrDefault(request, List.of()));
    }

    private synchronized void end() {
        if (isEnded) return;
        isEnded = true;
        for (Gateway gateway : gateways) gateway.process.destroyForcibly();
        try (Stream<Path> files = Files.walk(folder)) {
            if (System.getenv("KEEP_LOGS") != null) return;
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) Files.deleteIfExists(file);
        } catch (IOException unfinished) {
            System.err.println("temporary folder not removed: " + unfinished);
        }
    }

    @Override
    public void close() {
        end();
    }

    /** Runs a case and ends the process with its status. */
    static void play(String[] arguments, Case each) {
        int status = NOT_RUN;
        try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
            status = each.run(deployment);
            deployment.record.say(status == BROKEN ? "the rule was broken" : "the rule held");
        } catch (Throwable failure) {
            status = NOT_RUN;
            failure.printStackTrace();
            System.out.println("the case could not run: " + failure);
        }
        System.exit(status);
    }

    /** A case: returns {@link #PASSED}, {@link #BROKEN} or {@link #NOT_RUN}. */
    interface Case {
        int run(Deployment deployment) throws Exception;
    }
}
