Feature: A leaving server gets no new work (G6)

  Scenario: Only the membership list says so
    Given a fleet of 1 gateway, 2 engines and 0 services
    When the platform lists sidecar-engine-2 as leaving
    Then engine-2 soon gets no new work

  Scenario: Only the configuration says so
    Given a fleet of 1 gateway, 2 engines and 0 services
    When the operators mark engine-2 as draining
    Then engine-2 soon gets no new work

  Scenario: Only the sidecar's signal says so
    Given a fleet of 1 gateway, 2 engines and 0 services
    When the fleet is up
    And sidecar-engine-2 is told to stop
    Then engine-2 soon gets no new work
    And sidecar-engine-2 ends with code 0

  Scenario: The gateway is cut off from the platform
    Given a fleet of 1 gateway, 2 engines and 0 services
    And connections that can be cut
    When the fleet is up
    And gateway-1 can't reach platform
    And the operators mark engine-2 as draining
    Then engine-2 soon gets no new work

  Scenario: The sidecar is cut off from the platform and the gateway learns from the list
    Given a fleet of 1 gateway, 2 engines and 0 services
    And connections that can be cut
    When the fleet is up
    And sidecar-engine-2 can't reach platform
    And the platform lists sidecar-engine-2 as leaving
    Then engine-2 soon gets no new work
