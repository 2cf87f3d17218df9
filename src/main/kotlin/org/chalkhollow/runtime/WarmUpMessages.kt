package org.chalkhollow.runtime

/** Made-up messages of users and workers for [ArchiveTrainingRun] and [WarmUpSimulation]. */
internal object WarmUpMessages {
    const val TYPE = "warm-up"
    private const val TASK_COUNT = 4
    private const val DUE_S = 9.0

    fun job(id: String, team: String): Map<String, Any?> =
        mapOf(
            "nameId" to id,
            "workload" to "w",
            "owner" to team,
            "shape" to "batch",
            "urgency" to "high",
            "pieces" to TASK_COUNT,
            "vcpus" to 1.0,
            "cards" to 0.0,
            "memoryGb" to 1.0,
            "bundle" to "i",
            "pullGb" to 1.0,
            "flavours" to null,
            "site" to null,
            "together" to false,
            "spread" to false,
            "standby" to true,
            "expectedS" to 1.0,
            "snapshotS" to 0.0,
            "flushS" to 0.0,
            "dueS" to DUE_S,
        )

    fun heartbeat(machine: Int, number: Int, tasks: List<Map<String, Any?>>): Map<String, Any?> =
        mapOf(
            "host" to "n-$machine",
            "address" to "127.0.0.1:9",
            "flavour" to TYPE,
            "site" to "z",
            "standby" to false,
            "tenure" to 1,
            "tally" to number,
            "mandate" to 1,
            "warningS" to null,
            "pieces" to tasks,
        )

    fun task(name: String, attempt: Int): Map<String, Any?> =
        mapOf("piece" to name, "try" to attempt, "status" to "running")
}
