package org.chalkhollow.simulation

import org.chalkhollow.core.common.CommandReply
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Input
import org.chalkhollow.model.Command
import org.chalkhollow.model.ExitCause
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.MachineType
import org.chalkhollow.model.Shape
import org.chalkhollow.model.TaskStatus
import org.chalkhollow.model.WorkerHeartbeat
import org.chalkhollow.wire.Fields
import org.chalkhollow.wire.Pack

/** A fake of a worker: leases, sessions, tokens, reports to one controller at a time, direct commands. */
class FakeWorker(
    private val simulation: Simulation,
    val name: String,
    val type: MachineType,
    val zone: String,
    val spot: Boolean,
    private val leaseMs: Long,
) {
    /** A task by the start that a controller sent at [sentAt]. */
    class Task(val job: String, val index: Int, val attempt: Long, val sentAt: Long) {
        /** When it will have completed, once it runs. */
        var endsAt = 0L
        var phase = TaskStatus.Phase.FETCHING
        var cause: ExitCause? = null
        val name get() = "$job/$index"
    }

    private val clock = simulation.clock
    val tasks = LinkedHashMap<String, Task>()
    private var up = false
    private var dead = false
    private var hangUntil = 0L
    private var epoch = 1L
    private var seq = 0L
    private var fencingToken = 0L
    private var target = 0
    private var leaseFrom = 0L
    private var inFlight = false
    private var lastReportAt = 0L
    private var reportDueAt = 0L
    private val completed = HashSet<String>()
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
                clock.time - leaseFrom < simulation.reportMs * 2 + 1000

    val hanging: Boolean get() = clock.time < hangUntil

    private fun tick() {
        if (dead) return
        clock.after(100) { tick() }
        expire() // a machine that hangs resumes within its lease or not at all with these tasks
        if (hanging) return
        if (!inFlight && clock.time >= reportDueAt) heartbeat()
    }

    private fun expire() {
        if (clock.time - leaseFrom <= leaseMs) return
        if (simulation.verbose) println("${clock.time} $name lease over, session $epoch ends")
        tasks.clear()
        epoch++
        leaseFrom = clock.time
        changed()
    }

    private fun changed() {
        reportDueAt = minOf(reportDueAt, maxOf(clock.time, lastReportAt + 500))
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
            tasks.values.map { TaskStatus(it.job, it.index, it.attempt, it.phase, it.cause) },
        )
    }

    /** The machine starts anew in no time: nothing runs on it any more, and its session is the next one. */
    fun reboot() {
        if (!present) return
        tasks.clear()
        epoch++
        fencingToken = 0
        leaseFrom = clock.time
        lastReportAt = 0
        reportDueAt = clock.time
    }

    private fun wire(r: WorkerHeartbeat): ByteArray =
        Pack.encode(
            mapOf(
                "host" to r.machine,
                "address" to r.address,
                "flavour" to r.type,
                "site" to r.zone,
                "standby" to r.spot,
                "tenure" to r.epoch,
                "tally" to r.seq,
                "mandate" to r.fencingToken,
                "warningS" to r.noticeS,
                "pieces" to
                    r.tasks.map { t ->
                        mapOf(
                            "piece" to "${t.jobId}/${t.index}",
                            "try" to t.attempt,
                            "status" to PHASES.getValue(t.phase),
                            "cause" to t.cause?.let { CAUSES.getValue(it) },
                        )
                    },
            ),
        )

    /** A copy of a report turns up late, at whichever controller; nobody waits for the answer. */
    private fun copyLater(heartbeat: WorkerHeartbeat) {
        val late = simulation.network.copyAfter() ?: return
        clock.after(late) {
            val looks = if (simulation.copiesLookNew) heartbeat.copy(seq = seq + 1, epoch = epoch) else heartbeat
            simulation.nodes[clock.random.nextInt(simulation.nodes.size)].heartbeat(name, wire(looks)) {}
        }
    }

    /**
     * Holds the reports of now back and delivers them [afterMs] later to whoever leads then, though others came before.
     */
    fun holdReport(afterMs: Long) {
        val body = wire(snapshot())
        clock.after(
            afterMs,
        ) { (simulation.nodes.firstOrNull { it.leads } ?: simulation.nodes.first()).heartbeat(name, body) {} }
    }

    /** Keeps a report as it is now, to be delivered whenever what is returned is called. */
    fun keepReport(): (SimulatedController) -> Unit {
        val body = wire(snapshot())
        return { it.heartbeat(name, body) {} }
    }

    /** Sabotage for tests of the checks: takes a start for [job] as if a controller had sent it now. */
    fun startUnasked(job: String) {
        execute(Command.Start(job, 0, 1_000_000L + clock.time), clock.time)
    }

    /** Delivers its last report once more, to every controller. */
    fun repeatLastReport() {
        val body = wire(lastReport ?: return)
        simulation.nodes.forEach { it.heartbeat(name, body) {} }
    }

    private var lastReport: WorkerHeartbeat? = null

    /** Delivers the last direct start once more, though it was carried out. */
    fun repeatLastStart() {
        direct(lastStart ?: return, 0) {}
    }

    private var lastStart: Effect.WorkerCommand? = null

    private fun heartbeat() {
        if (clock.time < muteUntil) return nextNode()
        val heartbeat = snapshot()
        lastReport = heartbeat
        copyLater(heartbeat)
        val sentAt = clock.time
        lastReportAt = sentAt
        reportDueAt = sentAt + clock.between(simulation.reportMs * 3 / 4, simulation.reportMs * 5 / 4)
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
                node.heartbeat(name, wire(heartbeat)) { answer ->
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
        reportDueAt = clock.time + 1000
    }

    private fun answered(answer: Effect.Response, heartbeat: WorkerHeartbeat, sentAt: Long, answeredAt: Long) {
        val body = answer.body?.let(Pack::decodeMap)
        if (answer.status == 421) {
            val to = simulation.nodes.indexOfFirst { it.label == body?.textOrNull("overseer") }
            if (to < 0 || to == target) return nextNode()
            target = to
            reportDueAt = clock.time
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
        for (order in body.maps("orders")) execute(decode(order), answeredAt)
    }

    private fun decode(f: Fields): Command {
        val piece = f.text("piece")
        val job = piece.substringBefore('/')
        val index = piece.substringAfter('/').toInt()
        return when (f.text("verb")) {
            "start" -> Command.Start(job, index, f.long("try"))
            "kill" -> Command.Stop(job, index, f.long("try"), f.number("windDownS"))
            else -> Command.Forget(job, index, f.long("try"))
        }
    }

    /** A direct command that a controller sent at [sentAt] arrives, perhaps late. */
    fun direct(e: Effect.WorkerCommand, sentAt: Long, reply: (CommandReply) -> Unit) {
        if (!present) return
        if (e.commands.any { it is Command.Start }) lastStart = e
        if (e !in repeated) {
            simulation.network.copyAfter()?.let { late ->
                repeated.add(e)
                clock.after(late) { direct(e, sentAt) {} }
            }
        }
        if (hanging) {
            clock.after(hangUntil - clock.time + 1) { direct(e, sentAt, reply) }
            return
        }
        expire()
        if (e.epoch != epoch || e.fencingToken < fencingToken) return reply(CommandReply.Refused(snapshot()))
        fencingToken = e.fencingToken
        e.commands.forEach { execute(it, sentAt) }
        reply(CommandReply.Executed(snapshot()))
    }

    private fun execute(c: Command, sentAt: Long) {
        if (simulation.verbose) println("${clock.time} $name $c token $fencingToken session $epoch")
        val key = "${c.jobId}/${c.index}#${c.attempt}"
        val known = tasks[key]
        when (c) {
            is Command.Start -> if (known == null) start(key, c, sentAt)
            is Command.Stop -> if (known != null && known.phase != TaskStatus.Phase.EXITED) stop(known, c.graceS, key)
            is Command.Forget -> if (known?.phase == TaskStatus.Phase.EXITED) tasks.remove(key)
        }
        changed()
    }

    /**
     * A running task that has checkpoints saves first if it is given the time; one that saves is ended by a stop
     * without any.
     */
    private fun stop(task: Task, graceS: Double, key: String) {
        val spec = simulation.users.spec(task.job)
        when {
            task.phase == TaskStatus.Phase.SAVING -> if (graceS <= 0.0) exit(task, ExitCause.HALTED)
            task.phase == TaskStatus.Phase.RUNNING && spec != null && spec.checkpointS > 0 && graceS >= spec.saveS -> {
                task.phase = TaskStatus.Phase.SAVING
                at(task, (spec.saveS * 1000).toLong(), key) { exit(task, ExitCause.HALTED) }
            }
            else -> exit(task, ExitCause.HALTED)
        }
    }

    private fun start(key: String, c: Command.Start, sentAt: Long) {
        val task = Task(c.jobId, c.index, c.attempt, sentAt)
        val same = tasks.values.any { it.name == task.name && it.phase != TaskStatus.Phase.EXITED }
        val spec = simulation.users.spec(c.jobId)
        tasks[key] = task
        when {
            spec == null -> exit(task, ExitCause.NO_SUCH)
            same -> exit(task, ExitCause.BUSY)
            usedCpus() > type.room.cpus + 1e-6 -> exit(task, ExitCause.FULL)
            else -> at(task, clock.between(200, 3000), key) { begin(task, spec, key) }
        }
    }

    /**
     * Whether fetching, running and saving tasks leave room for a task of [spec]; with [stopsLower], those of lower
     * priority do not count.
     */
    fun hasRoomFor(spec: JobSpec, stopsLower: Boolean = false): Boolean {
        val here =
            tasks.values
                .filter { it.phase != TaskStatus.Phase.EXITED }
                .mapNotNull { simulation.users.spec(it.job) }
                .filter { !stopsLower || it.priority <= spec.priority }
        return here.sumOf { it.taskResources.cpus } + spec.taskResources.cpus <= type.room.cpus + 1e-6 &&
            here.sumOf { it.taskResources.memoryGb } + spec.taskResources.memoryGb <= type.room.memoryGb + 1e-6
    }

    private fun usedCpus(): Double =
        tasks.values.filter { it.phase != TaskStatus.Phase.EXITED }.sumOf {
            simulation.users
                .spec(it.job)
                ?.taskResources
                ?.cpus
                ?: 0.0
        }

    private fun begin(task: Task, spec: JobSpec, key: String) {
        task.phase = TaskStatus.Phase.RUNNING
        simulation.rules.touched()
        simulation.rules.started(task, spec, this)
        changed()
        if (spec.shape == Shape.SERVICE) return serve(task, key)
        if (task.name in completed) return exit(task, ExitCause.DONE)
        val ms = (spec.expectedS * 1000 * (0.5 + clock.random.nextDouble())).toLong()
        task.endsAt = clock.time + ms
        simulation.users.runs(task, ms)
        at(task, if (sick) 300 else ms, key) {
            if (task.phase != TaskStatus.Phase.RUNNING) return@at // it was told to save and ends by that
            if (!sick) {
                completed.add(task.name)
                simulation.rules.completed(task)
            }
            exit(task, if (sick) ExitCause.ERROR else ExitCause.DONE)
        }
    }

    /** A replica runs until it is stopped, or until [end]; on a sick machine it fails. */
    private fun serve(task: Task, key: String) {
        task.endsAt = Long.MAX_VALUE
        if (sick) at(task, 300, key) { exit(task, ExitCause.ERROR) }
    }

    /** Replica [index] of service [job] ends by itself here; false if it does not run here. */
    fun end(job: String, index: Int, cause: ExitCause): Boolean {
        val task =
            tasks.values.firstOrNull {
                it.job == job && it.index == index && it.phase == TaskStatus.Phase.RUNNING
            }
        if (task == null || !present || hanging) return false
        exit(task, cause)
        return true
    }

    /** Goes on with [task] later, if it is still there; a hanging machine goes on when it resumes. */
    private fun at(task: Task, ms: Long, key: String, run: () -> Unit) {
        clock.after(ms) {
            if (dead || tasks[key] !== task || task.phase == TaskStatus.Phase.EXITED) return@after
            if (hanging) {
                at(task, hangUntil - clock.time + 1, key, run)
            } else {
                expire()
                if (tasks[key] === task) run()
            }
        }
    }

    private fun exit(task: Task, cause: ExitCause) {
        task.phase = TaskStatus.Phase.EXITED
        task.cause = cause
        changed()
    }

    /** Tasks that count as being on this machine. */
    fun onMachine(): List<Task> =
        if (!present) {
            emptyList()
        } else {
            tasks.values.filter {
                it.phase == TaskStatus.Phase.RUNNING ||
                    it.phase == TaskStatus.Phase.SAVING
            }
        }

    private companion object {
        val PHASES =
            mapOf(
                TaskStatus.Phase.FETCHING to "pulling",
                TaskStatus.Phase.RUNNING to "running",
                TaskStatus.Phase.SAVING to "saving",
                TaskStatus.Phase.EXITED to "exited",
            )
        val CAUSES =
            mapOf(
                ExitCause.DONE to "done",
                ExitCause.HALTED to "halted",
                ExitCause.ERROR to "error",
                ExitCause.FULL to "full",
                ExitCause.BUSY to "busy",
                ExitCause.NO_SUCH to "no_such",
            )
    }
}
