package org.shallothold.core.config;

import java.util.Arrays;
import java.util.regex.Pattern;

/** Validates addresses of the form {@code 127.0.0.1:7000} or {@code [::1]:7000}. Stateless. */
final class AddressFormat {

  private static final Pattern IPV4_WITH_PORT =
      Pattern.compile("(\\d{1,3}\\.){3}\\d{1,3}:\\d{1,5}");
  private static final Pattern IPV6_WITH_PORT = Pattern.compile("\\[[0-9a-f:]{2,39}]:\\d{1,5}");
  private static final int MAX_PORT = 65_535;
  private static final int MAX_OCTET = 255;
  private static final int IPV6_GROUP_COUNT = 8;

  private AddressFormat() {}

  /**
   * Returns whether a text is an IP address and a port from 1 to 65535. Host names, IPv6 zone
   * indexes and upper-case hexadecimal digits are not accepted.
   */
  static boolean isValid(String text) {
    if (!IPV4_WITH_PORT.matcher(text).matches() && !IPV6_WITH_PORT.matcher(text).matches()) {
      return false;
    }
    int colon = text.lastIndexOf(':');
    int port = Integer.parseInt(text.substring(colon + 1));
    String host = text.substring(0, colon);
    return port >= 1
        && port <= MAX_PORT
        && (host.startsWith("[") ? isIpv6(host.substring(1, host.length() - 1)) : isIpv4(host));
  }

  private static boolean isIpv4(String host) {
    return Arrays.stream(host.split("\\.", -1))
        .allMatch(part -> Integer.parseInt(part) <= MAX_OCTET);
  }

  // Accepts all eight groups, or fewer with a single "::" in place of the omitted groups.
  private static boolean isIpv6(String host) {
    int ellipsis = host.indexOf("::");
    if (ellipsis >= 0 && host.indexOf("::", ellipsis + 1) >= 0) {
      return false;
    }
    String expanded =
        ellipsis < 0 ? host : host.replace("::", ellipsis == 0 ? "0:" : ":0:").replaceAll(":$", "");
    String[] groups = expanded.split(":", -1);
    return Arrays.stream(groups).allMatch(group -> group.matches("[0-9a-f]{1,4}"))
        && (ellipsis < 0 ? groups.length == IPV6_GROUP_COUNT : groups.length <= IPV6_GROUP_COUNT);
  }
}
