package org.chalkhollow.core.placement

import org.chalkhollow.core.PlacementFixture
import org.chalkhollow.core.acceptDurably
import org.chalkhollow.core.attempts.Allocation
import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.serviceSpec
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Checks when replicas are stopped for a migration, and that the capacity found for one stays reserved for it. */
class ReplicaMigrationTest {
    private val fixture = PlacementFixture()
    private val context = fixture.context
    private val jobs = fixture.jobs
    private val quotas = fixture.quotas
    private val reconciler = fixture.reconciler
    private val fleet = fixture.fleet
    private val migration = ReplicaMigration(context, fleet, quotas, ReplicaPlacement(jobs)) { _, _ -> true }

    private fun service(tasks: Int, change: (JobSpec) -> JobSpec = { it }): OpenJob =
        jobs.acceptDurably(change(serviceSpec("j-1", tasks).copy(taskResources = Resources(2.0, 0.0, 1.0))))

    private fun machine(name: String, zone: Int = 0, cpus: Double = 0.0): Machine =
        fleet.getOrAdd(name).also {
            it.markUp()
            it.describe(0, zone, isSpot = false)
            setFreeCpus(it, cpus)
        }

    /** Sets the free capacity that a placement round finds on the machine. */
    private fun setFreeCpus(machine: Machine, cpus: Double) {
        machine.roundFreeCapacity = Resources(cpus, 0.0, 64.0)
    }

    private fun addRunningAttempt(job: OpenJob, index: Int, machine: Machine): Attempt =
        reconciler.reserve(job, index, 100L + index, machine, null).also {
            it.entered(Attempt.Phase.RUNNING, context.steady)
            job.tasks.runStarted()
        }

    /** Resolves the attempts on [machine], as a heartbeat does that confirms their stop. */
    private fun resolveAttemptsOn(machine: Machine) = reconciler.onMachineGone(machine)

    private fun recordSpotNotice(machine: Machine, inMs: Long) {
        machine.availability.recordSpotNotice(context.steady + inMs)
    }

    @Test
    fun `a replica that fits on no other machine is reported as unplaced and stopped only just before the reclaim`() {
        val job = service(2)
        val old = machine("n-1")
        val full = machine("n-2", cpus = 1.0)
        val replica = addRunningAttempt(job, 0, old)
        addRunningAttempt(job, 1, full)
        assertFalse(migration.hasWork())
        recordSpotNotice(old, 15_000)
        assertTrue(migration.hasWork())
        val plan = migration.plan(listOf(full))
        assertFalse(replica.stopRequested)
        assertEquals(emptyList<Machine>(), plan.stoppedOn)
        assertEquals(listOf(job to 1), plan.unplaced.map { it.job to it.count })
        context.now = Now(13_600, 13_600)
        assertEquals(listOf(old), migration.plan(listOf(full)).stoppedOn, "the machine is about to be reclaimed")
        assertTrue(replica.stopRequested)
    }

    @Test
    fun `replicas of a service migrate one at a time, and the capacity for each stays reserved until it starts`() {
        val job = service(3)
        val old = machine("n-1")
        val other = machine("n-2", cpus = 8.0)
        val replicas = List(3) { addRunningAttempt(job, it, old) }
        old.availability.drain()
        assertEquals(listOf(old), migration.plan(listOf(other)).stoppedOn)
        assertEquals(listOf(true, false, false), replicas.map { it.stopRequested })
        assertEquals(6.0, other.roundFreeCapacity.cpus)
        setFreeCpus(other, 8.0)
        assertEquals(emptyList<Allocation>(), migration.allocateRestarts(listOf(other)), "the old attempt still runs")
        assertEquals(6.0, other.roundFreeCapacity.cpus, "the capacity stays reserved in the next round")
        assertEquals(emptyList<Machine>(), migration.plan(listOf(other)).stoppedOn, "a migration is in progress")

        replicas[0].exited(hasCompleted = false)
        job.tasks.runEnded()
        quotas.remove(job.team, job.taskResources)
        job.tasks.attemptReleased(0)
        setFreeCpus(other, 8.0)
        val started = migration.allocateRestarts(listOf(other)).single()
        assertEquals(listOf(other, listOf(0)), listOf(started.machine, started.tasks.toList()))
        assertEquals(6.0, other.roundFreeCapacity.cpus)
        assertEquals(emptyList<Machine>(), migration.plan(listOf(other)).stoppedOn, "the first is not running yet")
        addRunningAttempt(job, 0, other)
        assertEquals(listOf(old), migration.plan(listOf(other)).stoppedOn)
        assertEquals(listOf(true, true, false), replicas.map { it.stopRequested })
    }

    @Test
    fun `replicas migrate together when the spot termination notice is too short for one at a time`() {
        val job = service(3)
        val old = machine("n-1")
        val other = machine("n-2", cpus = 8.0)
        val replicas = List(3) { addRunningAttempt(job, it, old) }
        recordSpotNotice(old, 10_000)
        migration.plan(listOf(other))
        assertTrue(replicas.all { it.stopRequested })
        assertEquals(2.0, other.roundFreeCapacity.cpus)
        resolveAttemptsOn(old)
        // Zone constraints count attempts on machines, so each start waits for the marker of the previous one.
        setFreeCpus(other, 8.0)
        val first = migration.allocateRestarts(listOf(other)).single()
        addRunningAttempt(job, first.tasks.single(), other)
        setFreeCpus(other, 6.0)
        assertEquals(
            listOf(1),
            migration
                .allocateRestarts(listOf(other))
                .single()
                .tasks
                .toList(),
        )
        assertEquals(2.0, other.roundFreeCapacity.cpus, "capacity for this replica and for the last one")
    }

    @Test
    fun `a machine that has the image is preferred to a fuller one`() {
        val job = service(1)
        val old = machine("n-1")
        val fuller = machine("n-2", cpus = 2.0)
        val withImage = machine("n-3", cpus = 4.0).also { it.images.add(job.image) }
        addRunningAttempt(job, 0, old)
        old.availability.cordon()
        migration.plan(listOf(fuller, withImage))
        assertEquals(listOf(2.0, 2.0), listOf(fuller.roundFreeCapacity.cpus, withImage.roundFreeCapacity.cpus))
    }

    @Test
    fun `the target satisfies spread, not counting the old attempt`() {
        val job = service(4) { it.copy(spread = true) }
        val old = machine("n-1", zone = 0)
        val sameZone = machine("n-2", zone = 0, cpus = 2.0)
        val otherZone = machine("n-3", zone = 1, cpus = 8.0)
        addRunningAttempt(job, 0, old)
        addRunningAttempt(job, 1, sameZone)
        addRunningAttempt(job, 2, otherZone)
        addRunningAttempt(job, 3, otherZone)
        old.availability.drain()
        val plan = migration.plan(listOf(otherZone))
        assertEquals(emptyList<Machine>(), plan.stoppedOn, "the other zone already has two replicas")
        assertEquals(listOf(true, false), listOf(0, 1).map { plan.unplaced.single().admits(it) })
        assertEquals(listOf(old), migration.plan(listOf(otherZone, sameZone)).stoppedOn)
        assertEquals(0.0, sameZone.roundFreeCapacity.cpus)
    }

    @Test
    fun `the target satisfies together`() {
        val job = service(2) { it.copy(together = true) }
        val old = machine("n-1", zone = 0)
        val sameZone = machine("n-2", zone = 0, cpus = 1.0)
        val otherZone = machine("n-3", zone = 1, cpus = 8.0)
        addRunningAttempt(job, 0, old)
        addRunningAttempt(job, 1, sameZone)
        old.availability.drain()
        assertEquals(emptyList<Machine>(), migration.plan(listOf(otherZone, sameZone)).stoppedOn)
        setFreeCpus(sameZone, 2.0)
        assertEquals(listOf(old), migration.plan(listOf(otherZone, sameZone)).stoppedOn)
    }

    /** A migration whose restart is no longer allowed is discarded, and its replica is placed like any ready task. */
    @Test
    fun `reserved capacity is released when the replica may no longer start there`() {
        fun countRestartsAfter(change: ReplicaMigrationTest.(OpenJob, Machine) -> Unit): Int {
            val test = ReplicaMigrationTest()
            val job = test.service(4) { it.copy(spread = true) }
            val old = test.machine("n-1", zone = 0)
            val target = test.machine("n-2", zone = 0, cpus = 8.0)
            test.addRunningAttempt(job, 0, old)
            test.addRunningAttempt(job, 1, test.machine("n-3", zone = 0))
            test.addRunningAttempt(job, 2, test.machine("n-4", zone = 1))
            test.recordSpotNotice(old, 4000)
            test.migration.plan(listOf(target))
            test.resolveAttemptsOn(old)
            test.change(job, target)
            return test.migration.allocateRestarts(listOf(target).filter { !it.availability.hasSpotNotice }).size
        }
        assertEquals(1, countRestartsAfter { _, _ -> })
        assertEquals(
            0,
            countRestartsAfter {
                _,
                target,
                ->
                target.availability.recordSpotNotice(5000)
            },
            "the target is about to be reclaimed",
        )
        assertEquals(
            0,
            countRestartsAfter { _, target -> target.roundFreeCapacity = Resources(1.0, 0.0, 64.0) },
            "the target has too little free capacity",
        )
        assertEquals(
            0,
            countRestartsAfter { job, _ -> addRunningAttempt(job, 3, machine("n-5", zone = 0)) },
            "the target's zone is full",
        )
        assertEquals(0, countRestartsAfter { job, _ -> job.beginCancellation() }, "the service is being cancelled")
        assertEquals(0, countRestartsAfter { job, _ -> job.backoff.pauseUntil(1000) }, "the service is in backoff")
    }

    @Test
    fun `migrations do not exceed the quota of the team`() {
        val job = service(3)
        val old = machine("n-1")
        val other = machine("n-2", cpus = 8.0)
        repeat(3) { addRunningAttempt(job, it, old) }
        recordSpotNotice(old, 5000)
        migration.plan(listOf(other))
        resolveAttemptsOn(old)
        quotas.add(job.team, job.taskResources, 4)
        assertEquals(emptyList<Allocation>(), migration.allocateRestarts(listOf(other)))
    }
}
