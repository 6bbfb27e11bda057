package org.shallothold.gateway.forward;

import java.util.Collection;
import java.util.List;
import org.shallothold.wire.proto.SendPermitRequest;

/** The live gateways, and the way to their coordinators. */
interface Gateways {

  /** Returns the address by which the gateways know this one. */
  String ownAddress();

  /** Returns the addresses of the live gateways. */
  Collection<String> live();

  /** Returns the addresses of gateways that lately announced that they leave. */
  Collection<String> leaving();

  /** Returns the fraction of the gateways that this one reaches, in (0, 1]. */
  double reachableFraction();

  /** Asks another gateway for a permit; returns false if it is not connected. */
  boolean send(String address, SendPermitRequest request);

  /** Returns the gateways of a fleet of one. */
  static Gateways single() {
    return new Gateways() {
      @Override
      public String ownAddress() {
        return "";
      }

      @Override
      public Collection<String> live() {
        return List.of("");
      }

      @Override
      public Collection<String> leaving() {
        return List.of();
      }

      @Override
      public double reachableFraction() {
        return 1;
      }

      @Override
      public boolean send(String address, SendPermitRequest request) {
        return false;
      }
    };
  }
}
