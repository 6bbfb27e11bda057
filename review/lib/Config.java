import java.util.ArrayList;
import java.util.List;

/** Writes configurations as the operator does. */
final class Config {

  private final long version;
  private final List<String> routes = new ArrayList<>();
  private final List<String> services = new ArrayList<>();

  Config(long version) {
    this.version = version;
  }

  Config service(String name) {
    services.add(
        "{\"Name\":\"%s\",\"HealthPath\":\"/health\",\"ConnectionLimit\":110,\"Protocol\":\"h1\",\"Tls\":false}"
            .formatted(name));
    return this;
  }

  /** Adds a service of model engines. */
  Config engines(String name) {
    services.add(
        ("{\"Name\":\"%s\",\"HealthPath\":\"/health\",\"ConnectionLimit\":370,\"Protocol\":\"h1\","
                + "\"Tls\":false,\"Engine\":{\"Slots\":64,\"KvCapacityTokens\":573116,"
                + "\"TokenKvBytes\":163840,\"LinkMbps\":260000.0,\"Moves\":true,\"Backups\":true,"
                + "\"Stride\":5,\"most\":12,\"PinMs\":4000.0,\"HoldMs\":2000.0,\"HandleS\":5.0,"
                + "\"Models\":[{\"Name\":\"m\"}]}}")
            .formatted(name));
    return this;
  }

  /** Adds a route for streams that may be resumed. */
  Config streams(String prefix, String service, int timeoutMillis) {
    routes.add(
        ("{\"Name\":\"r%d\",\"Host\":\"%s\",\"Prefix\":\"%s\",\"Kind\":\"streaming\",\"TimeoutMs\":%d,"
                + "\"TargetLatencyMs\":500,\"Priority\":1,\"Service\":\"%s\",\"MaxAttempts\":2,"
                + "\"Anonymous\":false,\"Sticky\":true,\"Resumable\":true,\"GapTargetMs\":300}")
            .formatted(routes.size(), Lab.HOST, prefix, timeoutMillis, service));
    return this;
  }

  Config route(String prefix, String kind, String service, int timeoutMillis, int attempts) {
    routes.add(
        ("{\"Name\":\"r%d\",\"Host\":\"%s\",\"Prefix\":\"%s\",\"Kind\":\"%s\",\"TimeoutMs\":%d,"
                + "\"TargetLatencyMs\":500,\"Priority\":1,\"Service\":\"%s\",\"MaxAttempts\":%d,"
                + "\"Anonymous\":false,\"Sticky\":false,\"GapTargetMs\":300}")
            .formatted(routes.size(), Lab.HOST, prefix, kind, timeoutMillis, service, attempts));
    return this;
  }

  String json() {
    return ("{\"Version\":%d,\"Routes\":[%s],\"Services\":[%s],\"Limits\":{\"MaxHeaderBytes\":16384,"
            + "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
            + "\"Tenants\":[{\"Name\":\"north\",\"ApiKeys\":[\"%s\"],\"Priority\":1}]}")
        .formatted(version, String.join(",", routes), String.join(",", services), Lab.KEY);
  }
}
