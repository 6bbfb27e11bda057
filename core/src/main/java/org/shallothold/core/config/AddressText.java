package org.shallothold.core.config;

import java.util.Arrays;
import java.util.regex.Pattern;

/** Checks addresses written {@code 127.0.0.1:7000} or {@code [::1]:7000}; stateless. */
final class AddressText {

  private static final Pattern V4 = Pattern.compile("(\\d{1,3}\\.){3}\\d{1,3}:\\d{1,5}");
  private static final Pattern V6 = Pattern.compile("\\[[0-9a-f:]{2,39}]:\\d{1,5}");
  private static final int MOST_PORT = 65_535;
  private static final int MOST_OCTET = 255;
  private static final int V6_GROUPS = 8;

  private AddressText() {}

  /** Returns whether a text is an IP address and a port other than 0. */
  static boolean isValid(String text) {
    if (!V4.matcher(text).matches() && !V6.matcher(text).matches()) {
      return false;
    }
    int colon = text.lastIndexOf(':');
    int port = Integer.parseInt(text.substring(colon + 1));
    String host = text.substring(0, colon);
    return port >= 1
        && port <= MOST_PORT
        && (host.startsWith("[") ? isV6(host.substring(1, host.length() - 1)) : isV4(host));
  }

  private static boolean isV4(String host) {
    return Arrays.stream(host.split("\\.", -1))
        .allMatch(part -> Integer.parseInt(part) <= MOST_OCTET);
  }

  // Either all eight groups, or fewer with one "::" for the groups left out.
  private static boolean isV6(String host) {
    int gap = host.indexOf("::");
    if (gap >= 0 && host.indexOf("::", gap + 1) >= 0) {
      return false;
    }
    String full = gap < 0 ? host : host.replace("::", gap == 0 ? "0:" : ":0:").replaceAll(":$", "");
    String[] groups = full.split(":", -1);
    return Arrays.stream(groups).allMatch(group -> group.matches("[0-9a-f]{1,4}"))
        && (gap < 0 ? groups.length == V6_GROUPS : groups.length <= V6_GROUPS);
  }
}
