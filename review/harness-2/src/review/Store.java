package review;

import java.io.IOException;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BinaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store: items, leases, watches. {@link #put} and {@link #remove} are writes of operators and runners. */
final class Store {
    private static final Pattern PUT = Pattern.compile("\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\",\"lease\":(\\d+)");
    private static final Pattern REMOVE = Pattern.compile("\"remove\":\\[([^\\]]*)\\]");
    private static final Pattern NUMBER = Pattern.compile("\\d+");

    private record Item(String value, long revision, long lease) {}

    /** A write of {@code key}, or its removal if {@code item} is null. */
    private record Event(long revision, String key, Item item) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 100;
    private long lastLease;

    /** Returns a server of this store for one daemon; {@code seen} turns the value of an item into what that daemon reads. */
    Http.Server serve(BinaryOperator<String> seen) throws IOException {
        return new Http.Server((request, socket) -> handle(request, socket, seen));
    }

    /** Like {@link #serve}, but the first write isn't answered, and is done {@code lateMillis} later. */
    Http.Server serveWithLateWrite(long lateMillis, Runnable onLateWrite) throws IOException {
        AtomicBoolean isFirst = new AtomicBoolean(true);
        return new Http.Server((request, socket) -> {
            if (!request.word(1).equals("/-/kv-txn") || !isFirst.getAndSet(false)) return handle(request, socket, (key, value) -> value);
            Thread.sleep(lateMillis);
            answer("/-/kv-txn", Map.of(), request.text(), (key, value) -> value);
            onLateWrite.run();
            // The connection returns nothing further.
            Thread.sleep(Long.MAX_VALUE);
            return false;
        });
    }

    synchronized void put(String key, String value) {
        put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void remove(String key) {
        if (items.remove(key) == null) return;
        revision++;
        record(key, null);
    }

    /** Writes {@code value} unless it is what the store has: a beat that changes nothing but its number doesn't change the entry. */
    synchronized boolean beat(String key, String value) {
        Item item = items.get(key);
        if (item != null && value.equals(new String(Base64.getDecoder().decode(item.value), StandardCharsets.UTF_8))) return false;
        put(key, value);
        return true;
    }

    synchronized long count(String prefix) {
        expire();
        return items.keySet().stream().filter(key -> key.startsWith(prefix)).count();
    }

    private void put(String key, String base64, long lease) {
        revision++;
        items.put(key, new Item(base64, revision, lease));
        record(key, items.get(key));
    }

    private static String json(Event event, BinaryOperator<String> seen) {
        if (event.item != null) return json(event.key, event.item, seen);
        return "{\"key\":\"" + event.key + "\",\"revision\":" + event.revision + ",\"removed\":true}";
    }

    private static String json(String key, Item item, BinaryOperator<String> seen) {
        String value = seen.apply(key, new String(Base64.getDecoder().decode(item.value), StandardCharsets.UTF_8));
        String base64 = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        return "{\"key\":\"" + key + "\",\"value\":\"" + base64 + "\",\"revision\":" + item.revision + ",\"created\":" + item.revision
            + ",\"lease\":" + item.lease + "}";
    }

    private void record(String key, Item item) {
        history.add(new Event(revision, key, item));
        notifyAll();
    }

    private void expire() {
        long now = System.nanoTime() / 1_000_000;
        List<Long> ended = leases.entrySet().stream().filter(entry -> entry.getValue()[1] <= now).map(Map.Entry::getKey).toList();
        for (Long lease : ended) {
            leases.remove(lease);
            List<String> keys = items.entrySet().stream().filter(entry -> entry.getValue().lease == lease).map(Map.Entry::getKey).toList();
            keys.forEach(this::remove);
        }
    }

    private boolean handle(Http.Message request, Socket socket, BinaryOperator<String> seen) throws IOException, InterruptedException {
        String target = request.word(1);
        String path = target.split("\\?")[0];
        Map<String, String> query = new HashMap<>();
        if (target.contains("?")) {
            for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
                query.put(pair.split("=")[0], URLDecoder.decode(pair.substring(pair.indexOf('=') + 1), StandardCharsets.UTF_8));
            }
        }
        String[] answer = answer(path, query, request.text(), seen);
        Http.send(socket, Integer.parseInt(answer[0]), "Store-Era: 1\r\nContent-Type: application/json\r\n", answer[1].getBytes(StandardCharsets.UTF_8));
        return true;
    }

    private synchronized String[] answer(String path, Map<String, String> query, String body, BinaryOperator<String> seen) throws InterruptedException {
        expire();
        if (path.equals("/-/kv-range")) return ok(range(query.getOrDefault("path-prefix", ""), query.get("after"), seen));
        if (path.equals("/-/kv-watch")) return ok(watch(Long.parseLong(query.get("after")), Long.parseLong(query.get("wait-ms")), seen));
        if (path.equals("/-/kv-txn")) return write(body);
        if (path.equals("/-/kv-lease")) {
            Matcher ttl = NUMBER.matcher(body);
            ttl.find();
            leases.put(++lastLease, new long[] {Long.parseLong(ttl.group()), System.nanoTime() / 1_000_000 + Long.parseLong(ttl.group())});
            return ok("{\"lease\":" + lastLease + ",\"ttl-ms\":" + ttl.group() + "}");
        }
        long[] lease = leases.get(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
        if (lease == null) return new String[] {"404", ""};
        boolean isKept = path.startsWith("/-/kv-keep/");
        lease[1] = System.nanoTime() / 1_000_000 + (isKept ? lease[0] : 0);
        expire();
        return ok("{\"ttl-ms\":" + lease[0] + "}");
    }

    private String[] write(String body) {
        Matcher put = PUT.matcher(body);
        while (put.find()) {
            long lease = Long.parseLong(put.group(3));
            if (lease != 0 && !leases.containsKey(lease)) return new String[] {"404", ""};
            put(put.group(1), put.group(2), lease);
        }
        Matcher removed = REMOVE.matcher(body);
        if (removed.find()) {
            for (String key : removed.group(1).replace("\"", "").split(",")) remove(key);
        }
        return ok("{\"revision\":" + revision + "}");
    }

    private String range(String prefix, String after, BinaryOperator<String> seen) {
        List<String> page = new ArrayList<>();
        for (Map.Entry<String, Item> entry : items.entrySet()) {
            if (!entry.getKey().startsWith(prefix) || (after != null && entry.getKey().compareTo(after) <= 0)) continue;
            page.add(json(entry.getKey(), entry.getValue(), seen));
        }
        return "{\"items\":[" + String.join(",", page) + "],\"has-more\":false,\"current-rev\":" + revision + "}";
    }

    private String watch(long after, long waitMillis, BinaryOperator<String> seen) throws InterruptedException {
        long end = System.nanoTime() / 1_000_000 + waitMillis;
        while (revision <= after) {
            long left = end - System.nanoTime() / 1_000_000;
            if (left <= 0) break;
            wait(Math.min(left, 200));
            expire();
        }
        List<String> events = history.stream().filter(event -> event.revision > after).map(event -> json(event, seen)).toList();
        return "{\"events\":[" + String.join(",", events) + "],\"current-rev\":" + revision + "}";
    }

    private static String[] ok(String body) {
        return new String[] {"200", body};
    }
}
