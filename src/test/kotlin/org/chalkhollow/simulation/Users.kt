package org.chalkhollow.simulation

import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.UserRequest
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Resources
import org.chalkhollow.wire.Fields
import org.chalkhollow.wire.MalformedMessageException
import org.chalkhollow.wire.Pack
import org.chalkhollow.wire.UserCodec

/** Simulated users. They submit, resubmit, query and cancel jobs, and query jobs that nobody submitted. */
class Users(private val simulation: Simulation) {
    private val clock = simulation.clock
    private val specs = HashMap<String, JobSpec>()
    private val jobs = RandomJobs(simulation)

    private val statesById = HashMap<String, ArrayList<String>>()

    /** The states of [id] that its user was told, in order, without repetitions. */
    fun reportedStates(id: String): List<String> = statesById[id] ?: emptyList()

    fun spec(id: String): JobSpec? = specs[id]

    fun submitRandomJob() {
        val spec = jobs.nextJob()
        specs[spec.id] = spec
        submit(spec, 0)
        if (clock.chance(0.12)) clock.after(clock.between(500, 30_000)) { sendCancel(spec.id, 0) }
    }

    /** Submits a random job changed by [change], and returns its id. */
    fun submit(change: (JobSpec) -> JobSpec): String {
        val spec = change(jobs.nextJob())
        specs[spec.id] = spec
        submit(spec, 0)
        return spec.id
    }

    /**
     * Submits a random service changed by [change], and returns its id. Tests of the rules pass [sentAs] to send the
     * controllers another specification than the rules expect.
     */
    fun submitService(sentAs: (JobSpec) -> JobSpec = { it }, change: (JobSpec) -> JobSpec = { it }): String {
        val spec = change(jobs.nextService())
        specs[spec.id] = spec
        submit(sentAs(spec), 0)
        return spec.id
    }

    fun randomService(): JobSpec = jobs.nextService()

    /** Submits the body [raw] to [node]. Calls [then] with the status of the response, or 0 if there is none. */
    fun submitBody(raw: ByteArray, node: SimulatedController, then: (Int) -> Unit) {
        val request = UserRequest.ofSubmission(raw) ?: return then(400) // as the HTTP server does without an id
        var finished = false

        fun finishOnce(status: Int) {
            if (finished) return
            finished = true
            then(status)
        }
        clock.after(5000) { finishOnce(0) }
        if (!node.receiveRequest(request) { finishOnce(it.status) }) finishOnce(0)
    }

    /** When the controller sent the response that is being handled; it may arrive much later. */
    private var respondedAtMs = 0L

    /** Sends [request] to a random controller. Calls [then] once with the response, or with null after [waitMs]. */
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
                    val sentAtMs = clock.timeMs
                    simulation.network.send(node.label, NAME) {
                        respondedAtMs = sentAtMs
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
        // Encoded and decoded, so that the controller gets the types that a real process gets.
        val raw = Pack.encode(UserCodec.toMap(spec))
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
            if (response?.status == 200) simulation.rules.recordPollResponse(id)
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
            // Until the acceptance is recorded, the job is unknown to the controllers. The request is repeated until it
            // gets a 200.
            if (status == null && tries < 100) clock.after(1000) { sendCancel(id, tries + 1) }
        }
    }

    /** Probability that a job is cancelled about when its last task ends. */
    var cancelAtEndProbability = 0.0

    /** Called when [task] begins to run. If it is the last one of its job, the job ends in [ms]. */
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

    /** Called when the last task of [id] completed. */
    fun lastTaskCompleted(id: String) {
        if (cancelAtEndProbability <= 0 || !clock.chance(cancelAtEndProbability)) return
        clock.after(clock.between(0, 300)) { cancel(id) }
        clock.after(clock.between(0, 300)) { resubmit(id) }
    }

    /**
     * Cancels, within 200 ms, up to [count] jobs with a task that runs for more than 40 s from now, and returns their
     * ids. Up to eight of their machines hang for [hangMs]; none if it is 0.
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

    /** Submits job [id] again. */
    fun resubmit(id: String) {
        submit(specs[id] ?: return, 1)
    }

    /**
     * For [forMs], resubmits jobs, cancels done ones, queries any, and submits jobs that are too large for every
     * machine type or lack a field.
     */
    fun sendUnusualRequests(forMs: Long) {
        for (atMs in 0L until forMs step 700) {
            clock.after(atMs) {
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

    /** Submits a job that is too large for every machine type. It must be rejected. */
    fun submitTooLargeJob() {
        val spec =
            jobs.nextJob().copy(
                taskResources = Resources(17.0 + clock.random.nextInt(50), 0.0, 4.0),
                types = null,
                zone = null,
            )
        val raw = Pack.encode(UserCodec.toMap(spec))
        call(
            UserRequest.Submit(UserCodec.job(raw), raw),
            5000,
        ) { response -> simulation.rules.tooLargeJobResponse(spec.id, response?.status ?: 0) }
    }

    /** Encodes a job without one of its required fields. Decoding it must fail. */
    private fun submitWithMissingField() {
        val spec = jobs.nextJob()
        val map = UserCodec.toMap(spec)
        val requiredFields =
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
        val missingField = requiredFields[clock.random.nextInt(requiredFields.size)]
        val raw = Pack.encode(map - missingField)
        val parsed =
            try {
                UserCodec.job(raw)
            } catch (expected: MalformedMessageException) {
                return
            }
        simulation.rules.recordViolation("accepted_unfit", "${parsed.id} was decoded without the field $missingField")
    }

    /** Queries a job that, unless the id is taken by chance, nobody submitted. */
    fun queryUnknownJob() {
        val id = "j-9" + clock.random.nextInt(1_000_000)
        call(UserRequest.Query(id), 2000) { response ->
            val isInvented = response?.status == 200 && id !in specs
            if (isInvented) simulation.rules.recordViolation("invented", "a query for $id, never submitted, got a 200")
        }
    }

    /** Reports the state in [response] to the rules and returns it; null without a response or on an error. */
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
