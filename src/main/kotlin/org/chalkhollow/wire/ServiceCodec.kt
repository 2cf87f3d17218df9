package org.chalkhollow.wire

import org.chalkhollow.model.Change
import org.chalkhollow.model.Condition
import org.chalkhollow.model.KeyValue
import org.chalkhollow.model.KeyValuePage
import org.chalkhollow.model.ListedMachine
import org.chalkhollow.model.ListedPage
import org.chalkhollow.model.MachineType
import org.chalkhollow.model.Resources

/**
 * Bodies of the state service and of the cloud. Functions that read a body throw [MalformedMessageException]; names
 * that end in `S` are seconds.
 */
object ServiceCodec {
    /** A compare-and-swap. */
    fun commit(conditions: List<Condition>, changes: List<Change>): Map<String, Any?> =
        mapOf(
            "if" to conditions.map { mapOf("key" to it.key, "stamp" to it.revision) },
            "apply" to changes.map(::change),
        )

    private fun change(change: Change): Map<String, Any?> =
        when (val value = change.value) {
            null -> mapOf("remove" to change.key)
            else -> mapOf("set" to change.key, "value" to value)
        }

    /** The revision that a commit made. */
    fun revision(body: ByteArray): Long = Pack.decodeMap(body).long("ledger")

    /** The keys whose conditions did not hold. */
    fun failedKeys(body: ByteArray): List<String> = Pack.decodeMap(body).texts("failed")

    /** The value and the revision of [key]. */
    fun keyValue(key: String, body: ByteArray): KeyValue {
        val fields = Pack.decodeMap(body)
        return KeyValue(key, fields.map["value"], fields.long("stamp"))
    }

    fun page(body: ByteArray): KeyValuePage {
        val fields = Pack.decodeMap(body)
        val rows = fields.maps("rows").map { KeyValue(it.text("key"), it.map["value"], it.long("stamp")) }
        return KeyValuePage(rows, fields.flag("more"))
    }

    fun catalog(body: ByteArray): List<MachineType> =
        Pack.decodeMap(body).maps("flavours").map { fields ->
            MachineType(
                name = fields.text("sku"),
                capacity =
                    Resources(
                        fields.amount("vcpus"),
                        fields.numberOrNull("cards") ?: 0.0,
                        fields.amount("memoryGb"),
                    ),
                imageGbPerS = fields.numberOrNull("pullGbPerS") ?: 0.1,
                cacheGb = fields.numberOrNull("localGb") ?: 0.0,
                price = fields.amount("price"),
                spotPrice = fields.numberOrNull("lowPrice") ?: fields.amount("price"),
                bootS = fields.numberOrNull("readyS") ?: 60.0,
                zones = fields.texts("sites"),
            )
        }

    /** A request for [count] machines that repeats itself safely under the id [request]. */
    fun rent(request: String, type: String, zone: String, spot: Boolean, count: Int): Map<String, Any?> =
        mapOf("booking" to request, "flavour" to type, "site" to zone, "standby" to spot, "number" to count)

    /** The names of the machines that were rented. */
    fun rented(body: ByteArray): List<String> = Pack.decodeMap(body).texts("hosts")

    fun delete(names: List<String>): Map<String, Any?> = mapOf("hosts" to names)

    fun machines(body: ByteArray): ListedPage {
        val fields = Pack.decodeMap(body)
        return ListedPage(fields.maps("hosts").map(::listed), fields.flag("more"))
    }

    private fun listed(fields: Fields) =
        ListedMachine(
            name = fields.text("nameId"),
            address = fields.textOrNull("address") ?: "",
            type = fields.text("flavour"),
            zone = fields.text("site"),
            spot = fields.flag("standby"),
            status =
                when (fields.text("status")) {
                    "starting" -> ListedMachine.Status.STARTING
                    "running" -> ListedMachine.Status.RUNNING
                    "failed" -> ListedMachine.Status.FAILED
                    else -> Fields.invalid("status")
                },
            ageS = fields.numberOrNull("ageS") ?: 0.0,
        )

    /** The reason that the cloud gives for a refusal, if it names one. */
    fun errorOrNull(body: ByteArray): String? = Pack.decodeMap(body).textOrNull("error")
}
