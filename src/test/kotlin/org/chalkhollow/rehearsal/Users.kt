package org.chalkhollow.rehearsal

import org.chalkhollow.core.Effect
import org.chalkhollow.core.UserAsk
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Priority
import org.chalkhollow.model.Resources
import org.chalkhollow.model.Shape
import org.chalkhollow.wire.Fields
import org.chalkhollow.wire.Pack
import org.chalkhollow.wire.UserCodec

/** Stand-in users: submit, repeat, poll, withdraw, and ask about what nobody submitted. */
class Users(private val rehearsal: Rehearsal) {
    private val world = rehearsal.world
    private val specs = HashMap<String, JobSpec>()
    private var next = 0

    fun spec(id: String): JobSpec? = specs[id]

    fun arrive() {
        val spec = draw()
        specs[spec.id] = spec
        submit(spec, 0)
        if (world.chance(0.12)) world.after(world.between(500, 30_000)) { withdraw(spec.id, 0) }
    }

    /** Submits a drawn job after [change], and returns its id. */
    fun submit(change: (JobSpec) -> JobSpec): String {
        val spec = change(draw())
        specs[spec.id] = spec
        submit(spec, 0)
        return spec.id
    }

    private fun draw(): JobSpec {
        val id = "j-" + (world.random.nextInt(1_000_000)).toString().padStart(6, '0') + (next++)
        val zone = if (world.chance(0.1)) rehearsal.zones[world.random.nextInt(2)] else null
        val checkpoint = if (world.chance(0.3)) 2.0 else 0.0
        return JobSpec(
            id = id, workload = "w" + world.random.nextInt(3), team = rehearsal.settings.teams[world.random.nextInt(2)].name,
            shape = Shape.ARRAY, priority = Priority.entries[world.random.nextInt(4)], tasks = world.random.nextInt(1, 14),
            each = Resources(world.random.nextInt(1, 5).toDouble(), 0.0, 4.0), image = "img-" + world.random.nextInt(3), imageGb = 1.0,
            types = if (world.chance(0.1)) listOf(rehearsal.types[world.random.nextInt(2)].name) else null, zone = zone,
            together = zone == null && world.chance(0.15), spread = world.chance(0.15), spotAllowed = world.chance(0.7),
            expectedS = 1.0 + world.random.nextInt(15), checkpointS = checkpoint, saveS = 1.0, dueS = if (world.chance(0.5)) 60.0 else null,
        )
    }

    private fun call(ask: UserAsk, waitMs: Long, then: (Effect.Answer?) -> Unit) {
        var settled = false
        fun settle(a: Effect.Answer?) {
            if (!settled) {
                settled = true
                then(a)
            }
        }
        world.after(waitMs) { settle(null) }
        val node = rehearsal.nodes[world.random.nextInt(rehearsal.nodes.size)]
        rehearsal.network.send(USERS, node.label) {
            val heard = node.user(ask) { a -> rehearsal.network.send(node.label, USERS) { settle(a) } }
            if (!heard) settle(null)
            if (ask !is UserAsk.Poll) rehearsal.network.copyAfter()?.let { late -> world.after(late) { node.user(ask) {} } }
        }
    }

    private fun submit(spec: JobSpec, tries: Int) {
        val askedAt = world.time
        // Through the wire's form, so that the controller gets what a process would.
        val raw = Pack.encode(UserCodec.map(spec))
        call(UserAsk.Submit(UserCodec.job(raw), raw), 5000) { a ->
            when (a?.status) {
                200, 201 -> {
                    val first = rehearsal.rules.accepted(spec.id)
                    told(spec.id, a, askedAt)
                    if (first) world.after(3000) { poll(spec.id) }
                    if (world.chance(0.2)) world.after(world.between(1000, 90_000)) { submit(spec, 1) }
                }
                400, 422 -> rehearsal.rules.refused(spec.id, a.status)
                else -> if (tries < 60) world.after(1000) { submit(spec, tries + 1) }
            }
        }
    }

    private fun poll(id: String) {
        val askedAt = world.time
        call(UserAsk.Poll(id), 2000) { a ->
            if (a?.status == 200) rehearsal.rules.answered(id)
            val status = told(id, a, askedAt)
            if (status != "done" && status != "aborted") world.after(5000) { poll(id) }
            else if (world.chance(0.5)) world.after(world.between(5000, 60_000)) { poll(id) }
        }
    }

    fun cancel(id: String) = withdraw(id, 0)

    private fun withdraw(id: String, tries: Int) {
        rehearsal.rules.asksToCancel(id)
        val askedAt = world.time
        call(UserAsk.Withdraw(id), 5000) { a ->
            val status = told(id, a, askedAt)
            if (status == null && a?.status != 404 && tries < 100) world.after(1000) { withdraw(id, tries + 1) }
        }
    }

    fun askUnknown() {
        val id = "j-9" + world.random.nextInt(1_000_000)
        call(UserAsk.Poll(id), 2000) { a -> if (a?.status == 200 && id !in specs) rehearsal.rules.broken("invented", "$id was answered with 200") }
    }

    private fun told(id: String, a: Effect.Answer?, askedAt: Long): String? {
        if (a == null) return null
        if (a.status == 404) rehearsal.rules.notFound(id)
        if (a.status != 200 && a.status != 201) return null
        val status = Fields.of(Pack.decode(a.body ?: return null), "answer").text("status")
        rehearsal.rules.told(id, status, askedAt)
        return status
    }

    companion object {
        const val USERS = "users"
    }
}
