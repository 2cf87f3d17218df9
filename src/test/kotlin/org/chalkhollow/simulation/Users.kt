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
    private val jobs = RandomJobs(simulation)

    private val statesById = HashMap<String, ArrayList<String>>()

    /** The states that its user was told of [id], in their order, each change once. */
    fun reportedStates(id: String): List<String> = statesById[id] ?: emptyList()

    fun spec(id: String): JobSpec? = specs[id]

    fun submitRandomJob() {
        val spec = jobs.nextJob()
        specs[spec.id] = spec
        submit(spec, 0)
        if (clock.chance(0.12)) clock.after(clock.between(500, 30_000)) { sendCancel(spec.id, 0) }
    }

    /** Submits a drawn job after [change], and returns its id. */
    fun submit(change: (JobSpec) -> JobSpec): String {
        val spec = change(jobs.nextJob())
        specs[spec.id] = spec
        submit(spec, 0)
        return spec.id
    }

    /**
     * Submits a drawn service after [change], and returns its id; it is polled for ever. With [sentAs], a sabotage for
     * tests of the checks, the controllers are sent something else than its user wants.
     */
    fun submitService(sentAs: (JobSpec) -> JobSpec = { it }, change: (JobSpec) -> JobSpec = { it }): String {
        val spec = change(jobs.nextService())
        specs[spec.id] = spec
        submit(sentAs(spec), 0)
        return spec.id
    }

    fun randomService(): JobSpec = jobs.nextService()

    /** Sends the body [raw] to [node] as a submission, and says which status it got, 0 for no answer. */
    fun submitBody(raw: ByteArray, node: SimulatedController, then: (Int) -> Unit) {
        val request = UserRequest.ofSubmission(raw) ?: return then(400) // what the front does with a body without an id
        var finished = false

        fun finishOnce(status: Int) {
            if (finished) return
            finished = true
            then(status)
        }
        clock.after(5000) { finishOnce(0) }
        if (!node.receiveRequest(request) { finishOnce(it.status) }) finishOnce(0)
    }

    /** When the answer that is being taken in was given; it may have been long on its way. */
    private var respondedAtMs = 0L

    private fun call(request: UserRequest, waitMs: Long, then: (Effect.Response?) -> Unit) {
        var finished = false

        fun finishOnce(response: Effect.Response?) {
            if (!finished) {
                finished = true
                then(response)
            }
        }
        clock.after(waitMs) { finishOnce(null) }
        val node = simulation.nodes[clock.random.nextInt(simulation.nodes.size)]
        simulation.network.send(NAME, node.label) {
            val delivered =
                node.receiveRequest(request) { response ->
                    val atMs = clock.timeMs
                    simulation.network.send(node.label, NAME) {
                        respondedAtMs = atMs
                        finishOnce(response)
                    }
                }
            if (!delivered) finishOnce(null)
            if (request !is UserRequest.Query) {
                simulation.network.drawCopyDelayMs()?.let { delayMs ->
                    clock.after(delayMs) { node.receiveRequest(request) {} }
                }
            }
        }
    }

    private fun submit(spec: JobSpec, tries: Int) {
        val requestedAtMs = clock.timeMs
        // Through the wire's form, so that the controller gets what a process would.
        val raw = Pack.encode(UserCodec.map(spec))
        call(UserRequest.Submit(UserCodec.job(raw), raw), 5000) { response ->
            when (response?.status) {
                200, 201 -> {
                    val first = simulation.rules.accepted(spec.id)
                    handleResponse(spec.id, response, requestedAtMs)
                    if (first) clock.after(3000) { poll(spec.id) }
                    if (clock.chance(0.2)) clock.after(clock.between(1000, 90_000)) { submit(spec, 1) }
                }
                400, 422 -> simulation.rules.rejected(spec.id, response.status)
                else -> if (tries < 60) clock.after(1000) { submit(spec, tries + 1) }
            }
        }
    }

    private fun poll(id: String, again: Boolean = true) {
        val requestedAtMs = clock.timeMs
        call(UserRequest.Query(id), 2000) { response ->
            if (response?.status == 200) simulation.rules.pollAnswered(id)
            val status = handleResponse(id, response, requestedAtMs)
            if (!again) return@call
            if (status != "done" && status != "aborted") {
                clock.after(5000) { poll(id) }
            } else if (clock.chance(0.5)) {
                clock.after(clock.between(5000, 60_000)) { poll(id) }
            }
        }
    }

    fun cancel(id: String) = sendCancel(id, 0)

    private fun sendCancel(id: String, tries: Int) {
        simulation.rules.cancelRequested(id)
        val requestedAtMs = clock.timeMs
        call(UserRequest.Cancel(id), 5000) { response ->
            val status = handleResponse(id, response, requestedAtMs)
            // A job whose acceptance is still under way is not known yet: the request is repeated until it is answered
            // with 200.
            if (status == null && tries < 100) clock.after(1000) { sendCancel(id, tries + 1) }
        }
    }

    /** The share of jobs that are called off at the moment at which their last task ends. */
    var cancelAtEndProbability = 0.0

    /** A task of a job has begun and will take [ms]; when all others are done its end is the job's. */
    fun taskStarted(task: FakeTask, ms: Long) {
        if (cancelAtEndProbability <= 0 || !simulation.rules.isLastTask(task) ||
            !clock.chance(cancelAtEndProbability)
        ) {
            return
        }
        clock.after(ms + clock.between(-250, 400)) { cancel(task.job) }
        if (clock.chance(0.5)) clock.after(ms + clock.between(-250, 400)) { resubmit(task.job) }
        clock.after(ms + clock.between(-250, 400)) { poll(task.job) }
    }

    /** The last task of [id] has just completed. */
    fun lastTaskCompleted(id: String) {
        if (cancelAtEndProbability <= 0 || !clock.chance(cancelAtEndProbability)) return
        clock.after(clock.between(0, 300)) { cancel(id) }
        clock.after(clock.between(0, 300)) { resubmit(id) }
    }

    /**
     * Calls off [count] jobs that run and have long to go, within a fifth of a second; up to eight of their machines
     * hang for [hangMs].
     */
    fun cancelRunningJobs(count: Int, hangMs: Long = 0): List<String> {
        val running =
            simulation.cloud.workers.flatMap { worker ->
                worker.activeTasks().filter { it.endsAtMs - clock.timeMs > 40_000 }.map { it.job to worker }
            }
        val ids =
            running
                .map { it.first }
                .distinct()
                .filter { !simulation.rules.hasEnded(it) }
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
    fun resubmit(id: String) {
        submit(specs[id] ?: return, 1)
    }

    /**
     * For [forMs]: repeats unfinished jobs, cancels done ones, asks about any, and sends some that fit no machine or
     * lack a field.
     */
    fun sendUnusualRequests(forMs: Long) {
        for (at in 0L until forMs step 700) {
            clock.after(at) {
                val known = specs.keys.sorted()
                val id = known.getOrNull(clock.random.nextInt(maxOf(1, known.size)))
                when (clock.random.nextInt(5)) {
                    0 -> submitTooLargeJob()
                    1 -> submitWithMissingField()
                    2 -> id?.let(::resubmit)
                    3 -> known.firstOrNull { simulation.rules.isDone(it) && clock.chance(0.2) }?.let(::cancel)
                    else -> id?.let { poll(it, again = false) }
                }
            }
        }
    }

    /** A job that no machine has room for; it must never be accepted. */
    fun submitTooLargeJob() {
        val spec =
            jobs.nextJob().copy(
                taskResources = Resources(17.0 + clock.random.nextInt(50), 0.0, 4.0),
                types = null,
                zone = null,
            )
        val raw = Pack.encode(UserCodec.map(spec))
        call(
            UserRequest.Submit(UserCodec.job(raw), raw),
            5000,
        ) { response -> simulation.rules.tooLargeJobAnswered(spec.id, response?.status ?: 0) }
    }

    /** A job without one of its fields; it must be refused. */
    private fun submitWithMissingField() {
        val spec = jobs.nextJob()
        val map = UserCodec.map(spec)
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
        simulation.rules.recordViolation("accepted_unfit", "${parsed.id} without $lacks was read as a job")
    }

    fun queryUnknownJob() {
        val id = "j-9" + clock.random.nextInt(1_000_000)
        call(UserRequest.Query(id), 2000) { response ->
            val isInvented = response?.status == 200 && id !in specs
            if (isInvented) simulation.rules.recordViolation("invented", "$id was answered with 200")
        }
    }

    private fun handleResponse(id: String, response: Effect.Response?, requestedAtMs: Long): String? {
        if (response == null) return null
        if (response.status == 404) simulation.rules.notFound(id, respondedAtMs)
        if (response.status != 200 && response.status != 201) return null
        val status = Fields.of(Pack.decode(response.body ?: return null), "answer").text("status")
        simulation.rules.stateReported(id, status, requestedAtMs)
        val before = statesById.getOrPut(id) { ArrayList() }
        if (before.lastOrNull() != status) before.add(status)
        return status
    }

    companion object {
        const val NAME = "users"
    }
}
