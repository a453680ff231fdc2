Feature: A resumable stream survives the loss of its connections

  Scenario Outline: No byte is lost or duplicated when connections break
    When 200 kB pass both ways over <links> connections that break, seed <seed>
    Then both directions arrive byte for byte, and both ends say answered

    Examples:
      | links | seed |
      | 1     | 1    |
      | 1     | 2    |
      | 2     | 3    |
      | 3     | 4    |

  Scenario: A break at each frame boundary of a short flow
    When a short flow is repeated with a break after each number of steps
    Then both directions arrive byte for byte, and both ends say answered

  Scenario: A duplicate Hello has no effect
    When 200 kB pass both ways and copies of the first Hello arrive
    Then both directions arrive byte for byte, and both ends say answered

  Scenario: A peer that never reads fills bounded buffers
    Then a caller that writes on keeps 256 KiB and a holder gets 256 KiB

  Scenario: An answer before the end of the request
    Then the caller has an early answer and both ends say answered

  Scenario: A refusal after bytes were read becomes unknown
    Then a caller whose bytes were read turns refused into unknown

  Scenario: A holder without the flow does not run it on resume
    Then a Hello that resumes an unknown flow gets the outcome unknown

  Scenario: Overlapping Data frames are read once
    Then the pieces 0-4, 2-6, 0-2 and 6-7 are read as 0-7

  Scenario Outline: A frame that violates the protocol ends its connection
    Then a holder rejects the frame "<frame>" because "<problem>"

    Examples:
      | frame             | problem                    |
      | other flow        | names another flow         |
      | no hello          | first frame is not a Hello |
      | hello from future | bytes that were not sent   |
      | gap               | leaves a gap               |
      | beyond window     | beyond the window          |
      | beyond fin        | beyond the Fin             |
      | ack from future   | Ack of bytes               |
      | second fin        | does not fit               |

  Scenario Outline: A message that is not a frame is rejected
    Then the message "<message>" is rejected because "<problem>"

    Examples:
      | message       | problem            |
      | text          | message is text    |
      | empty         | version is missing |
      | version 2     | version is 02      |
      | oversized     | limit is 17408     |
      | garbage       | MessagePack        |
      | short flow id | length >= 16       |
      | long data     | length <= 16384    |
      | bad outcome   | Invalid enum value |
