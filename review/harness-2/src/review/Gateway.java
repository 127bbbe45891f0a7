package review;

import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the project, run with the command of the deploy file and with settings as the platform makes them from its template. */
final class Gateway {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final List<Gateway> ALL = new ArrayList<>();
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 32_000;
    private static final Set<Integer> DRAWN = new HashSet<>();
    private static final Random RANDOM = new Random();

    final String name;
    final int callers;
    final int readiness;
    final int metrics;
    final InetSocketAddress peers;
    private final Path settings;
    private final Path log;
    private final Path root;
    private Process process;

    /** A gateway that is not started yet. {@code folder} is where its settings and log go. */
    Gateway(String name, String zone, Path root, Path folder, InetSocketAddress store) throws IOException {
        this.name = name;
        this.root = root;
        callers = freePort();
        readiness = freePort();
        metrics = freePort();
        peers = new InetSocketAddress(LOOPBACK, freePort());
        settings = folder.resolve(name + ".json");
        log = folder.resolve(name + ".log");
        Files.writeString(settings, "{\"settingsVersion\":1,\"name\":\"" + name + "\",\"zone\":\"" + zone + "\",\"callers\":\"127.0.0.1:" + callers
            + "\",\"readiness\":\"127.0.0.1:" + readiness + "\",\"metrics\":\"127.0.0.1:" + metrics + "\",\"host\":\"127.0.0.1\",\"internalPorts\":["
            + peers.getPort() + "," + peers.getPort() + "],\"store\":\"127.0.0.1:" + store.getPort()
            + "\",\"timing\":{\"drainMillis\":2000,\"configurationMillis\":2000,\"reconnectMillis\":3000},\"limits\":{\"coldBurstFactor\":1.5,"
            + "\"coldTolerance\":5,\"repeatRatio\":0.2,\"repeatReserve\":236,\"repeatWindowSeconds\":10,\"graceSeconds\":8}}");
        ALL.add(this);
    }

    void start() throws IOException {
        ProcessBuilder builder = command().redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    /** Returns the process to start, with the environment that the platform gives it. */
    ProcessBuilder command() throws IOException {
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) throw new IOException("deploy/system.toml has no line run = \"...\"");
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" ")).directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("YUCCAFERRY_NODE_FILE", settings.toString());
        return builder;
    }

    void use(Process started) {
        process = started;
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    void awaitEnd(long millis) throws InterruptedException {
        process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    /** Returns the status of the readiness check; 0 if there is no answer within a second. */
    int readyStatus() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", readiness), 1_000);
            socket.setSoTimeout(1_000);
            Http.write(socket, "GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n".getBytes());
            Http.Message head = Http.readHead(socket.getInputStream());
            return head == null ? 0 : Integer.parseInt(head.word(1));
        } catch (IOException unanswered) {
            return 0;
        }
    }

    boolean awaitReady(long millis) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            if (readyStatus() == 200) return true;
            Threads.sleep(50);
        }
        return false;
    }

    Path log() {
        return log;
    }

    static void endAll() {
        for (Gateway gateway : ALL) {
            if (gateway.process == null) continue;
            gateway.process.destroyForcibly();
            try {
                gateway.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Returns a port that is free for TCP and UDP, below those that the system gives to connections that clients open. */
    private static int freePort() throws IOException {
        for (int tries = 0; tries < 100; tries++) {
            int port = RANDOM.nextInt(FIRST_PORT, LAST_PORT);
            if (!DRAWN.add(port)) continue;
            try (ServerSocket socket = new ServerSocket(port, 1, LOOPBACK); DatagramSocket datagrams = new DatagramSocket(port, LOOPBACK)) {
                return port;
            } catch (BindException taken) {
                // Another port is tried.
            }
        }
        throw new IOException("no free port");
    }
}
