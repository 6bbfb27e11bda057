package org.shallothold.gateway.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.config.Customer;

/** Finds the customer of a key. May be shared between threads. */
final class Authenticator {

  private static final String SCHEME = "Bearer ";

  private volatile Index index = new Index(Configuration.EMPTY, Map.of());

  private record Index(Configuration configuration, Map<String, Customer> byDigest) {}

  /**
   * Returns the customer that a header authenticates, or empty.
   *
   * @param authorization value of the header; null if there is none
   */
  Optional<Customer> customer(Configuration configuration, @Nullable String authorization) {
    if (authorization == null
        || !authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
      return Optional.empty();
    }
    byte[] digest = sha256(authorization.substring(SCHEME.length()).trim());
    // The look-up's timing depends on the digest of the key, which says nothing of the key itself.
    return Optional.ofNullable(
            index(configuration).byDigest().get(HexFormat.of().formatHex(digest)))
        .filter(
            customer ->
                MessageDigest.isEqual(digest, HexFormat.of().parseHex(customer.keySha256())));
  }

  private Index index(Configuration configuration) {
    Index known = index;
    if (!known.configuration().version().equals(configuration.version())) {
      known =
          new Index(
              configuration,
              configuration.customers().values().stream()
                  .collect(
                      Collectors.toMap(
                          Customer::keySha256, item -> item, (first, second) -> first)));
      index = known;
    }
    return known;
  }

  private static byte[] sha256(String key) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
