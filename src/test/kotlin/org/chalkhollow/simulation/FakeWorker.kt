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

/** A fake of a worker. It has a lease and epochs, checks fencing tokens, and sends heartbeats to one controller. */
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
    var hangUntilMs = 0L
        private set
    private var epoch = 1L
    private var seq = 0L
    private var fencingToken = 0L
    private var targetIndex = 0
    private var leaseStartMs = 0L
    private var inFlight = false
    private var lastHeartbeatAtMs = 0L
    private var heartbeatDueAtMs = 0L

    /** Commands of which a copy is on its way; each is copied at most once. */
    private val duplicatedCommands = HashSet<Effect.WorkerCommand>()

    /** Whether tasks that start here fail soon, and tasks that would complete here fail instead. */
    var isFaulty = false

    /** When the cloud reclaims this spot machine; 0 without a termination notice. */
    var terminationAtMs = 0L

    /** Whether the machine has booted and neither failed nor been deleted. */
    val present: Boolean get() = up && !dead

    fun boot() {
        up = true
        leaseStartMs = clock.timeMs
        targetIndex = clock.random.nextInt(simulation.nodes.size)
        tick()
    }

    fun shutDown() {
        dead = true
        tasks.clear()
    }

    /** For [forMs], the machine does nothing. Commands that arrive and tasks that end are handled when it resumes. */
    fun hang(forMs: Long) {
        hangUntilMs = clock.timeMs + forMs
        if (simulation.verbose) println("${clock.timeMs} $name hangs for $forMs ms")
    }

    private var blockedUntilMs = 0L

    /** For [forMs], the worker cannot connect to any controller. It still executes direct commands. */
    fun blockConnections(forMs: Long) {
        blockedUntilMs = clock.timeMs + forMs
        if (simulation.verbose) println("${clock.timeMs} $name cannot connect to controllers for $forMs ms")
    }

    /**
     * Whether tasks can be started here: the machine is up, does not hang, is not faulty, has no termination notice,
     * can connect to controllers, and sent a heartbeat within the last two intervals and 1 s that a controller
     * responded to.
     */
    val usable: Boolean
        get() =
            present && !hanging && !isFaulty && terminationAtMs == 0L && clock.timeMs >= blockedUntilMs &&
                clock.timeMs - leaseStartMs < simulation.heartbeatMs * 2 + 1000

    val hanging: Boolean get() = clock.timeMs < hangUntilMs

    private fun tick() {
        if (dead) return
        clock.after(100) { tick() }
        expire() // a machine that hangs beyond its lease loses its tasks
        if (hanging) return
        if (!inFlight && clock.timeMs >= heartbeatDueAtMs) heartbeat()
    }

    /** Ends this epoch and its tasks if the lease has expired. */
    fun expire() {
        if (clock.timeMs - leaseStartMs <= leaseMs) return
        if (simulation.verbose) println("${clock.timeMs} $name lease expired, epoch $epoch ends")
        tasks.clear()
        epoch++
        leaseStartMs = clock.timeMs
        requestHeartbeat()
    }

    /** Sends the next heartbeat at once, but not within 500 ms after the last one. */
    fun requestHeartbeat() {
        heartbeatDueAtMs = minOf(heartbeatDueAtMs, maxOf(clock.timeMs, lastHeartbeatAtMs + 500))
    }

    private fun snapshot(): WorkerHeartbeat {
        seq++
        val notice = if (terminationAtMs > 0) (terminationAtMs - clock.timeMs) / 1000.0 else null
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

    /** Reboots the machine without any downtime. Its tasks are lost and its next epoch begins. */
    fun reboot() {
        if (!present) return
        tasks.clear()
        epoch++
        fencingToken = 0
        leaseStartMs = clock.timeMs
        lastHeartbeatAtMs = 0
        heartbeatDueAtMs = clock.timeMs
    }

    /** May deliver a copy of [heartbeat] late to a random controller; the response is ignored. */
    private fun deliverCopyLater(heartbeat: WorkerHeartbeat) {
        val delayMs = simulation.network.drawCopyDelayMs() ?: return
        clock.after(delayMs) {
            val copy =
                if (simulation.deliberateErrors.copiesLookNew) {
                    heartbeat.copy(
                        seq = seq + 1,
                        epoch = epoch,
                    )
                } else {
                    heartbeat
                }
            simulation.nodes[
                clock.random.nextInt(
                    simulation.nodes.size,
                ),
            ].receiveHeartbeat(name, WorkerWireFormat.encode(copy)) {}
        }
    }

    /**
     * Creates a heartbeat now and delivers it [afterMs] later to the controller that leads then. Newer heartbeats may
     * arrive before it.
     */
    fun delayHeartbeat(afterMs: Long) {
        val body = WorkerWireFormat.encode(snapshot())
        clock.after(afterMs) {
            val node = simulation.nodes.firstOrNull { it.leads } ?: simulation.nodes.first()
            node.receiveHeartbeat(name, body) {}
        }
    }

    /** Creates a heartbeat now and returns a function that delivers it to a controller. */
    fun captureHeartbeat(): (SimulatedController) -> Unit {
        val body = WorkerWireFormat.encode(snapshot())
        return { it.receiveHeartbeat(name, body) {} }
    }

    /**
     * Starts task 0 of [job] as if a controller had sent the command now, so that tests of the rules see a violation.
     */
    fun startUnrequested(job: String) {
        execute(Command.Start(job, 0, 1_000_000L + clock.timeMs), clock.timeMs)
    }

    /** Delivers the last heartbeat again, to every controller. */
    fun repeatLastHeartbeat() {
        val body = WorkerWireFormat.encode(lastHeartbeat ?: return)
        simulation.nodes.forEach { it.receiveHeartbeat(name, body) {} }
    }

    private var lastHeartbeat: WorkerHeartbeat? = null

    /** The direct commands with a start that have arrived, in order, each once. */
    private val directStarts = LinkedHashSet<Effect.WorkerCommand>()

    /** Delivers the last direct command with a start again, although it was executed. */
    fun repeatLastStart() {
        directStarts.lastOrNull()?.let { receiveCommand(it, 0) {} }
    }

    /** Delivers every direct command with a start again, although they were executed, in the order of their arrival. */
    fun repeatAllStarts() {
        for (message in directStarts.toList()) receiveCommand(message, 0) {}
    }

    private fun heartbeat() {
        if (clock.timeMs < blockedUntilMs) return tryNextController()
        val heartbeat = snapshot()
        lastHeartbeat = heartbeat
        deliverCopyLater(heartbeat)
        val sentAtMs = clock.timeMs
        lastHeartbeatAtMs = sentAtMs
        heartbeatDueAtMs = sentAtMs + clock.between(simulation.heartbeatMs * 3 / 4, simulation.heartbeatMs * 5 / 4)
        inFlight = true
        val node = simulation.nodes[targetIndex]
        var finished = false

        fun finishOnce(run: () -> Unit) {
            if (finished || dead) return
            finished = true
            inFlight = false
            run()
        }
        clock.after(4000) { finishOnce(::tryNextController) }
        simulation.network.send(name, node.label) {
            val delivered =
                node.receiveHeartbeat(name, WorkerWireFormat.encode(heartbeat)) { response ->
                    val respondedAtMs = clock.timeMs
                    simulation.network.send(node.label, name) {
                        if (!hanging) finishOnce { handleResponse(response, heartbeat, sentAtMs, respondedAtMs) }
                    }
                }
            if (!delivered) simulation.network.send(node.label, name) { finishOnce(::tryNextController) }
        }
    }

    private fun tryNextController() {
        targetIndex = (targetIndex + 1) % simulation.nodes.size
        heartbeatDueAtMs = clock.timeMs + 1000
    }

    private fun handleResponse(
        response: Effect.Response,
        heartbeat: WorkerHeartbeat,
        sentAtMs: Long,
        respondedAtMs: Long,
    ) {
        val body = response.body?.let(Pack::decodeMap)
        if (response.status == 421) {
            val leaderIndex = simulation.nodes.indexOfFirst { it.label == body?.textOrNull("overseer") }
            if (leaderIndex < 0 || leaderIndex == targetIndex) return tryNextController()
            targetIndex = leaderIndex
            heartbeatDueAtMs = clock.timeMs
            return
        }
        if (response.status != 200 || body == null) return tryNextController()
        val receivedToken = body.longOrNull("mandate") ?: return
        if (heartbeat.epoch != epoch || receivedToken < fencingToken) return
        if (receivedToken > fencingToken) {
            fencingToken = receivedToken
            requestHeartbeat()
        }
        leaseStartMs = maxOf(leaseStartMs, sentAtMs)
        for (order in body.maps("orders")) execute(WorkerWireFormat.command(order), respondedAtMs)
    }

    /** Handles a direct command that a controller sent at [sentAtMs]; it may arrive late. */
    fun receiveCommand(message: Effect.WorkerCommand, sentAtMs: Long, reply: (CommandReply) -> Unit) {
        if (!present) return
        if (message.commands.any { it is Command.Start }) directStarts.add(message)
        if (message !in duplicatedCommands) {
            simulation.network.drawCopyDelayMs()?.let { delayMs ->
                duplicatedCommands.add(message)
                clock.after(delayMs) { receiveCommand(message, sentAtMs) {} }
            }
        }
        if (hanging) {
            clock.after(hangUntilMs - clock.timeMs + 1) { receiveCommand(message, sentAtMs, reply) }
            return
        }
        expire()
        if (message.epoch != epoch || message.fencingToken < fencingToken) {
            return reply(CommandReply.Rejected(snapshot()))
        }
        fencingToken = message.fencingToken
        message.commands.forEach { execute(it, sentAtMs) }
        reply(CommandReply.Executed(snapshot()))
    }

    private fun execute(command: Command, sentAtMs: Long) {
        if (simulation.verbose) println("${clock.timeMs} $name $command token $fencingToken epoch $epoch")
        tasks.execute(command, sentAtMs)
    }

    /** See [FakeTasks.hasCapacityFor]. */
    fun hasCapacityFor(spec: JobSpec, preemptsLower: Boolean = false): Boolean =
        tasks.hasCapacityFor(spec, preemptsLower)

    /** See [FakeTasks.endReplica]. Returns false on a machine that hangs or is not up. */
    fun endReplica(job: String, index: Int, cause: ExitCause): Boolean =
        present && !hanging && tasks.endReplica(job, index, cause)

    /** Running and saving tasks; none if the machine is not up. */
    fun activeTasks(): List<FakeTask> = if (present) tasks.running() else emptyList()
}
