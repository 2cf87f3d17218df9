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

/** The size of a simulation. */
class SimulationSize(
    val controllers: Int = 3,
    /** The largest number of machines that the cloud has at a time. */
    val maxMachines: Int = 14,
    /** Multiplies the teams' guarantees and limits. */
    val limitFactor: Int = 1,
)

/** Deliberate errors in the configuration or the fakes, so that tests of the rules see violations. */
class DeliberateErrors(
    /** The worker lease that the controllers are configured with, if not the true one. */
    val configuredLeaseS: Double? = null,
    /** Multiplies the teams' limits that the controllers are configured with. */
    val configuredLimitFactor: Double = 1.0,
    /** Whether late copies of heartbeats look like new ones. */
    val copiesLookNew: Boolean = false,
    /** Operator settings for controller `b` only, if they differ from the others'. */
    val differingOptions: OperatorSettings? = null,
    /** A machine type that the cloud lists in its catalog but cannot rent out. */
    val nonexistentType: MachineType? = null,
)

/** Controllers, fakes and rules on one virtual clock. [FaultInjection] injects faults. */
class Simulation(
    seed: Long,
    val options: OperatorSettings = OperatorSettings(maxIdleS = 20.0),
    val leaseMs: Long = 8000,
    /** The interval between a worker's heartbeats. */
    val heartbeatMs: Long = 2000,
    size: SimulationSize = SimulationSize(),
    private val stateLimits: StateLimits = StateLimits(80.0, 20.0, 8192, 12),
    private val objectives: List<Objective> = emptyList(),
    val deliberateErrors: DeliberateErrors = DeliberateErrors(),
) {
    val clock = VirtualClock(seed)
    val network = Network(clock)
    val peerLinks = PeerLinks(clock, network)
    val zones = listOf("east", "west")

    /** The teams with their true limits, see [DeliberateErrors.configuredLimitFactor]. */
    val teams = listOf("red", "blue").map { Team(it, 16.0 * size.limitFactor, 40.0 * size.limitFactor, 0.0, 0.0) }

    /** How long a task may run on after its user was told that the job is cancelled. */
    val cancelMs = 25_000L
    val types =
        listOf(
            MachineType("small", Resources(8.0, 0.0, 64.0), 1.0, 20.0, 0.5, 0.2, 5.0, zones),
            MachineType("large", Resources(16.0, 0.0, 64.0), 1.0, 20.0, 1.2, 0.5, 6.0, zones),
        )
    private val labels = List(size.controllers) { "abcde"[it].toString() }
    private val controllerLeaseS = deliberateErrors.configuredLeaseS ?: (leaseMs / 1000.0)
    val settings = settingsOf("a", controllerLeaseS, deliberateErrors.configuredLimitFactor)
    val state = FakeStateService(clock, network, settings.stateLimits)
    val cloud =
        FakeCloud(
            clock,
            network,
            types,
            types + listOfNotNull(deliberateErrors.nonexistentType),
            size.maxMachines,
        ) { name, type, zone, spot -> FakeWorker(this, name, type, zone, spot, leaseMs) }
    val nodes =
        labels.map {
            SimulatedController(
                this,
                it,
                settingsOf(it, controllerLeaseS, deliberateErrors.configuredLimitFactor),
                deliberateErrors.differingOptions?.takeIf { _ -> it == "b" } ?: options,
            )
        }
    val users = Users(this)
    val rules = Rules(this)

    /** Whether log lines, faults and commands are printed. */
    var verbose = false

    /** Called when a controller starts. */
    var onStart: (SimulatedController) -> Unit = {}

    /** Called for every effect of a controller with the time in ms, the controller's label and the effect. */
    var onEffect: (Long, String, Effect) -> Unit = { _, _, _ -> }

    /** Called for every frame that a controller sends to another. */
    var onFrame: (ByteArray) -> Unit = {}

    /** The settings of [label] when the state service's limits will change to [nextLimits]. */
    fun settingsWith(label: String, nextLimits: StateLimits): PlatformSettings =
        settingsOf(label, settings.workerLeaseS, 1.0).let {
            it.copy(stateLimits = stateLimits.coerceAtMost(nextLimits), currentStateLimits = stateLimits)
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
            teams = teams.map { it.copy(cpusMax = it.cpusMax * factor) },
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

    /** The controller that has [index] in the list of peers of [label]. */
    fun peerOf(label: String, index: Int): SimulatedController =
        nodes.first { node -> node.label == labels.filter { it != label }[index] }

    /** The index of controller [of] in the list of peers of [label]. */
    fun indexAt(label: String, of: String): Int = labels.filter { it != label }.indexOf(of)

    /** Sends [message] of controller [node] to a worker. Calls [reply] once, at the latest after the time-out. */
    fun sendCommand(node: String, message: Effect.WorkerCommand, reply: (CommandReply) -> Unit) {
        var replied = false

        fun replyOnce(result: CommandReply) {
            if (!replied) {
                replied = true
                reply(result)
            }
        }
        val sentAtMs = clock.timeMs
        clock.after(COMMAND_TIMEOUT_MS) { replyOnce(CommandReply.NoResponse) }
        network.send(node, message.address) {
            afterHold {
                cloud.worker(message.address)?.receiveCommand(message, sentAtMs) { result ->
                    network.send(message.address, node) { afterHold { replyOnce(result) } }
                }
            }
        }
    }

    /** Calls [deliver] now, or later if the network holds the message up. */
    private fun afterHold(deliver: () -> Unit) {
        val holdMs = network.drawHoldMs()
        if (holdMs > 0) clock.after(holdMs, deliver) else deliver()
    }

    /**
     * Starts the simulation: adds [machines] machines, starts the controllers after [controllerDelayMs], and has users
     * submit [jobs] random jobs within [overMs] and query a third as many unknown ones. The cloud lists a machine 3 s
     * after it is added. Machines that are listed when the controllers start become static machines, which are never
     * deleted.
     */
    fun begin(jobs: Int, overMs: Long, machines: Int = 4, controllerDelayMs: Long = 0) {
        repeat(machines) { cloud.add(types[0], zones[it % 2], false, 0) }
        for (node in nodes) clock.after(controllerDelayMs + clock.between(0, 500)) { node.start() }
        repeat(jobs) { clock.after(clock.between(0, overMs)) { users.submitRandomJob() } }
        repeat(jobs / 3) { clock.after(clock.between(0, overMs)) { users.queryUnknownJob() } }
        clock.afterEach = rules::check
    }

    private companion object {
        const val COMMAND_TIMEOUT_MS = 3000L
    }
}
