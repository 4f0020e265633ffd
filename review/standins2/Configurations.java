/** Writes configurations as the operator sends them. */
final class Configurations {
    private Configurations() {}

    /** Returns a configuration of one service without an engine. */
    static String of(int version, String routes, String tenants) {
        return "{\"version\":" + version
                + ",\"routes\":[" + routes
                + "],\"services\":[{\"name\":\"plain\",\"healthPath\":\"/healthz\","
                + "\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}]"
                + (tenants.isEmpty() ? "" : ",\"tenants\":[" + tenants + "]")
                + ",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }

    static String route(
            String name, String prefix, String type, int timeoutMillis, boolean isPublic) {
        return "{\"name\":\"" + name
                + "\",\"host\":\"a.example\",\"pathPrefix\":\"" + prefix
                + "\",\"type\":\"" + type
                + "\",\"timeoutMs\":" + timeoutMillis
                + ",\"targetLatencyMs\":1000,\"priority\":0,\"service\":\"plain\",\"maxAttempts\":2,"
                + "\"public\":" + isPublic + "}";
    }

    /** Returns a tenant without a limit. */
    static String tenant(String name, String keys) {
        return "{\"name\":\"" + name + "\",\"apiKeys\":[" + keys + "]}";
    }
}
