package org.chalkhollow.core.placement

import it.unimi.dsi.fastutil.ints.IntOpenHashSet
import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.model.Resources

/**
 * Owns what placement does for services alone: how many replicas of one a machine should take, so that its loss takes
 * few, and headroom reserved from other work in every zone, so that a replica that has lost its machine, or a service
 * that has just come, need not wait for a task to end or a machine to boot. Called by [PlacementRound],
 * [MachineSelector] and [ReplicaMigration].
 */
class Replicas(private val jobs: JobTable) {
    /** The largest service seen of a class, and the images that its services run. */
    private class ServiceClass(var taskResources: Resources, var count: Int, var spotAllowed: Boolean) {
        val images = IntOpenHashSet()

        fun imagesOn(machine: Machine): Int = images.count { it in machine.images }
    }

    private val classes = HashMap<String, ServiceClass>()

    /** How many replicas of [job] a machine takes as long as others have room. */
    fun maxPerMachine(job: OpenJob): Int = (job.spec.tasks + MACHINES_PER_SERVICE - 1) / MACHINES_PER_SERVICE

    /** How many replicas of [job] may be on [machine] now. */
    fun countOn(machine: Machine, job: OpenJob): Int =
        machine.attempts.count { it.job === job && it.phase != Attempt.Phase.EXITED }

    private class Reservation(val machine: Machine, val resources: Resources)

    private val reservations = ArrayList<Reservation>()
    private var reservedCpus = 0.0

    /** Gives the room that [reserveHeadroom] took off back to the machines. */
    fun releaseHeadroom() {
        for (reservation in reservations) reservation.machine.roundFreeCapacity += reservation.resources
        reservations.clear()
    }

    /** Takes the headroom for services off the room of [machines] in this round; returns how many CPUs that is. */
    fun reserveHeadroom(machines: List<Machine>): Double {
        reservations.clear()
        updateClasses()
        reservedCpus = 0.0
        val machinesByZone = machines.groupBy { it.zone }
        for (serviceClass in classes.values) {
            for (machinesOfZone in machinesByZone.values) {
                val perZone = (serviceClass.count + machinesByZone.size - 1) / machinesByZone.size
                reserve(serviceClass, perZone, machinesOfZone)
            }
        }
        return reservedCpus
    }

    /** Reserves room for [count] replicas on [machines]. */
    private fun reserve(serviceClass: ServiceClass, count: Int, machines: List<Machine>) {
        var left = count
        // Where their images are kept already, a replica that comes or comes back need not wait for one.
        val imagesFirst = compareBy<Machine>({ -serviceClass.imagesOn(it) }, { it.roundFreeCapacity.cpus })
        for (machine in machines.sortedWith(imagesFirst)) {
            if (left == 0) break
            if (machine.spot && !serviceClass.spotAllowed) continue
            val fitting = serviceClass.taskResources.countIn(machine.roundFreeCapacity)
            val replicas = minOf(left, fitting, MAX_PER_MACHINE)
            if (replicas <= 0) continue
            left -= replicas
            reservedCpus += replicas * serviceClass.taskResources.cpus
            reservations.add(Reservation(machine, serviceClass.taskResources * replicas))
            machine.roundFreeCapacity = machine.roundFreeCapacity.without(serviceClass.taskResources, replicas)
        }
    }

    private operator fun Resources.times(count: Int) = Resources(count * cpus, count * gpus, count * memoryGb)

    private fun updateClasses() {
        for (job in jobs.open) if (job.service) update(job)
    }

    private fun update(job: OpenJob) {
        val known = classes[job.spec.workload]
        if (known == null && classes.size >= MAX_CLASSES) return
        val serviceClass = known ?: ServiceClass(job.taskResources, 0, job.spec.spotAllowed)
        if (known == null) classes[job.spec.workload] = serviceClass
        if (job.image >= 0 && serviceClass.images.size < MAX_IMAGES) serviceClass.images.add(job.image)
        if (serviceClass.count >= job.spec.tasks) return
        serviceClass.taskResources = job.taskResources
        serviceClass.count = job.spec.tasks
        serviceClass.spotAllowed = job.spec.spotAllowed
    }

    private companion object {
        /** A service is spread over this many machines if there are as many with room. */
        const val MACHINES_PER_SERVICE = 4

        /** Replicas of a class for which room is reserved on one machine. */
        const val MAX_PER_MACHINE = 4
        const val MAX_CLASSES = 50
        const val MAX_IMAGES = 50
    }
}
