Feature: Accurate refusals (G4)

  Scenario: A sidecar is frozen with the request in its socket buffer until the deadline has passed
    Given a fleet of 1 gateway, 1 engine and 0 services
    And class urgent has a deadline of 1500 ms
    When the fleet is up
    And sidecar-engine-1 is frozen
    And caller A asks gateway 1 for 10 tokens in class urgent
    Then caller A is told not_run|may_have_run
    When sidecar-engine-1 goes on
    And caller B asks gateway 1 for 10 tokens in class standard
    Then caller B gets the complete answer
    And caller A is told may_have_run, or not_run and at most 1 request was started

  Scenario: A queue that is full refuses without running
    Given a fleet of 1 gateway, 1 engine and 0 services
    And each engine runs 2 requests at once, queues 4 and takes 5 ms for a token
    When 40 callers of group many ask for 40 tokens in class standard
    Then every caller of group many gets the complete answer or is told not_run
    And no engine started a request of group many that was refused as not run

  Scenario: Deadlines that race with the start
    Given a fleet of 1 gateway, 1 engine and 0 services
    And class standard has a deadline of 300 ms
    And each engine runs 2 requests at once, queues 64 and takes 5 ms for a token
    When 40 callers of group many ask for 8 tokens in class standard
    Then every caller of group many gets the complete answer or is told not_run|may_have_run
    And no engine started a request of group many that was refused as not run

  Scenario: Callers that give up around the start of their requests
    Given a fleet of 1 gateway, 1 engine and 0 services
    And each engine runs 2 requests at once, queues 64 and takes 5 ms for a token
    When 20 callers of group first ask for 30 tokens in class standard and give up after 100 ms
    And 20 callers of group second ask for 30 tokens in class standard and give up after 400 ms
    Then every caller of group first gets the complete answer or is told given_up
    And every caller of group second gets the complete answer or is told given_up
    And every sidecar is idle
    When caller A asks gateway 1 for 10 tokens in class standard
    Then caller A gets the complete answer

  Scenario: A partition between the gateway and the only sidecar
    Given a fleet of 1 gateway, 1 engine and 0 services
    And class urgent has a deadline of 2000 ms
    And connections that can be cut
    When the fleet is up
    And bytes from gateway-1 to engine-1 are held
    And caller A asks gateway 1 for 10 tokens in class urgent
    Then caller A is told not_run|may_have_run
    When gateway-1 can reach engine-1 again
    And caller B asks gateway 1 for 10 tokens in class standard
    Then caller B is told complete|not_run|may_have_run
    And caller A is told may_have_run, or not_run and at most 1 request was started
