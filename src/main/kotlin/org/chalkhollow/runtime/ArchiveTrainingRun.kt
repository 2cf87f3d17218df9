package org.chalkhollow.runtime

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.chalkhollow.model.HttpStatus
import org.chalkhollow.peer.Frames
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.PlatformSettings
import org.chalkhollow.settings.PlatformSettingsParser
import org.chalkhollow.wire.Pack
import java.net.InetAddress
import java.net.ServerSocket

/**
 * The training run for the class data sharing archive: runs the code that a starting controller needs, on loopback and
 * with made-up messages, so that the archive that the build creates from this run contains its classes. This reduces
 * the processor time of a start, which is an outage for users.
 */
object ArchiveTrainingRun {
    private const val STEP_COUNT = 100
    private const val MAX_BODY_BYTES = 64 * 1024
    private const val BODY_BYTES = 8
    private const val TIMEOUT_MS = 1000L
    private const val NODE_RUN_MS = 800L

    /** Runs the training and exits the process. */
    fun run() {
        val ports = List(2) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort } }
        val settings = PlatformSettingsParser.parse(settings(ports[0], ports[1]), "warm-up")
        runBlocking {
            val warmUp = WarmUpSimulation(settings)
            repeat(STEP_COUNT) { warmUp.step() }
            runNode(settings)
        }
        System.err.println("warm-up done")
        Runtime.getRuntime().exit(0)
    }

    private val task = WarmUpMessages.task("j-000009/1", 1)

    /** Runs a node on loopback for [NODE_RUN_MS] and sends requests to it. */
    private suspend fun runNode(settings: PlatformSettings) {
        val loop = EventLoop()
        val scope = CoroutineScope(SupervisorJob() + loop)
        Thread(loop::run).apply { isDaemon = true }.start()
        withContext(loop) {
            ControllerNode(scope, loop, settings, OperatorSettings(), 1, System.nanoTime()).start()
            val client = HttpClient(loop, settings.clientListen, MAX_BODY_BYTES, 1, TaskPriority.CONTROL)
            client.request("GET", "/up", null, TIMEOUT_MS) {}
            client.request("POST", "/work", Pack.encode(WarmUpMessages.job("j-000001", "t")), TIMEOUT_MS) {}
            client.request("GET", "/work/j-1", null, TIMEOUT_MS) {}
            client.request(
                "POST",
                "/agent/beat",
                Pack.encode(WarmUpMessages.heartbeat(1, 1, listOf(task))),
                TIMEOUT_MS,
            ) {}
            for (message in peerMessages()) Frames.decode(Frames.encode(message))
            delay(NODE_RUN_MS)
        }
    }

    private fun peerMessages(): List<PeerMessage> =
        listOf(
            PeerMessage.Hello("a", 1, PeerMessage.VERSION),
            PeerMessage.FollowerLeaseRequest(1, 1, true),
            PeerMessage.FollowerLeaseResponse(1, 1, true, true),
            PeerMessage.VoteRequest(1, 1, 1),
            PeerMessage.VoteResponse(1, 1, true),
            PeerMessage.ForwardedRequest(1, 1, "j-1", ByteArray(BODY_BYTES)),
            PeerMessage.ForwardedResponse(1, HttpStatus.OK, ByteArray(BODY_BYTES), 0),
        )

    private fun settings(clientPort: Int, peerPort: Int): String =
        """
        {"label":"a","location":"z","client_listen":"127.0.0.1:$clientPort","mesh_addr":"127.0.0.1:$peerPort",
         "seeds":[{"label":"b","location":"z","endpoint":"127.0.0.1:$peerPort"}],
         "external":{"cloud":"127.0.0.1:$clientPort","state":"127.0.0.1:$clientPort"},
         "facts":{"initial_size":2,"zones":["z"],"teams":[{"name":"t","cpus":8,"cpus_max":16,"gpus":0,"gpus_max":0}],
          "objectives":[{"kind":"wait","class":"w","within_s":5,"share":0.9}],
          "workers":{"report_s":2,"lease_s":10,"cancel_s":40},
          "state":{"rps":80,"write_rps":20,"value_kb":8,"txn_ops":12},"cloud":{"rps":3,"list_lag_s":5}}}
        """.trimIndent()
}
