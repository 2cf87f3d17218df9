package org.chalkhollow.core.placement

import org.chalkhollow.core.acceptDurably
import org.chalkhollow.core.attempts.Allocation
import org.chalkhollow.core.attempts.AttemptReconciler
import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CloudOp
import org.chalkhollow.core.common.CloudReply
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Input
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.fleet.StaticMachines
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.core.serviceSpec
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.MachineType
import org.chalkhollow.model.Resources
import org.chalkhollow.model.Team
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.simulation.Simulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Which replicas are stopped when, and that the room found for one is held for it. */
class ReplicaMigrationTest {
    private val context = CoreContext(1).also { it.now = Now(0, 0) }
    private val settings = Simulation(1).settings
    private val names = Interners().apply { teams.intern("t") }
    private val jobs = JobTable(context, names, settings.stateLimits)
    private val quotas = Quotas(listOf(Team("t", 8.0, 8.0, 0.0, 0.0)))
    private val reconciler = AttemptReconciler(context, jobs, quotas) { 1 }
    private val fleet =
        Fleet(
            context,
            names,
            settings,
            OperatorSettings(),
            "a",
            StaticMachines(context, settings.stateLimits),
        ).also { fleet ->
            fleet.tick(leading = false, unplaced = emptyList(), mayScaleOut = false)
            val request = context.drain().filterIsInstance<Effect.Cloud>().single { it.op == CloudOp.Catalog }
            val small = MachineType("small", EIGHT, 1.0, 20.0, 0.5, 0.2, 5.0, listOf("east", "west"))
            context.reply(Input.Cloud(request.ticket, CloudReply.Catalog(listOf(small))))
        }
    private val migration = ReplicaMigration(context, fleet, quotas, Replicas(jobs)) { _, _ -> true }

    private fun service(tasks: Int, change: (JobSpec) -> JobSpec = { it }): OpenJob =
        jobs.acceptDurably(change(serviceSpec("j-1", tasks).copy(taskResources = Resources(2.0, 0.0, 1.0))))

    private fun machine(name: String, zone: Int = 0, cpus: Double = 0.0): Machine =
        fleet.getOrAdd(name).also {
            it.markUp()
            it.describe(0, zone, isSpot = false)
            offer(it, cpus)
        }

    /** What a placement round finds left of the machine. */
    private fun offer(machine: Machine, cpus: Double) {
        machine.roundFreeCapacity = Resources(cpus, 0.0, 64.0)
    }

    private fun running(job: OpenJob, index: Int, machine: Machine): Attempt =
        reconciler.reserve(job, index, 100L + index, machine, null).also {
            it.entered(Attempt.Phase.RUNNING, context.steady)
            job.tasks.runStarted()
        }

    /** The attempt is certainly gone, as when its worker reports that it has obeyed. */
    private fun gone(machine: Machine) = reconciler.onMachineGone(machine)

    private fun notice(machine: Machine, inMs: Long) {
        machine.availability.recordSpotNotice(context.steady + inMs)
    }

    @Test
    fun `nothing is stopped while there is no room elsewhere, and room is requested`() {
        val job = service(2)
        val old = machine("n-1")
        val full = machine("n-2", cpus = 1.0)
        val replica = running(job, 0, old)
        running(job, 1, full)
        assertFalse(migration.pending())
        notice(old, 15_000)
        assertTrue(migration.pending())
        val plan = migration.plan(listOf(full))
        assertFalse(replica.stopRequested)
        assertEquals(emptyList<Machine>(), plan.stoppedOn)
        assertEquals(listOf(job to 1), plan.unplaced.map { it.job to it.count })
        context.now = Now(13_600, 13_600)
        assertEquals(listOf(old), migration.plan(listOf(full)).stoppedOn, "the notice is nearly over")
        assertTrue(replica.stopRequested)
    }

    @Test
    fun `replicas of a service migrate one at a time, and the room of each is held until it starts`() {
        val job = service(3)
        val old = machine("n-1")
        val other = machine("n-2", cpus = 8.0)
        val replicas = List(3) { running(job, it, old) }
        old.availability.drain()
        assertEquals(listOf(old), migration.plan(listOf(other)).stoppedOn)
        assertEquals(listOf(true, false, false), replicas.map { it.stopRequested })
        assertEquals(6.0, other.roundFreeCapacity.cpus)
        offer(other, 8.0)
        assertEquals(emptyList<Allocation>(), migration.start(listOf(other)), "the old attempt is not gone")
        assertEquals(6.0, other.roundFreeCapacity.cpus, "the room is held in the next round, too")
        assertEquals(emptyList<Machine>(), migration.plan(listOf(other)).stoppedOn, "one is under way")

        replicas[0].exited(hasCompleted = false)
        job.tasks.runEnded()
        quotas.remove(job.team, job.taskResources)
        job.tasks.attemptReleased(0)
        offer(other, 8.0)
        val started = migration.start(listOf(other)).single()
        assertEquals(listOf(other, listOf(0)), listOf(started.machine, started.tasks.toList()))
        assertEquals(6.0, other.roundFreeCapacity.cpus)
        assertEquals(emptyList<Machine>(), migration.plan(listOf(other)).stoppedOn, "the first does not run again yet")
        running(job, 0, other)
        assertEquals(listOf(old), migration.plan(listOf(other)).stoppedOn)
        assertEquals(listOf(true, true, false), replicas.map { it.stopRequested })
    }

    @Test
    fun `replicas migrate at once when the notice is too short for one after the other`() {
        val job = service(3)
        val old = machine("n-1")
        val other = machine("n-2", cpus = 8.0)
        val replicas = List(3) { running(job, it, old) }
        notice(old, 10_000)
        migration.plan(listOf(other))
        assertTrue(replicas.all { it.stopRequested })
        assertEquals(2.0, other.roundFreeCapacity.cpus)
        gone(old)
        // Rules on zones are counted over what is on machines: each waits for the marker of the one before.
        offer(other, 8.0)
        val first = migration.start(listOf(other)).single()
        running(job, first.tasks.single(), other)
        offer(other, 6.0)
        assertEquals(
            listOf(1),
            migration
                .start(listOf(other))
                .single()
                .tasks
                .toList(),
        )
        assertEquals(2.0, other.roundFreeCapacity.cpus, "room for this one and for the last")
    }

    @Test
    fun `a machine that holds the image goes before a fuller one`() {
        val job = service(1)
        val old = machine("n-1")
        val fuller = machine("n-2", cpus = 2.0)
        val holder = machine("n-3", cpus = 4.0).also { it.images.add(job.image) }
        running(job, 0, old)
        old.availability.cordon()
        migration.plan(listOf(fuller, holder))
        assertEquals(listOf(2.0, 2.0), listOf(fuller.roundFreeCapacity.cpus, holder.roundFreeCapacity.cpus))
    }

    @Test
    fun `spread holds for the target, the old attempt left out`() {
        val job = service(4) { it.copy(spread = true) }
        val old = machine("n-1", zone = 0)
        val sameZone = machine("n-2", zone = 0, cpus = 2.0)
        val otherZone = machine("n-3", zone = 1, cpus = 8.0)
        running(job, 0, old)
        running(job, 1, sameZone)
        running(job, 2, otherZone)
        running(job, 3, otherZone)
        old.availability.drain()
        val plan = migration.plan(listOf(otherZone))
        assertEquals(emptyList<Machine>(), plan.stoppedOn, "two are in the other zone already")
        assertEquals(listOf(true, false), listOf(0, 1).map { plan.unplaced.single().admits(it) })
        assertEquals(listOf(old), migration.plan(listOf(otherZone, sameZone)).stoppedOn)
        assertEquals(0.0, sameZone.roundFreeCapacity.cpus)
    }

    @Test
    fun `together holds for the target`() {
        val job = service(2) { it.copy(together = true) }
        val old = machine("n-1", zone = 0)
        val sameZone = machine("n-2", zone = 0, cpus = 1.0)
        val otherZone = machine("n-3", zone = 1, cpus = 8.0)
        running(job, 0, old)
        running(job, 1, sameZone)
        old.availability.drain()
        assertEquals(emptyList<Machine>(), migration.plan(listOf(otherZone, sameZone)).stoppedOn)
        offer(sameZone, 2.0)
        assertEquals(listOf(old), migration.plan(listOf(otherZone, sameZone)).stoppedOn)
    }

    /** A move whose start would break a rule by now is given up: the replica is placed like any that is ready. */
    @Test
    fun `held room is given up when the replica may not start there any more`() {
        fun startAfter(change: ReplicaMigrationTest.(OpenJob, Machine) -> Unit): Int {
            val test = ReplicaMigrationTest()
            val job = test.service(4) { it.copy(spread = true) }
            val old = test.machine("n-1", zone = 0)
            val target = test.machine("n-2", zone = 0, cpus = 8.0)
            test.running(job, 0, old)
            test.running(job, 1, test.machine("n-3", zone = 0))
            test.running(job, 2, test.machine("n-4", zone = 1))
            test.notice(old, 4000)
            test.migration.plan(listOf(target))
            test.gone(old)
            test.change(job, target)
            return test.migration.start(listOf(target).filter { !it.availability.hasSpotNotice }).size
        }
        assertEquals(1, startAfter { _, _ -> })
        assertEquals(
            0,
            startAfter {
                _,
                target,
                ->
                target.availability.recordSpotNotice(5000)
            },
            "it is about to be taken itself",
        )
        assertEquals(
            0,
            startAfter { _, target -> target.roundFreeCapacity = Resources(1.0, 0.0, 64.0) },
            "it has no room",
        )
        assertEquals(0, startAfter { job, _ -> running(job, 3, machine("n-5", zone = 0)) }, "its zone is full")
        assertEquals(0, startAfter { job, _ -> job.beginCancellation() }, "the service is withdrawn")
        assertEquals(0, startAfter { job, _ -> job.backoff.pauseUntil(1000) }, "its replicas fail")
    }

    @Test
    fun `migrations do not take a team beyond its quota`() {
        val job = service(3)
        val old = machine("n-1")
        val other = machine("n-2", cpus = 8.0)
        repeat(3) { running(job, it, old) }
        notice(old, 5000)
        migration.plan(listOf(other))
        gone(old)
        quotas.add(job.team, job.taskResources, 4)
        assertEquals(emptyList<Allocation>(), migration.start(listOf(other)))
    }

    private companion object {
        val EIGHT = Resources(8.0, 0.0, 64.0)
    }
}
