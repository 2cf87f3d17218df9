package org.chalkhollow.core.leadership

import org.chalkhollow.peer.PeerMessage
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests that a follower never grants a vote and a follower lease that conflict. */
class FollowerLeaseTest {
    @Test
    fun `no vote is granted during a follower lease, nor while an earlier incarnation's lease may be valid`() {
        val restarted = LeadershipHarness()
        assertFalse(restarted.grantsVote(500, seq = 500), "granted although an earlier lease may be valid")
        assertTrue(restarted.grantsVote(3_000, seq = 3_000), "not granted although every earlier lease has expired")
        val follower = LeadershipHarness()
        follower.watch(0, 3_000, revision = 4)
        follower.at(5_000) { onPeer(0, PeerMessage.FollowerLeaseRequest(5, 1, true)) }
        assertFalse(follower.grantsVote(5_500), "granted during a follower lease")
    }

    // Earlier leases were granted before the process began, so the time until it listens counts as well.
    @Test
    fun `votes are granted once the process has run for longer than an earlier follower lease`() {
        assertTrue(
            LeadershipHarness(processStartedAtMs = -1810).grantsVote(10),
            "not granted although earlier leases have expired",
        )
        assertFalse(LeadershipHarness(processStartedAtMs = -1790).grantsVote(10), "granted during an earlier lease")
    }

    @Test
    fun `a voter grants no lease for an older fencing token`() {
        val voter = LeadershipHarness()
        voter.at(4_000) { onPeer(1, PeerMessage.VoteRequest(6, 4, 1)) }
        assertFalse(voter.grantsLease(4_100, fencingToken = 5, seq = 9), "granted for token 5 after a vote for 6")
    }

    // A controller that restarts quickly may have voted just before, and the candidate may use that vote until
    // followerLeaseMs after it requested it. A campaign that used it is visible in a record that is read after that.
    @Test
    fun `a restarted controller grants no lease until it has read the record after its earlier votes expired`() {
        val restarted = LeadershipHarness()
        restarted.watch(0, 1_500, revision = 4)
        assertFalse(restarted.grantsLease(1_600, 5), "granted while an earlier vote may be used")
        restarted.watch(1_700, 3_000, revision = 4)
        assertTrue(restarted.grantsLease(3_100, 5), "not granted although earlier votes have expired")
    }
}
