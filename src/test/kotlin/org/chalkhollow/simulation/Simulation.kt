package org.chalkhollow.simulation

import org.chalkhollow.core.common.CommandReply
import org.chalkhollow.core.common.Effect
import org.chalkhollow.model.MachineType
import org.chalkhollow.model.Resources
import org.chalkhollow.model.Team
import org.chalkhollow.settings.Address
import org.chalkhollow.settings.Objective
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.Peer
import org.chalkhollow.settings.PlatformSettings
import org.chalkhollow.settings.StateLimits

/** How much there is in a simulation. */
class SimulationSize(
    val controllers: Int = 3,
    /** How many machines there may be. */
    val capacity: Int = 14,
    /** How many times the teams' usual limits hold. */
    val scale: Int = 1,
)

/** What is wrong on purpose, so that tests of the checks see the rules broken. */
class Sabotage(
    /** The lease that the controllers are told in place of the workers' true one. */
    val toldLeaseS: Double? = null,
    /** How much more than the teams' true limits the controllers are told. */
    val toldLimitFactor: Double = 1.0,
    /** Late copies of heartbeats pass for new ones. */
    val copiesLookNew: Boolean = false,
    /** Options of one controller that differ from the others'. */
    val oddOptions: OperatorSettings? = null,
    /** A machine type that only the controllers believe in. */
    val phantomType: MachineType? = null,
)

/** Controllers, fakes and rules on one virtual clock; [FaultInjection] adds faults. */
class Simulation(
    seed: Long,
    val options: OperatorSettings = OperatorSettings(maxIdleS = 20.0),
    val leaseMs: Long = 8000,
    /** How often workers send heartbeats. */
    val heartbeatMs: Long = 2000,
    size: SimulationSize = SimulationSize(),
    private val stateLimits: StateLimits = StateLimits(80.0, 20.0, 8192, 12),
    private val objectives: List<Objective> = emptyList(),
    val sabotage: Sabotage = Sabotage(),
) {
    val clock = VirtualClock(seed)
    val network = Network(clock)
    val zones = listOf("east", "west")
    val limits = listOf("red", "blue").map { Team(it, 16.0 * size.scale, 40.0 * size.scale, 0.0, 0.0) }
    val cancelMs = 25_000L
    val types =
        listOf(
            MachineType("small", Resources(8.0, 0.0, 64.0), 1.0, 20.0, 0.5, 0.2, 5.0, zones),
            MachineType("large", Resources(16.0, 0.0, 64.0), 1.0, 20.0, 1.2, 0.5, 6.0, zones),
        )
    private val labels = List(size.controllers) { "abcde"[it].toString() }
    private val toldLeaseS = sabotage.toldLeaseS ?: (leaseMs / 1000.0)
    val settings = settingsOf("a", toldLeaseS, sabotage.toldLimitFactor)
    val state = FakeStateService(clock, network, settings.stateLimits)
    val cloud =
        FakeCloud(
            clock,
            network,
            types,
            types + listOfNotNull(sabotage.phantomType),
            size.capacity,
        ) { name, type, zone, spot -> FakeWorker(this, name, type, zone, spot, leaseMs) }
    val nodes =
        labels.map {
            SimulatedController(
                this,
                it,
                settingsOf(it, toldLeaseS, sabotage.toldLimitFactor),
                sabotage.oddOptions?.takeIf { _ -> it == "b" } ?: options,
            )
        }
    val users = Users(this)
    val rules = Rules(this)

    /** Whether log lines, faults and commands are printed. */
    var verbose = false

    /** Told of every start of a controller. */
    var onStart: (SimulatedController) -> Unit = {}

    /** Told of every effect of a controller: when, whose, and which. */
    var onEffect: (Long, String, Effect) -> Unit = { _, _, _ -> }

    /** Told of every frame between controllers. */
    var onFrame: (ByteArray) -> Unit = {}

    /** The settings of [label] when the state service is to have the limits [next]. */
    fun settingsWith(label: String, next: StateLimits): PlatformSettings =
        settingsOf(label, settings.workerLeaseS, 1.0).let {
            it.copy(stateLimits = stateLimits.coerceAtMost(next), currentStateLimits = stateLimits)
        }

    private fun settingsOf(label: String, leaseS: Double, factor: Double) =
        PlatformSettings(
            label = label,
            location = "east",
            clientListen = Address("127.0.0.1", 1),
            peerAddress = Address("127.0.0.1", 2),
            peers = labels.filter { it != label }.map { Peer(it, Address("127.0.0.1", 3)) },
            state = Address("127.0.0.1", 4),
            cloud = Address("127.0.0.1", 5),
            teams = limits.map { it.copy(cpusMax = it.cpusMax * factor) },
            objectives = objectives,
            heartbeatIntervalS = heartbeatMs / 1000.0,
            workerLeaseS = leaseS,
            cancelS = 25.0,
            stateLimits = stateLimits,
            cloudRps = 3.0,
            listLagS = 3.0,
            maxConnections = 100,
            skewMs = 25.0,
        )

    fun peerOf(label: String, index: Int): SimulatedController =
        nodes.first { node -> node.label == labels.filter { it != label }[index] }

    fun indexAt(label: String, of: String): Int = labels.filter { it != label }.indexOf(of)

    /** Sends [message] of controller [node] to its worker; [reply] comes once, at the latest after the time-out. */
    fun direct(node: String, message: Effect.WorkerCommand, reply: (CommandReply) -> Unit) {
        var answered = false

        fun answer(result: CommandReply) {
            if (!answered) {
                answered = true
                reply(result)
            }
        }
        val sentAt = clock.time
        clock.after(COMMAND_TIMEOUT_MS) { answer(CommandReply.NoResponse) }
        network.send(node, message.address) {
            afterHoldUp {
                cloud.worker(message.address)?.direct(message, sentAt) { result ->
                    network.send(message.address, node) { afterHoldUp { answer(result) } }
                }
            }
        }
    }

    /** Runs [deliver] now, or later if the network holds it up. */
    private fun afterHoldUp(deliver: () -> Unit) {
        val held = network.holdUp()
        if (held > 0) clock.after(held, deliver) else deliver()
    }

    /**
     * Starts everything, the controllers after [firstMs]; [jobs] jobs arrive over [overMs]. Machines that the cloud
     * lists when the controllers begin, 3 s after they were added, are the operator's own, and stay.
     */
    fun begin(jobs: Int, overMs: Long, machines: Int = 4, firstMs: Long = 0) {
        repeat(machines) { cloud.add(types[0], zones[it % 2], false, 0) }
        for (node in nodes) clock.after(firstMs + clock.between(0, 500)) { node.start() }
        repeat(jobs) { clock.after(clock.between(0, overMs)) { users.arrive() } }
        repeat(jobs / 3) { clock.after(clock.between(0, overMs)) { users.askUnknown() } }
        clock.afterEach = rules::check
    }

    private companion object {
        const val COMMAND_TIMEOUT_MS = 3000L
    }
}
