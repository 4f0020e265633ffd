/** Documents of a small deployment, in the form of the pages. */
final class Configurations {
    static final String HOST = "ficu95.example";
    static final String ENGINE_PREFIX = "/pufi791/";
    static final String PLAIN_PREFIX = "/puxa403/";
    static final String PLAIN_SERVICE = "wuno96b";
    static final String ENGINE_SERVICE = "huvo11a";
    static final String MODEL = "daka510000";
    static final String KEY = "i9n73hh2b9wu3fexd9dn";

    private Configurations() {}

    /** Returns a configuration with one stream route that cannot be resumed, and a plain route. */
    static String of(long version, int attempts) {
        return of(
                version,
                attempts,
                "{\"name\":\"hule930\",\"apiKeys\":[\"" + KEY
                        + "\"],\"priority\":1,\"unit\":\"token_count\",\"plainTokens\":200,"
                        + "\"ratePerS\":97861,\"burst\":97861}");
    }

    /** Returns the same configuration with the given tenants. */
    static String of(long version, int attempts, String tenants) {
        return "{\"version\":" + version + ",\"routes\":["
                + "{\"name\":\"r-828m82t\",\"host\":\"" + HOST + "\",\"pathPrefix\":\""
                + ENGINE_PREFIX + "\",\"type\":\"streaming\",\"timeoutMs\":20000,"
                + "\"targetLatencyMs\":1000,\"priority\":1,\"service\":\"" + ENGINE_SERVICE
                + "\",\"maxAttempts\":" + attempts
                + ",\"public\":false,\"sticky\":true,\"resumable\":false,\"targetGapMs\":300},"
                + "{\"name\":\"r-nr26tta\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"" + PLAIN_PREFIX + "\","
                + "\"type\":\"non_idempotent\",\"timeoutMs\":800,\"targetLatencyMs\":300,"
                + "\"priority\":2,\"service\":\"wuno96b\",\"maxAttempts\":1,\"public\":false}],"
                + "\"services\":[{\"name\":\"" + ENGINE_SERVICE + "\",\"healthPath\":\"/healthz\","
                + "\"maxConnections\":230,\"protocol\":\"h1\",\"tls\":false,\"engine\":{"
                + "\"slots\":32,\"kvCapacityTokens\":118708,\"kvBytes\":327680,"
                + "\"linkMbps\":260000.0,\"moves\":true,\"backups\":true,\"stride\":6,\"cap\":12,"
                + "\"hostMb\":130000.0,\"diskMb\":400000.0,\"pinMs\":4000.0,\"holdMs\":2000.0,"
                + "\"handle_s\":5.0,\"models\":[{\"name\":\"" + MODEL
                + "\",\"weightsMb\":34300.0,\"loadS\":1.3,\"adapters\":3000,\"adapterMb\":40.0,"
                + "\"warmS\":0.28,\"diskS\":0.52}],\"weightsMb\":35800.0,\"adapterSlots\":21,"
                + "\"loadsPerS\":4.8}},{\"name\":\"wuno96b\",\"healthPath\":\"/healthz\","
                + "\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"tenants\":[" + tenants + "]}";
    }
}
