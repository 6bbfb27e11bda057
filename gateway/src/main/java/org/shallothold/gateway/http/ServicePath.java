package org.shallothold.gateway.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The part of a URI below {@code /services/}. Forms that a service might read as another path are
 * rejected, since a call must not pass as repeatable by the way its path is written.
 *
 * @param service name of the service
 * @param path path below the service, decoded, with a leading slash; decides whether it is an order
 * @param raw path below the service as received, with its query
 */
record ServicePath(String service, String path, String raw) {

  static final String PREFIX = "/services/";

  /**
   * Returns the parts of a URI that starts with {@link #PREFIX}.
   *
   * @throws org.shallothold.core.verdict.ShallotholdException if the path is ambiguous
   */
  static ServicePath parse(String uri) {
    String rest = uri.substring(PREFIX.length());
    int query = rest.indexOf('?');
    String pathPart = query < 0 ? rest : rest.substring(0, query);
    int slash = pathPart.indexOf('/');
    String service = slash < 0 ? pathPart : pathPart.substring(0, slash);
    String encoded = slash < 0 ? "/" : pathPart.substring(slash);
    String decoded = decode(encoded);
    boolean ambiguous =
        decoded.contains("//")
            || decoded.contains("\\")
            || decoded.contains(";")
            || decoded.contains("%")
            || encoded.toLowerCase(java.util.Locale.ROOT).contains("%2f")
            || decoded.chars().anyMatch(Character::isISOControl)
            || Arrays.stream(decoded.split("/", -1))
                .anyMatch(segment -> segment.equals(".") || segment.equals(".."));
    if (ambiguous) {
      throw CompletionReader.malformed("the path can be read in more than one way");
    }
    return new ServicePath(service, decoded, encoded + (query < 0 ? "" : rest.substring(query)));
  }

  private static String decode(String encoded) {
    try {
      // A plus sign stands for itself in a path.
      return URLDecoder.decode(encoded.replace("+", "%2B"), StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      throw CompletionReader.malformed("the path is not correctly percent-encoded");
    }
  }
}
