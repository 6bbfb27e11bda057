Feature: Priorities and progress (G1, G2)

  Scenario: A burst of a low class does not cost the high class a request, and still progresses
    Given a fleet of 1 gateway, 1 engine and 0 services
    And each engine runs 4 requests at once, queues 8 and takes 5 ms for a token
    When 6 callers of group high keep asking for 20 tokens in class urgent
    And 80 callers of group low ask for 10 tokens in class bulk
    Then group low gets 2 complete answers while group high still asks
    And nobody in group high is refused
    And every caller of group low gets the complete answer or is told not_run

  Scenario: A request of the high class preempts the low class, which is resumed without a gap
    Given a fleet of 1 gateway, 1 engine and 0 services
    And each engine runs 2 requests at once, queues 8 and takes 10 ms for a token
    When 2 callers of group low ask for 150 tokens in class bulk
    And an engine runs a request
    And 4 callers of group high ask for 20 tokens in class urgent
    Then nobody in group high is refused
    And every caller of group low gets the complete answer

  Scenario: A burst of a low class while an engine crashes
    Given a fleet of 2 gateways, 2 engines and 0 services
    And each engine runs 4 requests at once, queues 16 and takes 5 ms for a token
    When 4 callers of group high keep asking for 20 tokens in class urgent
    And 60 callers of group low ask for 10 tokens in class bulk
    And engine-1 is killed
    Then group low gets 2 complete answers while group high still asks
    And every caller of group high gets the complete answer or is told may_have_run
    And every caller of group low gets the complete answer or is told not_run|may_have_run
