package review;

/** Another writer replaces the entry of a runner by one that lacks fields and names another service. */
public final class EntryWithMissingFields implements Case.Script {
    private static final int BOOKINGS = 40;

    @Override
    public boolean run(Case.Setting setting) throws Exception {
        Record record = setting.record();
        Client client = new Client(record);
        Store store = new Store();
        Plain desk = new Plain("d-0", "desk", "attica-a", record);
        Plain other = new Plain("i-0", "llm", "attica-a", record);
        store.put("servers/" + desk.id, desk.entry());
        store.put("servers/" + other.id, other.entry());
        store.put("op/config", Configurations.of(1, Configurations.BOOKINGS));
        Gateway gateway = new Gateway("front-attica-a-1", "attica-a", setting.root(), setting.temporary(), store.serve((key, value) -> value).address);
        gateway.start();
        if (!gateway.awaitReady(15_000)) throw new IllegalStateException(gateway.name + " isn't ready");
        Threads.sleep(4_000);
        if (setting.hasTrouble()) {
            String entry = other.entry().replace("\"service\":\"llm\"", "\"service\":\"desk\"").replace("\"version\":\"v1\",", "").replace(",\"sequence\":0", "");
            store.put("servers/" + other.id, entry);
            record.say("another writer puts servers/" + other.id + ": " + entry);
        }
        Threads.sleep(4_000);
        for (int number = 0; number < BOOKINGS; number++) {
            client.send(gateway, "POST", "/bookings/" + number, "Api-Key: key\r\n", 1_500).join();
        }
        record.say(other.runs.size() + " of " + BOOKINGS + " bookings were run by the runner of another service");
        return other.runs.isEmpty();
    }
}
