package org.chalkhollow.core.operations

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The status of one controller for operators; only the leader's contains jobs, machines, teams and services. */
@Serializable
data class StatusView(
    val label: String,
    val leads: Boolean,
    val leader: String?,
    @SerialName("generation") val fencingToken: Long,
    val ready: Boolean,
    val jobsKnown: Int = 0,
    val jobsOpen: Int = 0,
    val classes: List<ClassView> = emptyList(),
    val teams: List<TeamView> = emptyList(),
    val machines: List<MachineView> = emptyList(),
    val controllers: List<ControllerView> = emptyList(),
    /** Whether every controller is known to run this version or a newer one, so that no upgrade is in progress. */
    val allNew: Boolean = false,
    val services: List<ServiceView> = emptyList(),
)

/** The services of one class: replicas wanted and up, and for a few services that lack replicas, the reasons. */
@Serializable
data class ServiceView(val name: String, val services: Int, val wanted: Int, val up: Int, val down: List<String>)

/** The version that one controller runs; null while unknown. */
@Serializable
data class ControllerView(val label: String, val version: Int?)

/** The open jobs of one class. */
@Serializable
data class ClassView(val name: String, val jobs: Int, val tasksReady: Int, val tasksLive: Int, val oldestS: Long)

/** CPUs of one team: in use, guaranteed, and at most. */
@Serializable
data class TeamView(val name: String, val cpus: Double, val guaranteed: Double, val most: Double)

/** The number of machines of one type, zone and kind that are in one state. */
@Serializable
data class MachineView(val type: String, val zone: String, val spot: Boolean, val state: String, val count: Int)

/** One job, and why its ready tasks are not placed. */
@Serializable
data class JobView(
    val id: String,
    val state: String,
    val tasks: Int,
    val done: Int,
    val running: Int,
    val live: Int,
    val waitsFor: List<String>,
)
