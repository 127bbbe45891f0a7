package review;

/** Configurations of a small deployment with one service of language models. */
final class Configurations {
    static final String QUOTES = """
        {"name":"quotes","host":"desk.example","path-prefix":"/quotes/","kind":"streaming","timeout-ms":10000,"target-latency-ms":300,"priority":1,
        "service":"llm","max-attempts":2,"public":false,"sticky-sessions":true,"stream-resumption":true,"target-gap-ms":250}""";
    static final String PORTFOLIOS = """
        {"name":"portfolios","host":"desk.example","path-prefix":"/portfolios/","kind":"streaming","timeout-ms":15000,"target-latency-ms":6000,
        "priority":1,"service":"llm","max-attempts":2,"public":false,"sticky-sessions":true,"stream-resumption":true,"target-gap-ms":1000}""";
    static final String BOOKINGS = """
        {"name":"bookings","host":"desk.example","path-prefix":"/bookings/","kind":"unsafe","timeout-ms":1500,"target-latency-ms":100,"priority":1,
        "service":"desk","max-attempts":2,"public":false}""";
    private static final String WHOLE = """
        {"version":%d,"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
        "tenants":[{"name":"studio","api-keys":["key"],"priority":1}],
        "services":[{"name":"llm","health-check-path":"/health","connection-limit":964,"cold-start-s":0,"cold-per-s":0,"engine":{"slots":8,
        "kv-cache-tokens":405000,"stride":34,"step_ms":1.31,"per_seq_ms":0.0013,"context_per_k":0.002,"read_per_s":154000,"pairs_per_m":0.162,
        "chunk":2048,"report_lag_ms":200,"usual":{"prompt":11301,"answer":1266},"hop-ms":0.1}},
        {"name":"desk","health-check-path":"/health","connection-limit":244,"cold-start-s":0,"cold-per-s":0}],
        "routes":[%s]}""";

    private Configurations() {}

    static String of(int version, String... routes) {
        return WHOLE.formatted(version, String.join(",", routes));
    }
}
