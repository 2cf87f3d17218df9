package org.chalkhollow

import org.chalkhollow.core.common.Readiness
import org.chalkhollow.model.JobSpec
import org.chalkhollow.simulation.FaultScenario
import org.chalkhollow.simulation.LoadBalancer
import org.chalkhollow.simulation.PeerLinkFaultDraw
import org.chalkhollow.simulation.PeerLinks
import org.chalkhollow.simulation.PollingUser
import org.chalkhollow.simulation.SimulatedController
import org.chalkhollow.simulation.anywhere
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/**
 * Guards against users whose requests fail for as long as a link between two controllers is disturbed, although other
 * controllers could serve them.
 */
class PeerLinkFaultsTest {
    /** Three controllers, users who poll through a load balancer, and faults of the links between controllers. */
    private class Scenario(seed: Long) {
        private val day = FaultScenario(seed)
        val simulation = day.simulation
        val clock = simulation.clock
        val network = simulation.network
        val links = simulation.peerLinks
        val balancer = LoadBalancer(simulation)
        val users = ArrayList<PollingUser>()

        val leader get() = checkNotNull(day.leader()) { "nobody leads" }
        val followers get() = simulation.nodes.filter { it !== leader }

        init {
            network.lossProbability = 0.0
            network.lateProbability = 0.0
            day.begin(jobs = 0, longJobs = 0)
            balancer.start()
            clock.after(8000) { repeat(USER_COUNT) { addUser() } }
            clock.runUntil(START_MS)
        }

        private fun addUser() {
            val id = simulation.users.submit(::job)
            clock.after(1000) { PollingUser(simulation, balancer, id).also(users::add).start() }
        }

        private fun job(spec: JobSpec) = spec.anywhere().copy(tasks = 1, expectedS = 600.0, dueS = null)

        /** The users whose open connection is on [node]. */
        fun usersOn(node: SimulatedController) =
            users.filter { user -> user.connection?.let { it.isOpen && it.node === node } == true }

        fun failedPolls(fromMs: Long) =
            users.sumOf { user -> user.polls.count { it.sentAtMs >= fromMs && !it.isAnswered } }

        fun crashLeader() = day.crashLeader(restartAfterMs = 6000)

        fun runFor(ms: Long) = clock.runUntil(clock.timeMs + ms)

        fun assertRulesHold() = assertEquals(emptyList<String>(), simulation.rules.violations)
    }

    /** A follower that could send nothing to the leader kept its users, and each of their requests failed. */
    @Test
    fun `users leave a follower whose requests do not reach the leader, and it comes back`() {
        val scenario = Scenario(1)
        val follower = scenario.followers.first()
        assertTrue(scenario.usersOn(follower).isNotEmpty(), "no user is on the follower")
        val beganAtMs = scenario.clock.timeMs
        scenario.network.cutOneWay(follower.label, scenario.leader.label, 120_000)
        scenario.runFor(30_000)
        assertEquals(Readiness.LEADER_NOT_RESPONDING, follower.gauges.readiness)
        assertEquals(emptyList<PollingUser>(), scenario.usersOn(follower))
        scenario.runFor(100_000)
        assertTrue(scenario.users.all { it.longestFailureMs() <= MAX_MOVE_MS }, "users were not moved in time")
        assertEquals(0, scenario.failedPolls(beganAtMs + MAX_MOVE_MS))
        scenario.runFor(75_000)
        assertEquals(Readiness.LEADER_IN_CONTACT, follower.gauges.readiness)
        assertTrue(scenario.balancer.isHealthy(follower), "the follower did not come back")
        scenario.assertRulesHold()
    }

    @ParameterizedTest
    @ValueSource(booleans = [true, false])
    fun `users notice nothing while one connection between a follower and the leader is refused`(byLeader: Boolean) {
        val scenario = Scenario(2)
        val beganAtMs = scenario.clock.timeMs
        for (follower in scenario.followers) {
            val (opener, acceptor) = if (byLeader) follower to scenario.leader else scenario.leader to follower
            scenario.links.fail(opener.label, acceptor.label, PeerLinks.Fault.REFUSED, 100_000)
        }
        scenario.runFor(110_000)
        assertEquals(0, scenario.failedPolls(beganAtMs))
        assertEquals(0, scenario.balancer.removals)
        scenario.assertRulesHold()
    }

    /** An older version sends on connections that it opened only, so its users have to be moved. */
    @Test
    fun `users leave a follower when a leader of an older version refuses its connections`() {
        val scenario = Scenario(3)
        val follower = scenario.followers.first()
        scenario.links.oneWayControllers.add(scenario.leader.label)
        scenario.links.fail(follower.label, scenario.leader.label, PeerLinks.Fault.REFUSED, 100_000)
        scenario.runFor(100_000)
        assertEquals(emptyList<PollingUser>(), scenario.usersOn(follower))
        assertTrue(scenario.users.all { it.longestFailureMs() <= MAX_MOVE_MS }, "users were not moved in time")
        scenario.assertRulesHold()
    }

    /** A silent connection is noticed only after a while, so some polls may fail, but nobody has to be moved. */
    @Test
    fun `a silent connection between a follower and the leader moves no user`() {
        val scenario = Scenario(4)
        val beganAtMs = scenario.clock.timeMs
        for (follower in scenario.followers) {
            scenario.links.fail(follower.label, scenario.leader.label, PeerLinks.Fault.SILENT, 100_000)
        }
        scenario.runFor(110_000)
        assertEquals(0, scenario.balancer.removals)
        assertEquals(0, scenario.failedPolls(beganAtMs + 5000))
        scenario.assertRulesHold()
    }

    @Test
    fun `a crash of the leader does not make followers refuse users because of probes`() {
        val scenario = Scenario(5)
        val survivors = scenario.followers
        scenario.crashLeader()
        repeat(300) {
            scenario.runFor(100)
            val refusing = survivors.filter { it.gauges.readiness == Readiness.LEADER_NOT_RESPONDING }
            assertEquals(emptyList<SimulatedController>(), refusing)
        }
        scenario.assertRulesHold()
    }

    /** Draws faults of links in one or both directions, of any length, once or flapping, at one follower or all. */
    @ParameterizedTest
    @ValueSource(longs = [11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30])
    fun `with drawn faults of the links, users find a controller and no follower flaps`(seed: Long) {
        val scenario = Scenario(seed)
        PeerLinkFaultDraw(scenario.simulation).inject(FAULTS_MS)
        scenario.runFor(FAULTS_MS + 75_000)
        scenario.assertRulesHold()
        val failures = scenario.users.map { it.longestFailureMs() }
        assertTrue(failures.all { it < 90_000 }, "the longest failures of users: $failures ms")
        assertTrue(scenario.users.all { it.polls.last().isAnswered }, "users get no response after the faults")
        assertTrue(scenario.simulation.nodes.all { it.acceptsRequests }, "a controller did not come back")
        assertTrue(scenario.balancer.longestWithoutHealthyMs <= MAX_WITHOUT_NODE_MS, "users had no controller")
        assertTrue(scenario.balancer.removals <= MAX_REMOVALS, "${scenario.balancer.removals} removals")
    }

    private companion object {
        const val START_MS = 25_000L
        const val USER_COUNT = 9

        /** Until /up refuses, the load balancer resets the connection, and the next poll is due. */
        const val MAX_MOVE_MS = 25_000L
        const val FAULTS_MS = 240_000L

        /** A change of leader: leader lease, election, and the load balancer's next probes. */
        const val MAX_WITHOUT_NODE_MS = 10_000L

        /** Of three controllers in five minutes; the pause after a removal doubles with each further one. */
        const val MAX_REMOVALS = 15
    }
}
