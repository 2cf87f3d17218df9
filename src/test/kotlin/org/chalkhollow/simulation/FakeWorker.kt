package org.chalkhollow.simulation

import org.chalkhollow.core.common.CommandReply
import org.chalkhollow.core.common.Effect
import org.chalkhollow.model.Command
import org.chalkhollow.model.ExitCause
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.MachineType
import org.chalkhollow.model.TaskStatus
import org.chalkhollow.model.WorkerHeartbeat
import org.chalkhollow.wire.Pack

/** A fake of a worker: leases, epochs, fencing tokens, heartbeats to one controller at a time, direct commands. */
class FakeWorker(
    private val simulation: Simulation,
    val name: String,
    val type: MachineType,
    val zone: String,
    val spot: Boolean,
    private val leaseMs: Long,
) {
    private val clock = simulation.clock
    val tasks = FakeTasks(simulation, this)
    private var up = false
    var dead = false
        private set
    var hangUntil = 0L
        private set
    private var epoch = 1L
    private var seq = 0L
    private var fencingToken = 0L
    private var target = 0
    private var leaseFrom = 0L
    private var inFlight = false
    private var lastHeartbeatAt = 0L
    private var heartbeatDueAt = 0L
    private val repeated = HashSet<Effect.WorkerCommand>()
    var sick = false
    var noticeAt = 0L

    val present: Boolean get() = up && !dead

    fun boot() {
        up = true
        leaseFrom = clock.time
        target = clock.random.nextInt(simulation.nodes.size)
        tick()
    }

    fun gone() {
        dead = true
        tasks.clear()
    }

    fun hang(forMs: Long) {
        hangUntil = clock.time + forMs
        if (simulation.verbose) println("${clock.time} $name hangs for $forMs")
    }

    private var muteUntil = 0L

    /** For [forMs] no connection to any controller can be opened, while direct commands come and are answered. */
    fun mute(forMs: Long) {
        muteUntil = clock.time + forMs
        if (simulation.verbose) println("${clock.time} $name is mute for $forMs")
    }

    /** Up, awake, well, not to be taken, and answered lately: a machine that work can be given to. */
    val usable: Boolean
        get() =
            present && !hanging && !sick && noticeAt == 0L && clock.time >= muteUntil &&
                clock.time - leaseFrom < simulation.heartbeatMs * 2 + 1000

    val hanging: Boolean get() = clock.time < hangUntil

    private fun tick() {
        if (dead) return
        clock.after(100) { tick() }
        expire() // a machine that hangs resumes within its lease or not at all with these tasks
        if (hanging) return
        if (!inFlight && clock.time >= heartbeatDueAt) heartbeat()
    }

    /** Ends this epoch and its tasks if the lease has expired. */
    fun expire() {
        if (clock.time - leaseFrom <= leaseMs) return
        if (simulation.verbose) println("${clock.time} $name lease expired, epoch $epoch ends")
        tasks.clear()
        epoch++
        leaseFrom = clock.time
        changed()
    }

    /** What is on this machine has changed: the next heartbeat is due soon. */
    fun changed() {
        heartbeatDueAt = minOf(heartbeatDueAt, maxOf(clock.time, lastHeartbeatAt + 500))
    }

    private fun snapshot(): WorkerHeartbeat {
        seq++
        val notice = if (noticeAt > 0) (noticeAt - clock.time) / 1000.0 else null
        return WorkerHeartbeat(
            name,
            name,
            type.name,
            zone,
            spot,
            epoch,
            seq,
            fencingToken,
            notice,
            tasks.all.map { TaskStatus(it.job, it.index, it.attempt, it.phase, it.cause) },
        )
    }

    /** The machine starts anew in no time: nothing runs on it any more, and its epoch is the next one. */
    fun reboot() {
        if (!present) return
        tasks.clear()
        epoch++
        fencingToken = 0
        leaseFrom = clock.time
        lastHeartbeatAt = 0
        heartbeatDueAt = clock.time
    }

    /** A copy of a heartbeat turns up late, at whichever controller; nobody waits for the answer. */
    private fun copyLater(heartbeat: WorkerHeartbeat) {
        val late = simulation.network.copyAfter() ?: return
        clock.after(late) {
            val looks =
                if (simulation.sabotage.copiesLookNew) {
                    heartbeat.copy(
                        seq = seq + 1,
                        epoch = epoch,
                    )
                } else {
                    heartbeat
                }
            simulation.nodes[clock.random.nextInt(simulation.nodes.size)].heartbeat(name, WorkerForm.encode(looks)) {}
        }
    }

    /**
     * Holds the heartbeat of now back and delivers it [afterMs] later to whoever leads then, though others came before.
     */
    fun holdHeartbeat(afterMs: Long) {
        val body = WorkerForm.encode(snapshot())
        clock.after(afterMs) {
            val node = simulation.nodes.firstOrNull { it.leads } ?: simulation.nodes.first()
            node.heartbeat(name, body) {}
        }
    }

    /** Keeps a heartbeat as it is now, to be delivered whenever what is returned is called. */
    fun keepHeartbeat(): (SimulatedController) -> Unit {
        val body = WorkerForm.encode(snapshot())
        return { it.heartbeat(name, body) {} }
    }

    /** Sabotage for tests of the checks: takes a start for [job] as if a controller had sent it now. */
    fun startUnasked(job: String) {
        execute(Command.Start(job, 0, 1_000_000L + clock.time), clock.time)
    }

    /** Delivers its last heartbeat once more, to every controller. */
    fun repeatLastHeartbeat() {
        val body = WorkerForm.encode(lastHeartbeat ?: return)
        simulation.nodes.forEach { it.heartbeat(name, body) {} }
    }

    private var lastHeartbeat: WorkerHeartbeat? = null

    /** Delivers the last direct start once more, though it was carried out. */
    fun repeatLastStart() {
        direct(lastStart ?: return, 0) {}
    }

    private var lastStart: Effect.WorkerCommand? = null

    private fun heartbeat() {
        if (clock.time < muteUntil) return nextNode()
        val heartbeat = snapshot()
        lastHeartbeat = heartbeat
        copyLater(heartbeat)
        val sentAt = clock.time
        lastHeartbeatAt = sentAt
        heartbeatDueAt = sentAt + clock.between(simulation.heartbeatMs * 3 / 4, simulation.heartbeatMs * 5 / 4)
        inFlight = true
        val node = simulation.nodes[target]
        var settled = false

        fun settle(run: () -> Unit) {
            if (settled || dead) return
            settled = true
            inFlight = false
            run()
        }
        clock.after(4000) { settle(::nextNode) }
        simulation.network.send(name, node.label) {
            val heard =
                node.heartbeat(name, WorkerForm.encode(heartbeat)) { answer ->
                    val answeredAt = clock.time
                    simulation.network.send(node.label, name) {
                        if (!hanging) settle { answered(answer, heartbeat, sentAt, answeredAt) }
                    }
                }
            if (!heard) simulation.network.send(node.label, name) { settle(::nextNode) }
        }
    }

    private fun nextNode() {
        target = (target + 1) % simulation.nodes.size
        heartbeatDueAt = clock.time + 1000
    }

    private fun answered(answer: Effect.Response, heartbeat: WorkerHeartbeat, sentAt: Long, answeredAt: Long) {
        val body = answer.body?.let(Pack::decodeMap)
        if (answer.status == 421) {
            val to = simulation.nodes.indexOfFirst { it.label == body?.textOrNull("overseer") }
            if (to < 0 || to == target) return nextNode()
            target = to
            heartbeatDueAt = clock.time
            return
        }
        if (answer.status != 200 || body == null) return nextNode()
        val given = body.longOrNull("mandate") ?: return
        if (heartbeat.epoch != epoch || given < fencingToken) return
        if (given > fencingToken) {
            fencingToken = given
            changed()
        }
        leaseFrom = maxOf(leaseFrom, sentAt)
        for (order in body.maps("orders")) execute(WorkerForm.command(order), answeredAt)
    }

    /** A direct command that a controller sent at [sentAt] arrives, perhaps late. */
    fun direct(message: Effect.WorkerCommand, sentAt: Long, reply: (CommandReply) -> Unit) {
        if (!present) return
        if (message.commands.any { it is Command.Start }) lastStart = message
        if (message !in repeated) {
            simulation.network.copyAfter()?.let { late ->
                repeated.add(message)
                clock.after(late) { direct(message, sentAt) {} }
            }
        }
        if (hanging) {
            clock.after(hangUntil - clock.time + 1) { direct(message, sentAt, reply) }
            return
        }
        expire()
        if (message.epoch != epoch || message.fencingToken < fencingToken) {
            return reply(CommandReply.Rejected(snapshot()))
        }
        fencingToken = message.fencingToken
        message.commands.forEach { execute(it, sentAt) }
        reply(CommandReply.Executed(snapshot()))
    }

    private fun execute(command: Command, sentAt: Long) {
        if (simulation.verbose) println("${clock.time} $name $command token $fencingToken epoch $epoch")
        tasks.execute(command, sentAt)
    }

    /** Whether the tasks here leave room for one of [spec], see [FakeTasks.hasRoomFor]. */
    fun hasRoomFor(spec: JobSpec, stopsLower: Boolean = false): Boolean = tasks.hasRoomFor(spec, stopsLower)

    /** Replica [index] of service [job] ends by itself here; false if it does not run here. */
    fun end(job: String, index: Int, cause: ExitCause): Boolean = present && !hanging && tasks.end(job, index, cause)

    /** Tasks that count as being on this machine. */
    fun onMachine(): List<FakeTask> = if (present) tasks.running() else emptyList()
}
