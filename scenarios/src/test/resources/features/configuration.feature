Feature: A configuration is in force everywhere and is never reverted (G8)

  Scenario: The platform is down
    Given a fleet of 2 gateways, 2 engines and 0 services
    When the operators publish a patch
    Then version 2 is in force in every process
    When fault down of platform is on
    And sidecar-engine-1 is killed
    And sidecar-engine-1 is started again and connected
    Then version 2 is in force in sidecar-engine-1
    When caller A asks gateway 1 for 20 tokens in class standard
    Then caller A gets the complete answer

  Scenario: The platform is stale, and then current
    Given a fleet of 1 gateway, 1 engine and 0 services
    When fault stale_at of platform is 1
    And the operators publish a patch
    And caller A asks gateway 1 for 20 tokens in class standard
    Then caller A gets the complete answer
    And every process still holds version 1
    When fault stale_at of platform is off
    Then version 2 is in force in every process

  Scenario: The platform is rolled back, and a process restarts beside it
    Given a fleet of 2 gateways, 1 engine and 0 services
    When the operators publish a patch
    Then version 2 is in force in every process
    When fault rolled_back_to of platform is 1
    And sidecar-engine-1 is killed
    And sidecar-engine-1 is started again and connected
    Then version 2 is in force in sidecar-engine-1
    When gateway-1 is killed
    And gateway-1 is started again and connected
    Then version 2 is in force in gateway-1
    And every process still holds version 2

  Scenario: A process is frozen over a change
    Given a fleet of 1 gateway, 2 engines and 0 services
    When the fleet is up
    And sidecar-engine-1 is frozen
    And the operators publish a patch
    Then version 2 is in force in gateway-1
    When sidecar-engine-1 goes on
    Then version 2 is in force in every process

  Scenario: A process is frozen over a change, and the platform is down when it goes on
    Given a fleet of 1 gateway, 2 engines and 0 services
    When the fleet is up
    And sidecar-engine-1 is frozen
    And the operators publish a patch
    Then version 2 is in force in gateway-1
    When fault down of platform is on
    And sidecar-engine-1 goes on
    Then version 2 is in force in every process

  Scenario: Only one process reaches the platform
    Given a fleet of 2 gateways, 1 engine and 0 services
    And connections that can be cut
    When the fleet is up
    And gateway-1 can't reach platform
    And sidecar-engine-1 can't reach platform
    And the operators publish a patch
    Then version 2 is in force in every process

  Scenario: Two patches on one base
    Given a fleet of 2 gateways, 1 engine and 0 services
    When the operators publish two patches on one base
    Then version 2 is in force in every process
    And no process has seen two histories
