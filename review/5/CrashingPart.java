import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One part of prompts crashes each runner that begins to write an answer on it. Requests with it come at all gateways, among sound requests
 * with the same other parts. Arguments: folder, parts of a prompt, hexadecimal digits of a part's id, gateways.
 */
final class CrashingPart {
    private static final int RUNNERS = 6;
    private static final int SLOTS = 11;
    /** Time before, with and after requests with the part. */
    private static final long CALM_MILLIS = 2_000;
    private static final long BAD_MILLIS = 22_000;
    /** Pauses between requests: one in twenty has the part. */
    private static final long SOUND_PAUSE_MILLIS = 50;
    private static final long BAD_PAUSE_MILLIS = 1_000;
    private static final int FIRST_TOKENS = 40;
    private static final int PART_TOKENS = 200;
    /** Time in which a runner reads a prompt, and after which it is back from a crash. */
    private static final long READ_MILLIS = 40;
    private static final long BACK_MILLIS = 2_000;
    private static final int DEADLINE_MILLIS = 10_000;
    /** Crashes, seconds after the last of them, and requests that may then still reach runners. */
    private static final int CRASHES = 5;
    private static final double STABLE_SECONDS = 3.0;
    private static final int ALLOWED = 3;

    private final Deployment deployment;
    private final int parts;
    private final int digits;
    private final int gateways;
    private final String badPart;
    private final List<Double> crashes = Collections.synchronizedList(new ArrayList<>());
    private final List<Double> badArrivals = Collections.synchronizedList(new ArrayList<>());
    private final Set<String> served = ConcurrentHashMap.newKeySet();
    private volatile int soundSent = 0;

    private CrashingPart(Deployment deployment, int parts, int digits, int gateways) {
        this.deployment = deployment;
        this.parts = parts;
        this.digits = digits;
        this.gateways = gateways;
        badPart = partId(0xbad);
    }

    public static void main(String[] arguments) {
        int parts = Integer.parseInt(arguments[1]);
        int digits = Integer.parseInt(arguments[2]);
        int gateways = Integer.parseInt(arguments[3]);
        Deployment.play(arguments, deployment -> new CrashingPart(deployment, parts, digits, gateways).run());
    }

    private int run() throws Exception {
        deployment.configure(7, Deployment.route("quick", "/lohu930/", "streaming", "brush", DEADLINE_MILLIS, 2, true), Deployment.modelService("brush"));
        for (int number = 0; number < RUNNERS; number++) deployment.runner("brush", SLOTS, this::serve);
        deployment.startGateways(gateways);

        long start = System.nanoTime();
        long badFrom = start + CALM_MILLIS * 1_000_000;
        long badUntil = badFrom + BAD_MILLIS * 1_000_000;
        long end = badUntil + CALM_MILLIS * 1_000_000;
        Deployment.daemon("sound clients", () -> {
            for (int number = 0; System.nanoTime() < end; number++) {
                send(number, partId(1), "sound");
                soundSent = number + 1;
                Thread.sleep(SOUND_PAUSE_MILLIS);
            }
        });
        Thread.sleep(CALM_MILLIS);
        for (int number = 0; System.nanoTime() < badUntil; number++) {
            if (Deployment.isTroubled()) send(number, badPart, "bad");
            Thread.sleep(BAD_PAUSE_MILLIS);
        }
        Thread.sleep(2 * CALM_MILLIS);
        return judge();
    }

    private void serve(Call call) throws Exception {
        boolean isBad = call.head.get("Prompt-Prefix").contains(badPart + ":");
        if (isBad) badArrivals.add(deployment.record.seconds());
        Thread.sleep(READ_MILLIS);
        call.run();
        if (!isBad) {
            call.stream(3, 30);
            return;
        }
        crashes.add(deployment.record.seconds());
        call.runner.crash(BACK_MILLIS);
    }

    private void send(int number, String firstPart, String kind) {
        Gateway gateway = deployment.gateways.get(number % gateways);
        Deployment.daemon("client", () -> {
            String id = Client.newId();
            try (Client client = new Client(gateway.callers, DEADLINE_MILLIS)) {
                int tokens = FIRST_TOKENS + (parts - 1) * PART_TOKENS;
                String headers = "Model: m\r\nToken-Counts: " + tokens + ",100\r\nPrompt-Prefix: " + prompt(firstPart) + "\r\n";
                client.send(Client.request("POST", "/lohu930/2f", id, DEADLINE_MILLIS, headers, "{}"));
                Client.Answer answer = client.read();
                deployment.record.line(kind + " request " + id + " at gateway " + (number % gateways + 1) + " gets: " + answer);
                if (answer.isComplete && answer.status == 200 && kind.equals("sound")) served.add(id);
            }
        });
    }

    /** Returns the parts of a prompt: the first one, those that all prompts share, and one of its own. */
    private String prompt(String firstPart) {
        StringBuilder text = new StringBuilder(firstPart).append(':').append(FIRST_TOKENS);
        for (int part = 2; part < parts; part++) text.append(',').append(partId(part)).append(':').append(PART_TOKENS);
        return text.append(',').append(partId((int) (System.nanoTime() & 0x7fffffff))).append(':').append(PART_TOKENS).toString();
    }

    /** Returns an id of a part, which looks like a digest and is the same for the same number. */
    private String partId(int number) {
        java.util.Random random = new java.util.Random(number);
        StringBuilder id = new StringBuilder();
        while (id.length() < digits) id.append(Integer.toHexString(random.nextInt(16)));
        return id.toString();
    }

    private int judge() {
        if (crashes.size() < CRASHES) {
            deployment.record.say(String.format("%d crashes; %d of %d sound requests served", crashes.size(), served.size(), soundSent));
            return Deployment.PASSED;
        }
        List<Double> sorted = new ArrayList<>(crashes);
        Collections.sort(sorted);
        double from = sorted.get(CRASHES - 1) + STABLE_SECONDS;
        long late = badArrivals.stream().filter(at -> at > from).count();
        deployment.record.say(String.format("the fifth crash came at %.2f s; %d requests with the part reached runners later than %.0f s after it, until"
            + " %.2f s; %d crashes in all; %d of %d sound requests served", sorted.get(CRASHES - 1), late, STABLE_SECONDS, Collections.max(badArrivals),
            crashes.size(), served.size(), soundSent));
        return late > ALLOWED ? Deployment.BROKEN : Deployment.PASSED;
    }
}
