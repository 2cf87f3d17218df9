package org.chalkhollow.core.leadership

import org.chalkhollow.peer.PeerMessage
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** What a follower grants: votes and follower leases, never one against the other. */
class FollowerLeaseTest {
    @Test
    fun `no vote is granted against a follower lease, nor by a process too young to know the leases it granted`() {
        val young = LeadershipBench()
        assertFalse(young.grantsVote(500, seq = 500), "granted by a process that may have granted a lease before")
        assertTrue(young.grantsVote(3_000, seq = 3_000), "refused although every earlier lease has expired")
        val follower = LeadershipBench()
        follower.watch(0, 3_000, revision = 4)
        follower.at(5_000) { onPeer(0, PeerMessage.FollowerLeaseRequest(5, 1, true)) }
        assertFalse(follower.grantsVote(5_500), "granted within a follower lease")
    }

    // The seconds that a process takes until it listens count as well: what it granted before ended before it began.
    @Test
    fun `a process that began long before it listens votes at once, and not before its earlier leases have expired`() {
        assertTrue(LeadershipBench(begunAt = -1810).grantsVote(10), "refused although earlier leases have expired")
        assertFalse(LeadershipBench(begunAt = -1790).grantsVote(10), "granted within an earlier lease")
    }

    @Test
    fun `a voter grants no lease under the older fencing token`() {
        val voter = LeadershipBench()
        voter.at(4_000) { onPeer(1, PeerMessage.VoteRequest(6, 4, 1)) }
        assertFalse(voter.grantsLease(4_100, fencingToken = 5, seq = 9), "granted under token 5 after a vote for 6")
    }

    // A process that is back in no time may have voted just before; its vote may be used until followerLeaseMs after
    // it was asked for.
    @Test
    fun `a restarted controller grants no lease until it has read a record that its forgotten votes would show in`() {
        val restarted = LeadershipBench()
        restarted.watch(0, 1_500, revision = 4)
        assertFalse(restarted.grantsLease(1_600, 5), "granted while a forgotten vote may still be used")
        restarted.watch(1_700, 3_000, revision = 4)
        assertTrue(restarted.grantsLease(3_100, 5), "refused although no forgotten vote can be used any more")
    }
}
