package org.chalkhollow.core.placement

import it.unimi.dsi.fastutil.ints.IntOpenHashSet
import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.model.Resources

/**
 * Owns the placement rules for services alone. It limits how many replicas of a service a machine should take, so that
 * the loss of a machine stops few of them. It reserves headroom in every zone, so that a replica that has lost its
 * machine, or a new service, does not wait for a task to end or a machine to boot. Called by [PlacementRound],
 * [MachineSelector] and [ReplicaMigration].
 */
class ReplicaPlacement(private val jobs: JobTable) {
    /** The largest service seen of a job class, and the images that the class's services run. */
    private class ServiceClass(var taskResources: Resources, var count: Int, var spotAllowed: Boolean) {
        val images = IntOpenHashSet()

        fun countCachedImages(machine: Machine): Int = images.count { it in machine.images }
    }

    private val classes = HashMap<String, ServiceClass>()

    /** How many replicas of [job] a machine takes as long as others have free capacity. */
    fun maxPerMachine(job: OpenJob): Int = (job.spec.tasks + MACHINES_PER_SERVICE - 1) / MACHINES_PER_SERVICE

    /** How many replicas of [job] may be on [machine] now. */
    fun countOn(machine: Machine, job: OpenJob): Int =
        machine.attempts.count { it.job === job && it.phase != Attempt.Phase.EXITED }

    private class Reservation(val machine: Machine, val resources: Resources)

    private val reservations = ArrayList<Reservation>()
    private var reservedCpus = 0.0

    /** Returns what [reserveHeadroom] reserved to the free capacity of the machines. */
    fun releaseHeadroom() {
        for (reservation in reservations) reservation.machine.roundFreeCapacity += reservation.resources
        reservations.clear()
    }

    /** Subtracts the headroom for services from the free capacity of [machines] in this round; returns its CPUs. */
    fun reserveHeadroom(machines: List<Machine>): Double {
        reservations.clear()
        updateClasses()
        reservedCpus = 0.0
        val machinesByZone = machines.groupBy { it.zone }
        for (serviceClass in classes.values) {
            for (machinesOfZone in machinesByZone.values) {
                val replicasPerZone = (serviceClass.count + machinesByZone.size - 1) / machinesByZone.size
                reserve(serviceClass, replicasPerZone, machinesOfZone)
            }
        }
        return reservedCpus
    }

    /** Reserves capacity for [count] replicas on [machines]. */
    private fun reserve(serviceClass: ServiceClass, count: Int, machines: List<Machine>) {
        var left = count
        // A replica that starts where its image is cached does not wait for a fetch.
        val cachedImagesFirst =
            compareBy<Machine>({ -serviceClass.countCachedImages(it) }, { it.roundFreeCapacity.cpus })
        for (machine in machines.sortedWith(cachedImagesFirst)) {
            if (left == 0) break
            if (machine.spot && !serviceClass.spotAllowed) continue
            val fitting = serviceClass.taskResources.countIn(machine.roundFreeCapacity)
            val replicas = minOf(left, fitting, MAX_RESERVED_PER_MACHINE)
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
        if (job.image >= 0 && serviceClass.images.size < MAX_IMAGES_PER_CLASS) serviceClass.images.add(job.image)
        if (serviceClass.count >= job.spec.tasks) return
        serviceClass.taskResources = job.taskResources
        serviceClass.count = job.spec.tasks
        serviceClass.spotAllowed = job.spec.spotAllowed
    }

    private companion object {
        /** A service is spread over this many machines if so many have free capacity. */
        const val MACHINES_PER_SERVICE = 4

        /** Replicas of a job class for which capacity is reserved on one machine, at most. */
        const val MAX_RESERVED_PER_MACHINE = 4
        const val MAX_CLASSES = 50
        const val MAX_IMAGES_PER_CLASS = 50
    }
}
