package org.chalkhollow.wire

import org.chalkhollow.model.Change
import org.chalkhollow.model.Condition
import org.chalkhollow.model.KeyValue
import org.chalkhollow.model.KeyValuePage
import org.chalkhollow.model.ListedMachine
import org.chalkhollow.model.ListedPage
import org.chalkhollow.model.MachineType
import org.chalkhollow.model.Resources

/** Bodies of the state service and of the cloud. */
object ServiceCodec {
    fun commit(conditions: List<Condition>, changes: List<Change>): Map<String, Any?> =
        mapOf(
            "if" to conditions.map { mapOf("key" to it.key, "stamp" to it.revision) },
            "apply" to
                changes.map {
                    if (it.value ==
                        null
                    ) {
                        mapOf("remove" to it.key)
                    } else {
                        mapOf("set" to it.key, "value" to it.value)
                    }
                },
        )

    fun revision(body: ByteArray): Long = Pack.decodeMap(body).long("ledger")

    fun failedKeys(body: ByteArray): List<String> = Pack.decodeMap(body).texts("failed")

    fun rows(body: ByteArray): KeyValuePage {
        val f = Pack.decodeMap(body)
        return KeyValuePage(
            f.maps("rows").map { KeyValue(it.text("key"), it.map["value"], it.long("stamp")) },
            f.flag("more"),
        )
    }

    fun catalog(body: ByteArray): List<MachineType> =
        Pack.decodeMap(body).maps("flavours").map { f ->
            MachineType(
                name = f.text("sku"),
                room = Resources(f.amount("vcpus"), f.numberOrNull("cards") ?: 0.0, f.amount("memoryGb")),
                imageGbPerS = f.numberOrNull("pullGbPerS") ?: 0.1,
                cacheGb = f.numberOrNull("localGb") ?: 0.0,
                price = f.amount("price"),
                spotPrice = f.numberOrNull("lowPrice") ?: f.amount("price"),
                bootS = f.numberOrNull("readyS") ?: 60.0,
                zones = f.texts("sites"),
            )
        }

    fun rent(request: String, type: String, zone: String, spot: Boolean, count: Int): Map<String, Any?> =
        mapOf("booking" to request, "flavour" to type, "site" to zone, "standby" to spot, "number" to count)

    fun rented(body: ByteArray): List<String> = Pack.decodeMap(body).texts("hosts")

    fun delete(names: List<String>): Map<String, Any?> = mapOf("hosts" to names)

    fun machines(body: ByteArray): ListedPage {
        val f = Pack.decodeMap(body)
        return ListedPage(f.maps("hosts").map(::listed), f.flag("more"))
    }

    private fun listed(f: Fields) =
        ListedMachine(
            name = f.text("nameId"),
            address = f.textOrNull("address") ?: "",
            type = f.text("flavour"),
            zone = f.text("site"),
            spot = f.flag("standby"),
            status =
                when (f.text("status")) {
                    "starting" -> ListedMachine.Status.STARTING
                    "running" -> ListedMachine.Status.RUNNING
                    "failed" -> ListedMachine.Status.FAILED
                    else -> throw MalformedMessageException("field status is missing or invalid")
                },
            ageS = f.numberOrNull("ageS") ?: 0.0,
        )
}
