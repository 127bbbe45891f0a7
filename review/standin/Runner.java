import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A runner of a service. It registers itself in the store, answers 421 to requests for another instance, and leaves everything else to its
 * behaviour.
 */
final class Runner {
    /** Answers the requests for this runner. */
    interface Behaviour {
        void serve(Call call) throws Exception;
    }

    /** Time for which a model runner is cold after its start, as the configuration says. */
    private static final long COLD_MILLIS = 3_000;
    private static final AtomicInteger NUMBERS = new AtomicInteger();

    private final Deployment deployment;
    private final String service;
    private final int slots;
    private final InetAddress host;
    private final Behaviour behaviour;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket listener;
    private volatile long born;
    private volatile int port;
    private volatile long coldMillis;
    volatile String id;

    Runner(Deployment deployment, String service, int slots, InetAddress host, Behaviour behaviour) throws IOException {
        this.deployment = deployment;
        this.service = service;
        this.slots = slots;
        this.host = host;
        this.behaviour = behaviour;
        start();
    }

    private void start() throws IOException {
        listen();
        id = "i-" + Integer.toHexString(0x7f3a0000 + NUMBERS.incrementAndGet());
        born = System.currentTimeMillis();
        register("ready");
    }

    /** Starts during traffic: the runner is cold at first, and says so in its entry. */
    private void startCold() throws Exception {
        coldMillis = COLD_MILLIS;
        start();
        String started = id;
        Thread.sleep(COLD_MILLIS);
        coldMillis = 0;
        if (listener != null && started.equals(id)) register("ready");
    }

    private void listen() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(host, port), 200);
        listener = socket;
        port = socket.getLocalPort();
        Deployment.daemon("runner", () -> accept(socket));
    }

    /** Writes this runner's entry in the store. */
    void register(String state) {
        deployment.store.put("servers/" + id, entry(state));
    }

    private String entry(String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + host.getHostAddress() + ":" + port + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":"
            + slots + ",\"state\":\"" + state + "\",\"cold-remaining-ms\":" + coldMillis + ",\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
            + "\"sequence\":1,\"born\":" + born + "}";
    }

    /** Ends at once, as a process that crashes; its entry expires after three heartbeats, and it is back under a new id after some time. */
    synchronized void crash(long backAfterMillis) {
        ServerSocket ended = listener;
        if (ended == null) return;
        listener = null;
        String endedId = id;
        deployment.record.line("runner " + endedId + " crashes");
        closeQuietly(ended);
        for (Socket each : connections) reset(each);
        Deployment.daemon("expiry", () -> {
            Thread.sleep(3_600);
            deployment.store.remove("servers/" + endedId);
        });
        Deployment.daemon("restart", () -> {
            Thread.sleep(backAfterMillis);
            deployment.record.line("runner " + endedId + " comes back, cold, under a new id");
            startCold();
        });
    }

    private void accept(ServerSocket socket) throws Exception {
        while (true) {
            Socket connection;
            try {
                connection = socket.accept();
            } catch (IOException closed) {
                return;
            }
            connections.add(connection);
            Deployment.daemon("runner connection", () -> serve(connection));
        }
    }

    private void serve(Socket connection) throws Exception {
        try (connection) {
            connection.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                Http.readRequestBody(in, head);
                String expected = head.get("Expected-Instance");
                if (expected != null && !expected.equals(id)) {
                    out.write(Http.bytes("HTTP/1.1 421 Misdirected Request\r\nInstance: " + id + "\r\nContent-Length: 0\r\n\r\n"));
                } else if (head.target().equals("/-/report")) {
                    out.write(Http.json(200, "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"sequence\":1,"
                        + "\"queue-depth\":0,\"active-requests\":0,\"kv-cache-used\":0,\"kv-cache-total\":405000,\"handles\":0,\"tickets\":[],\"born\":" + born + "}"));
                } else if (head.target().equals("/health")) {
                    out.write(Http.bytes("HTTP/1.1 200 OK\r\nInstance: " + id + "\r\nContent-Length: 0\r\n\r\n"));
                } else {
                    behaviour.serve(new Call(deployment, this, head, out, connection));
                }
                out.flush();
            }
        } catch (IOException ended) {
            // The gateway closes a connection when its request is over.
        } finally {
            connections.remove(connection);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException ignored) {
            // It is closed already.
        }
    }

    private static void closeQuietly(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // It is closed already.
        }
    }
}
