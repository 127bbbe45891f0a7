import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store: items, watches and leases, in memory. */
final class Store {
    private static final Pattern PUT = Pattern.compile("\\{\"key\":\"([^\"]+)\",\"value\":\"([^\"]*)\",\"lease\":(\\d+)\\}");
    private static final Pattern NUMBER = Pattern.compile("\\d+");

    private static final class Item {
        final String value;
        final long revision;
        final long lease;

        Item(String value, long revision, long lease) {
            this.value = value;
            this.revision = revision;
            this.lease = lease;
        }

        String json(String key) {
            return "{\"key\":\"" + key + "\",\"value\":\"" + value + "\",\"revision\":" + revision + ",\"created\":" + revision
                + ",\"lease\":" + lease + "}";
        }
    }

    private final ServerSocket listener;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final TreeMap<Long, String> history = new TreeMap<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private long revision = 100;
    private long lastLease = 0;

    Store(InetAddress address) throws IOException {
        listener = new ServerSocket(0, 200, address);
        Deployment.daemon("store", this::accept);
        Deployment.daemon("leases", this::expireLeases);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Writes an item as the operator or a runner does. */
    synchronized void put(String key, String json) {
        putEncoded(key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void remove(String key) {
        if (items.remove(key) == null) return;
        revision++;
        history.put(revision, "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"removed\":true}");
        notifyAll();
    }

    /** Number of daemons that have registered. */
    synchronized int count(String prefix) {
        return items.subMap(prefix, prefix + '\uffff').size();
    }

    private void putEncoded(String key, String value, long lease) {
        revision++;
        Item item = new Item(value, revision, lease);
        items.put(key, item);
        history.put(revision, item.json(key));
        notifyAll();
    }

    private void accept() throws Exception {
        while (true) {
            Socket socket = listener.accept();
            Deployment.daemon("store call", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                String body = new String(Http.readRequestBody(in, head), StandardCharsets.UTF_8);
                out.write(answer(head.method(), head.target(), body));
                out.flush();
            }
        }
    }

    private byte[] answer(String method, String target, String body) throws InterruptedException {
        String path = target.split("\\?")[0];
        Map<String, String> query = query(target);
        String prefix = query.getOrDefault("path-prefix", "");
        if (path.equals("/-/kv-range")) return Http.json(200, range(prefix, query.get("after")));
        if (path.equals("/-/kv-watch")) {
            return Http.json(200, watch(prefix, Long.parseLong(query.get("after")), Long.parseLong(query.get("wait-ms"))));
        }
        if (path.equals("/-/kv-txn")) return write(body);
        if (path.equals("/-/kv-lease")) return grant(body);
        if (path.startsWith("/-/kv-keep/")) return keep(Long.parseLong(path.substring("/-/kv-keep/".length())), false);
        if (path.startsWith("/-/kv-lease-end/")) return keep(Long.parseLong(path.substring("/-/kv-lease-end/".length())), true);
        return Http.json(404, "{}");
    }

    private synchronized String range(String prefix, String after) {
        List<String> found = new ArrayList<>();
        for (Map.Entry<String, Item> entry : items.entrySet()) {
            if (entry.getKey().startsWith(prefix) && (after == null || entry.getKey().compareTo(after) > 0)) {
                found.add(entry.getValue().json(entry.getKey()));
            }
        }
        return "{\"items\":[" + String.join(",", found) + "],\"has-more\":false,\"current-rev\":" + revision + "}";
    }

    private synchronized String watch(String prefix, long after, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        List<String> events = new ArrayList<>();
        while (true) {
            for (String event : history.tailMap(after, false).values()) if (event.startsWith("{\"key\":\"" + prefix)) events.add(event);
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) break;
            wait(left);
        }
        return "{\"events\":[" + String.join(",", events) + "],\"current-rev\":" + revision + "}";
    }

    private synchronized byte[] write(String body) {
        Matcher put = PUT.matcher(body);
        List<String[]> puts = new ArrayList<>();
        while (put.find()) puts.add(new String[] {put.group(1), put.group(2), put.group(3)});
        for (String[] each : puts) if (!each[2].equals("0") && !leases.containsKey(Long.parseLong(each[2]))) return Http.json(404, "{}");
        for (String[] each : puts) putEncoded(each[0], each[1], Long.parseLong(each[2]));
        return Http.json(200, "{\"revision\":" + revision + "}");
    }

    private synchronized byte[] grant(String body) {
        Matcher number = NUMBER.matcher(body);
        if (!number.find()) return Http.json(400, "{}");
        long ttl = Long.parseLong(number.group());
        leases.put(++lastLease, new long[] {ttl, System.nanoTime() + ttl * 1_000_000});
        return Http.json(200, "{\"lease\":" + lastLease + ",\"ttl-ms\":" + ttl + "}");
    }

    private synchronized byte[] keep(long id, boolean end) {
        long[] lease = leases.get(id);
        if (lease == null) return Http.json(404, "{}");
        lease[1] = System.nanoTime() + (end ? 0 : lease[0] * 1_000_000);
        if (end) expire();
        return Http.json(200, "{\"ttl-ms\":" + lease[0] + "}");
    }

    private void expireLeases() throws InterruptedException {
        while (true) {
            Thread.sleep(50);
            expire();
        }
    }

    private synchronized void expire() {
        long now = System.nanoTime();
        leases.values().removeIf(lease -> lease[1] <= now);
        for (String key : new ArrayList<>(items.keySet())) {
            long lease = items.get(key).lease;
            if (lease != 0 && !leases.containsKey(lease)) remove(key);
        }
    }

    private static Map<String, String> query(String target) {
        Map<String, String> values = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark < 0) return values;
        for (String pair : target.substring(mark + 1).split("&")) {
            int equals = pair.indexOf('=');
            values.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return values;
    }
}
