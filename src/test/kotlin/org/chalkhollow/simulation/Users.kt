package org.chalkhollow.simulation

import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.UserRequest
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Resources
import org.chalkhollow.wire.Fields
import org.chalkhollow.wire.MalformedMessageException
import org.chalkhollow.wire.Pack
import org.chalkhollow.wire.UserCodec

/** Simulated users: submit, repeat, poll, withdraw, and ask about what nobody submitted. */
class Users(private val simulation: Simulation) {
    private val clock = simulation.clock
    private val specs = HashMap<String, JobSpec>()
    private val jobs = DrawnJobs(simulation)

    private val said = HashMap<String, ArrayList<String>>()

    /** The states that its user was told of [id], in their order, each change once. */
    fun statesTold(id: String): List<String> = said[id] ?: emptyList()

    fun spec(id: String): JobSpec? = specs[id]

    fun arrive() {
        val spec = jobs.draw()
        specs[spec.id] = spec
        submit(spec, 0)
        if (clock.chance(0.12)) clock.after(clock.between(500, 30_000)) { withdraw(spec.id, 0) }
    }

    /** Submits a drawn job after [change], and returns its id. */
    fun submit(change: (JobSpec) -> JobSpec): String {
        val spec = change(jobs.draw())
        specs[spec.id] = spec
        submit(spec, 0)
        return spec.id
    }

    /**
     * Submits a drawn service after [change], and returns its id; it is polled for ever. With [sentAs], a sabotage for
     * tests of the checks, the controllers are sent something else than its user wants.
     */
    fun submitService(sentAs: (JobSpec) -> JobSpec = { it }, change: (JobSpec) -> JobSpec = { it }): String {
        val spec = change(jobs.drawService())
        specs[spec.id] = spec
        submit(sentAs(spec), 0)
        return spec.id
    }

    fun drawService(): JobSpec = jobs.drawService()

    /** Sends the body [raw] to [node] as a submission, and says which status it got, 0 for no answer. */
    fun submitRaw(raw: ByteArray, node: SimulatedController, then: (Int) -> Unit) {
        val request = UserRequest.ofSubmission(raw) ?: return then(400) // what the front does with a body without an id
        var settled = false

        fun settle(status: Int) {
            if (settled) return
            settled = true
            then(status)
        }
        clock.after(5000) { settle(0) }
        if (!node.user(request) { settle(it.status) }) settle(0)
    }

    /** When the answer that is being taken in was given; it may have been long on its way. */
    private var saidAt = 0L

    private fun call(request: UserRequest, waitMs: Long, then: (Effect.Response?) -> Unit) {
        var settled = false

        fun settle(response: Effect.Response?) {
            if (!settled) {
                settled = true
                then(response)
            }
        }
        clock.after(waitMs) { settle(null) }
        val node = simulation.nodes[clock.random.nextInt(simulation.nodes.size)]
        simulation.network.send(NAME, node.label) {
            val heard =
                node.user(request) { response ->
                    val said = clock.time
                    simulation.network.send(node.label, NAME) {
                        saidAt = said
                        settle(response)
                    }
                }
            if (!heard) settle(null)
            if (request !is UserRequest.Query) {
                simulation.network.copyAfter()?.let { late ->
                    clock.after(late) { node.user(request) {} }
                }
            }
        }
    }

    private fun submit(spec: JobSpec, tries: Int) {
        val askedAt = clock.time
        // Through the wire's form, so that the controller gets what a process would.
        val raw = Pack.encode(UserCodec.toMap(spec))
        call(UserRequest.Submit(UserCodec.job(raw), raw), 5000) { response ->
            when (response?.status) {
                200, 201 -> {
                    val first = simulation.rules.accepted(spec.id)
                    told(spec.id, response, askedAt)
                    if (first) clock.after(3000) { poll(spec.id) }
                    if (clock.chance(0.2)) clock.after(clock.between(1000, 90_000)) { submit(spec, 1) }
                }
                400, 422 -> simulation.rules.refused(spec.id, response.status)
                else -> if (tries < 60) clock.after(1000) { submit(spec, tries + 1) }
            }
        }
    }

    private fun poll(id: String, again: Boolean = true) {
        val askedAt = clock.time
        call(UserRequest.Query(id), 2000) { response ->
            if (response?.status == 200) simulation.rules.answered(id)
            val status = told(id, response, askedAt)
            if (!again) return@call
            if (status != "done" && status != "aborted") {
                clock.after(5000) { poll(id) }
            } else if (clock.chance(0.5)) {
                clock.after(clock.between(5000, 60_000)) { poll(id) }
            }
        }
    }

    fun cancel(id: String) = withdraw(id, 0)

    private fun withdraw(id: String, tries: Int) {
        simulation.rules.asksToCancel(id)
        val askedAt = clock.time
        call(UserRequest.Cancel(id), 5000) { response ->
            val status = told(id, response, askedAt)
            // A job whose acceptance is still under way is not known yet: the request is repeated until it is answered
            // with 200.
            if (status == null && tries < 100) clock.after(1000) { withdraw(id, tries + 1) }
        }
    }

    /** The share of jobs that are called off at the moment at which their last task ends. */
    var cancelAtEnd = 0.0

    /** A task of a job has begun and will take [ms]; when all others are done its end is the job's. */
    fun runs(task: FakeTask, ms: Long) {
        if (cancelAtEnd <= 0 || !simulation.rules.isLast(task) || !clock.chance(cancelAtEnd)) return
        clock.after(ms + clock.between(-250, 400)) { cancel(task.job) }
        if (clock.chance(0.5)) clock.after(ms + clock.between(-250, 400)) { repeat(task.job) }
        clock.after(ms + clock.between(-250, 400)) { poll(task.job) }
    }

    /** The last task of [id] has just completed. */
    fun ended(id: String) {
        if (cancelAtEnd <= 0 || !clock.chance(cancelAtEnd)) return
        clock.after(clock.between(0, 300)) { cancel(id) }
        clock.after(clock.between(0, 300)) { repeat(id) }
    }

    /**
     * Calls off [count] jobs that run and have long to go, within a fifth of a second; up to eight of their machines
     * hang for [hangMs].
     */
    fun cancelNow(count: Int, hangMs: Long = 0): List<String> {
        val running =
            simulation.cloud.workers.flatMap { worker ->
                worker.onMachine().filter { it.endsAt - clock.time > 40_000 }.map { it.job to worker }
            }
        val ids =
            running
                .map { it.first }
                .distinct()
                .filter { !simulation.rules.isFinal(it) }
                .take(count)
        for (id in ids) clock.after(clock.between(0, 200)) { cancel(id) }
        if (hangMs > 0) {
            val machines =
                running
                    .filter { it.first in ids }
                    .map { it.second }
                    .distinct()
                    .take(8)
            for (machine in machines) clock.after(clock.between(0, 300)) { machine.hang(hangMs) }
        }
        return ids
    }

    /** Submits a known job once more. */
    fun repeat(id: String) {
        submit(specs[id] ?: return, 1)
    }

    /**
     * For [forMs]: repeats unfinished jobs, cancels done ones, asks about any, and sends some that fit no machine or
     * lack a field.
     */
    fun odd(forMs: Long) {
        for (at in 0L until forMs step 700) {
            clock.after(at) {
                val known = specs.keys.sorted()
                val id = known.getOrNull(clock.random.nextInt(maxOf(1, known.size)))
                when (clock.random.nextInt(5)) {
                    0 -> submitUnfit()
                    1 -> submitLacking()
                    2 -> id?.let(::repeat)
                    3 -> known.firstOrNull { simulation.rules.isDone(it) && clock.chance(0.2) }?.let(::cancel)
                    else -> id?.let { poll(it, again = false) }
                }
            }
        }
    }

    /** A job that no machine has room for; it must never be accepted. */
    fun submitUnfit() {
        val spec =
            jobs.draw().copy(
                taskResources = Resources(17.0 + clock.random.nextInt(50), 0.0, 4.0),
                types = null,
                zone = null,
            )
        val raw = Pack.encode(UserCodec.toMap(spec))
        call(
            UserRequest.Submit(UserCodec.job(raw), raw),
            5000,
        ) { response -> simulation.rules.answeredUnfit(spec.id, response?.status ?: 0) }
    }

    /** A job without one of its fields; it must be refused. */
    private fun submitLacking() {
        val spec = jobs.draw()
        val map = UserCodec.toMap(spec)
        val needed =
            listOf(
                "workload",
                "owner",
                "shape",
                "urgency",
                "pieces",
                "vcpus",
                "cards",
                "memoryGb",
                "expectedS",
                "snapshotS",
                "flushS",
            )
        val lacks = needed[clock.random.nextInt(needed.size)]
        val raw = Pack.encode(map - lacks)
        val parsed =
            try {
                UserCodec.job(raw)
            } catch (expected: MalformedMessageException) {
                return
            }
        simulation.rules.broken("accepted_unfit", "${parsed.id} without $lacks was read as a job")
    }

    fun askUnknown() {
        val id = "j-9" + clock.random.nextInt(1_000_000)
        call(UserRequest.Query(id), 2000) { response ->
            val isInvented = response?.status == 200 && id !in specs
            if (isInvented) simulation.rules.broken("invented", "$id was answered with 200")
        }
    }

    private fun told(id: String, response: Effect.Response?, askedAt: Long): String? {
        if (response == null) return null
        if (response.status == 404) simulation.rules.notFound(id, saidAt)
        if (response.status != 200 && response.status != 201) return null
        val status = Fields.of(Pack.decode(response.body ?: return null), "answer").text("status")
        simulation.rules.told(id, status, askedAt)
        val before = said.getOrPut(id) { ArrayList() }
        if (before.lastOrNull() != status) before.add(status)
        return status
    }

    companion object {
        const val NAME = "users"
    }
}
